"""Tests of state that the order under shortage keeps for each queue."""

from amaranthspar.scheduling import delivery


def test_window_that_is_never_read_stays_bounded():
    """Without priorities no forecast reads the windows, which grew with every run."""
    window = delivery.Window()
    for now_ms in range(0, 100 * delivery.WINDOW_MS, delivery.BUCKET_MS):
        window.add(1.0, now_ms)
    assert len(window._buckets) <= delivery.WINDOW_MS // delivery.BUCKET_MS + 1
    assert window.read_sum(now_ms) == delivery.WINDOW_MS / delivery.BUCKET_MS

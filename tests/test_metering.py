"""Tests of the metrics that a process exposes to Prometheus."""

from amaranthspar.observation import metering


def render_lines(meters) -> set[str]:
    return set(meters.render().decode().splitlines())


def test_answers_are_counted_by_queue_and_outcome():
    meters = metering.Meters()
    meters.count_answer("desk", "completed", 12)
    meters.count_answer("desk", "completed", 30)
    meters.count_answer("desk", "refused", 1)

    lines = render_lines(meters)

    name = "amaranthspar_answers_total"
    assert f'{name}{{outcome="completed",queue="desk"}} 2.0' in lines
    assert f'{name}{{outcome="refused",queue="desk"}} 1.0' in lines


def test_durations_are_counted_in_cumulative_buckets():
    meters = metering.Meters()
    for duration_ms in (1, 12, 12, 60_000):
        meters.count_answer("desk", "completed", duration_ms)

    lines = render_lines(meters)

    bucket = "amaranthspar_answer_seconds_bucket"
    assert f'{bucket}{{le="0.001",queue="desk"}} 1.0' in lines
    assert f'{bucket}{{le="0.01",queue="desk"}} 1.0' in lines
    assert f'{bucket}{{le="0.02",queue="desk"}} 3.0' in lines
    assert f'{bucket}{{le="20.0",queue="desk"}} 3.0' in lines
    assert f'{bucket}{{le="+Inf",queue="desk"}} 4.0' in lines
    assert 'amaranthspar_answer_seconds_count{queue="desk"} 4.0' in lines
    assert 'amaranthspar_answer_seconds_sum{queue="desk"} 60.025' in lines


def test_gauges_and_start_durations_are_rendered():
    meters = metering.Meters()
    meters.waiting, meters.running = 3, 4
    meters.reserved, meters.gap_starts = 2, 5
    meters.starts.observe(2)

    lines = render_lines(meters)

    assert "amaranthspar_jobs_waiting 3.0" in lines
    assert "amaranthspar_runs 4.0" in lines
    assert "amaranthspar_sidecars_reserved 2.0" in lines
    assert "amaranthspar_gap_starts_total 5.0" in lines
    assert 'amaranthspar_start_seconds_bucket{le="0.002"} 1.0' in lines


def test_choices_by_expected_end_and_slowness_are_rendered():
    meters = metering.Meters()
    meters.placements["held"] += 2
    meters.slowness = 2.2

    lines = render_lines(meters)

    assert 'amaranthspar_placements_total{choice="held"} 2.0' in lines
    assert "amaranthspar_slowness 2.2" in lines


def test_clients_are_rendered_with_the_reasons_of_their_drops():
    meters = metering.Meters()
    meters.dropped_clients["budget"] = 3
    meters.client_connections = 5
    meters.client_bytes = 70_000

    lines = render_lines(meters)

    assert 'amaranthspar_clients_dropped_total{reason="budget"} 3.0' in lines
    assert "amaranthspar_client_connections 5.0" in lines
    assert "amaranthspar_client_bytes 70000.0" in lines

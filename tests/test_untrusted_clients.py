"""Tests that clients which nobody controls do not exhaust a process.

The processes are real ones with lowered limits. Only what does not depend on the speed of
the machine is checked: that the process lives, its memory, its open descriptors, and
that one ordinary request is answered afterwards.
"""

import pytest

from tests import builders_clients

MAX_GROWN_MB = 36
"""Three times the budget of 12 MB: it allows for copies and for connections, and is below
the 57 MB that the bodies of all clients take."""
MAX_OPEN = builders_clients.MAX_FDS
LISTENERS = ("product", "callers", "readiness", "metrics", "sidecar", "controller")
LOADS = {
    "headers": builders_clients.send_headers,
    "empty lines": builders_clients.send_empty_lines,
    "whole bodies": builders_clients.send_whole_body,
    "bodies in pieces": builders_clients.send_pieces,
    "large chunks": builders_clients.send_large_chunks,
    "small chunks": builders_clients.send_small_chunks,
}
CASES = [f"{listener}-{load}" for listener in LISTENERS for load in LOADS]


@pytest.fixture(scope="module")
def sites(tmp_path_factory):
    """Keep one site; a test that fails gives the next one a site that starts anew."""
    running: list[builders_clients.Site] = []

    def provide() -> builders_clients.Site:
        if running and not running[0].is_sound:
            running.pop().close()
        if not running:
            running.append(builders_clients.Site(tmp_path_factory.mktemp("site")))
        running[0].is_sound = False
        return running[0]

    yield provide
    for item in running:
        item.close()


def check(site: builders_clients.Site, listener: builders_clients.Listener, observed):
    assert listener.process.poll() is None
    assert observed.grown_mb < MAX_GROWN_MB
    assert observed.descriptors < MAX_OPEN
    assert listener.is_answered()
    site.is_sound = True


@pytest.mark.parametrize("case", [item.replace(" ", "_") for item in CASES])
def test_requests_that_do_not_end_leave_the_process_within_its_memory(sites, case):
    """Without limits, memory grows with each client, or reading keeps the loop busy."""
    name, _, load = case.partition("-")
    site = sites()
    listener = site.listeners[name]
    observed = builders_clients.press(listener, LOADS[load.replace("_", " ")])
    check(site, listener, observed)


@pytest.mark.parametrize("name", LISTENERS)
def test_idle_connections_leave_the_process_within_its_descriptors(sites, name):
    """Without a limit, the process has no descriptor left for its links."""
    site = sites()
    listener = site.listeners[name]
    observed = builders_clients.press(
        listener, builders_clients.send_nothing, 2 * builders_clients.MAX_FDS
    )
    check(site, listener, observed)

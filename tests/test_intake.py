"""Tests of the decision on what clients may send, with the loads that it answers."""

import random

import pytest

from amaranthspar.intake import intake, limits
from amaranthspar.intake.intake import Reason, Stage

MB = limits.MB
LIMITS = limits.Limits(budget_bytes=12 * MB, max_connections=100)
READ = 16 * 1024
BODY = 262_144


class Clients:
    """Clients of one machine, in virtual time."""

    def __init__(self, bounds=LIMITS) -> None:
        self.machine = intake.Intake(bounds)
        self.bounds = bounds
        self.now_ms = 1_000
        self.parsed_bytes = 0
        self.dropped: dict[int, intake.Drop] = {}

    def take(self, drops) -> None:
        for drop in drops:
            assert drop.key not in self.dropped
            self.dropped[drop.key] = drop

    def open(self, key) -> None:
        self.take(self.machine.open(key, self.now_ms))

    def send(self, key, size, overhead=0) -> None:
        self.take(self.machine.receive(key, size, self.now_ms))
        if key not in self.dropped:
            self.parsed_bytes += overhead
        self.take(self.machine.add_overhead(key, overhead, self.now_ms))

    def begin(self, key) -> None:
        self.open(key)
        self.send(key, 300)
        self.machine.begin_body(key, self.now_ms)

    def serve(self, key) -> bool:
        """Send one ordinary request; return whether it was served."""
        self.begin(key)
        self.send(key, 1_000)
        self.machine.complete(key)
        self.machine.finish(key, self.now_ms)
        self.machine.close(key)
        return key not in self.dropped

    def wait(self, duration_ms) -> None:
        for _ in range(0, duration_ms, 500):
            self.now_ms += 500
            self.take(self.machine.check(self.now_ms))

    def list_reasons(self):
        return {drop.reason for drop in self.dropped.values()}


def test_bodies_that_stop_short_stay_within_the_budget_and_ordinary_ones_are_served():
    """Without a budget over all requests, 90 bodies hold 90 MB."""
    clients = Clients()
    for key in range(90):
        clients.begin(key)
        for _ in range(MB // READ - 1):
            clients.send(key, READ)
            assert clients.machine.held_bytes <= clients.bounds.budget_bytes
        clients.now_ms += 10
        assert clients.serve(1_000 + key)
    assert clients.list_reasons() == {Reason.BUDGET}
    assert len(clients.dropped) >= 90 - 13
    assert {drop.status for drop in clients.dropped.values()} == {503}


def test_request_that_held_most_bytes_for_the_longest_time_is_dropped_first():
    clients = Clients()
    for key in range(12):
        clients.begin(key)
        clients.now_ms += 100
        clients.send(key, MB - 10_000)
    clients.now_ms += 1_000
    clients.begin(50)
    clients.send(50, 200_000)
    assert list(clients.dropped) == [0]


def test_clients_that_stop_short_lose_their_connection_when_memory_is_short():
    clients = Clients()
    for key in range(7):
        clients.begin(key)
        clients.send(key, MB)
    clients.wait(LIMITS.short_ms + 500)
    assert clients.list_reasons() == {Reason.BODY_TIME}
    assert clients.machine.held_bytes == 0
    assert {drop.status for drop in clients.dropped.values()} == {408}


@pytest.mark.parametrize("pause_ms", [0, 500, 20_000])
def test_single_largest_request_is_served_however_slowly_it_is_sent(pause_ms):
    clients = Clients()
    clients.begin(1)
    for _ in range(BODY // READ):
        clients.send(1, READ)
        clients.wait(pause_ms)
    assert clients.dropped == {}


def test_single_largest_body_in_chunks_of_one_byte_is_served():
    clients = Clients()
    clients.begin(1)
    for _ in range(BODY // 4_096):
        clients.send(1, 6 * 4_096, overhead=5 * 4_096)
    assert clients.dropped == {}


def test_small_chunks_of_many_are_dropped_and_large_ones_are_not():
    """Parsing 5 bytes of framing for each byte keeps the process busy."""
    clients = Clients()
    clients.begin(99)
    for key in range(50):
        clients.begin(key)
    for _ in range(40):
        for key in range(50):
            clients.send(key, 6_000, overhead=5_000)
        clients.send(99, 1_000, overhead=7)
        clients.now_ms += 10
    assert clients.list_reasons() == {Reason.CHUNKS}
    assert 99 not in clients.dropped
    assert len(clients.dropped) >= 49
    assert clients.parsed_bytes < 3 * LIMITS.shared_overhead_bytes


def test_handled_request_is_not_dropped_for_the_framing_of_pipelined_bytes():
    """Its refusal would state that it was not run."""
    clients = Clients()
    clients.begin(1)
    clients.machine.complete(1)
    size = LIMITS.max_pipelined_bytes // 4
    for _ in range(4):
        clients.send(1, size, overhead=LIMITS.max_overhead_bytes)
    assert clients.dropped == {}
    clients.begin(2)
    clients.send(2, 10_000, overhead=9_000)
    assert list(clients.dropped) == [2]


@pytest.mark.parametrize("size", [2, READ])
def test_head_without_end_is_refused(size):
    """Ways 1 and 2: fields, or empty lines, without end."""
    clients = Clients()
    clients.open(1)
    for _ in range(2 * LIMITS.max_head_bytes // size):
        clients.send(1, size)
    assert clients.dropped[1].reason is Reason.HEAD_SIZE
    assert clients.dropped[1].status == 431
    assert clients.machine.held_bytes == 0


def test_head_that_takes_too_long_is_refused():
    clients = Clients()
    clients.open(1)
    clients.send(1, 10)
    clients.wait(LIMITS.head_ms)
    assert clients.dropped == {}
    clients.wait(1_000)
    assert clients.dropped[1].reason is Reason.HEAD_TIME


def test_clients_are_not_charged_for_time_in_which_the_process_was_paused():
    """After a pause, what they sent meanwhile waits in the kernel."""
    clients = Clients()
    for key in range(7):
        clients.begin(key)
        clients.send(key, MB)
    clients.open(8)
    clients.send(8, 10)
    clients.wait(1_000)
    clients.now_ms += 10_000
    clients.take(clients.machine.check(clients.now_ms))
    assert clients.dropped == {}
    clients.wait(LIMITS.short_ms)
    assert len(clients.dropped) == 8


def test_too_many_connections_drop_the_one_that_was_idle_longest():
    clients = Clients()
    for key in range(1_000):
        clients.open(key)
        clients.now_ms += 1
        assert clients.machine.open_connections <= LIMITS.max_connections
    assert clients.serve(2_000)
    assert list(clients.dropped)[:2] == [0, 1]
    assert {drop.status for drop in clients.dropped.values()} == {0}


def test_connection_whose_request_is_handled_is_kept():
    """Dropping it would leave its caller without the outcome."""
    clients = Clients()
    for key in range(LIMITS.max_connections):
        clients.begin(key)
        clients.machine.complete(key)
    clients.open(500)
    assert list(clients.dropped) == [500]
    assert clients.dropped[500].status == 503


def test_pipelined_bytes_are_bounded_and_carried_over():
    clients = Clients()
    clients.begin(1)
    clients.machine.complete(1)
    clients.send(1, 1_000)
    clients.machine.finish(1, clients.now_ms)
    assert clients.machine.find_stage(1) is Stage.HEAD
    assert clients.machine.held_bytes == 1_000
    clients.machine.complete(1)
    clients.send(1, LIMITS.max_pipelined_bytes + 1)
    assert clients.dropped[1].reason is Reason.PIPELINED


def test_pipelined_bytes_go_when_memory_is_short_and_nothing_is_read():
    """They would otherwise fill memory behind requests that are being handled."""
    clients = Clients()
    for key in range(99):
        clients.begin(key)
        clients.machine.complete(key)
    for _ in range(10):
        for key in range(99):
            clients.send(key, READ)
            assert clients.machine.held_bytes <= clients.bounds.budget_bytes
    assert clients.list_reasons() == {Reason.PIPELINED}
    clients.machine.close(98)
    assert clients.serve(500)


def test_rest_of_an_answered_body_is_discarded_without_being_held_and_not_for_long():
    clients = Clients()
    clients.begin(1)
    clients.send(1, MB)
    clients.machine.discard(1, clients.now_ms)
    clients.send(1, 20 * MB)
    assert clients.machine.held_bytes == 0
    clients.wait(LIMITS.discard_ms + 500)
    assert clients.dropped[1].reason is Reason.DISCARDED


def test_client_that_does_not_read_its_answer_is_dropped_later():
    clients = Clients()
    clients.begin(1)
    clients.machine.complete(1)
    clients.machine.block(1, True, clients.now_ms)
    clients.wait(LIMITS.stall_ms)
    clients.machine.block(1, False, clients.now_ms)
    clients.machine.block(1, True, clients.now_ms)
    clients.wait(LIMITS.stall_ms)
    assert clients.dropped == {}
    clients.wait(1_000)
    assert clients.dropped[1].reason is Reason.UNREAD


def test_job_that_becomes_larger_than_the_budget_is_accepted_only_on_its_own():
    """A body of 69 bytes with 100,000 tasks becomes 46 MB."""
    clients = Clients()
    for key in range(3):
        clients.begin(key)
        clients.machine.complete(key)
    assert clients.machine.reserve(0, 46 * MB)
    assert not clients.machine.reserve(1, 46 * MB)
    assert not clients.machine.reserve(1, 1_000)
    clients.machine.finish(0, clients.now_ms)
    assert clients.machine.reserve(1, MB)
    assert clients.machine.reserve(2, MB)


@pytest.mark.parametrize(
    ("memory_mb", "max_fds", "budget_mb", "connections"),
    [(168, 1_638, 14, 537), (444, 10_250, 37, 1_420), (444, 1_638, 37, 719)],
)
def test_limits_follow_from_memory_and_descriptors(
    memory_mb, max_fds, budget_mb, connections
):
    found = limits.derive_limits(memory_mb, max_fds)
    assert found.budget_bytes == budget_mb * MB
    assert found.max_connections == connections


@pytest.mark.parametrize("seed", range(20))
def test_bytes_and_connections_stay_bounded_in_any_order_of_events(seed):
    randomness = random.Random(seed)
    clients = Clients(limits.Limits(budget_bytes=MB, max_connections=20))
    machine = clients.machine
    small = clients.bounds.small_bytes
    for _ in range(3_000):
        key = randomness.randrange(60)
        clients.now_ms += randomness.randrange(50)
        match randomness.randrange(8):
            case 0 if machine.find_stage(key) is None:
                clients.dropped.pop(key, None)
                clients.open(key)
            case 1 | 2 | 3:
                clients.send(key, randomness.randrange(200_000))
            case 4:
                machine.begin_body(key, clients.now_ms)
            case 5:
                machine.discard(key, clients.now_ms)
            case 6:
                machine.finish(key, clients.now_ms)
            case 7:
                clients.take(machine.check(clients.now_ms))
        assert 0 <= machine.held_bytes <= MB + 20 * small
        assert machine.open_connections <= 20
    for key in range(60):
        machine.close(key)
    assert machine.held_bytes == 0

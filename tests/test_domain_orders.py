"""Orders on failure domains that are delayed on the way to the replicated log."""

import asyncio

import hypothesis
import pytest
from hypothesis import strategies

from amaranthspar.membership import documents, pauses
from amaranthspar.registry import documentrequests, registry
from amaranthspar.schema import viewmessages


def build_order(name, is_out, base=documents.ANY_ORDER, domain="east"):
    return viewmessages.SetDomain(name, domain, is_out, base)


def test_delayed_order_does_not_undo_a_newer_one():
    """A controller that froze passes on an order that its operator has replaced."""
    state = documents.Documents()
    assert state.set_domain(build_order("out", True, 0))
    delayed = build_order("in", False, state.newest_order)
    assert state.set_domain(build_order("in again", False, 1))
    assert state.set_domain(build_order("out again", True, 2))
    assert not state.set_domain(delayed)
    assert state.domains_out == {"east"}


def test_delayed_order_does_not_undo_a_newer_one_that_changed_nothing():
    state = documents.Documents()
    delayed = build_order("out", True, state.newest_order)
    assert state.set_domain(build_order("in", False, 0))
    assert not state.set_domain(delayed)
    assert state.domains_out == set()
    assert state.domains_revision == 0


def test_repeated_order_gets_its_first_answer():
    state = documents.Documents()
    order = build_order("out", True, 0)
    assert [state.set_domain(order) for _ in range(3)] == [True] * 3
    assert (state.newest_order, state.domains_revision) == (1, 1)


def test_numbers_of_orders_survive_a_snapshot():
    before = registry.Registry()
    before.documents.set_domain(build_order("out", True, 0))
    restored = registry.Registry()
    restored.restore(before.save())
    assert restored.documents == before.documents


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None, database=None)
@hypothesis.given(strategies.data())
def test_newest_acknowledged_order_stays_in_force_whatever_comes_late(data):
    """The operator sends an order to one controller after another until it is taken."""
    state = documents.Documents()
    known = [0, 0, 0]
    under_way: list[viewmessages.SetDomain] = []
    for number in range(data.draw(strategies.integers(1, 6))):
        is_out = data.draw(strategies.booleans())
        is_acknowledged = False
        while not is_acknowledged:
            receiver = data.draw(strategies.integers(0, 2))
            if data.draw(strategies.booleans()):
                known[receiver] = state.newest_order
            order = build_order(f"{number}", is_out, known[receiver])
            if data.draw(strategies.booleans()):
                under_way.append(order)
                continue
            is_acknowledged = state.set_domain(order)
            if not is_acknowledged:
                known[receiver] = state.newest_order
        late = data.draw(strategies.permutations(under_way))
        under_way = late[data.draw(strategies.integers(0, len(late))) :]
        for delayed in late:
            state.set_domain(delayed)
        assert ("east" in state.domains_out) is is_out


def test_request_read_before_the_first_step_after_a_pause_may_have_waited():
    watch = pauses.PauseWatch(0)
    assert not watch.may_have_waited(20)
    assert watch.may_have_waited(4_000)
    assert watch.record_progress(4_001) == 4_001
    assert watch.may_have_waited(4_002)
    for now_ms in range(4_020, 5_020, 20):
        assert watch.record_progress(now_ms) == 0
    assert not watch.may_have_waited(5_010)


class Leader:
    """Applies orders as the leader does, and answers them."""

    def __init__(self) -> None:
        self.state = documents.Documents()
        self.sent: list[viewmessages.SetDomain] = []
        self.known = 0
        self.requests = documentrequests.DocumentRequests(
            self._receive, lambda: self.known
        )

    def _receive(self, order) -> None:
        self.sent.append(order)
        holds = self.state.set_domain(order)
        answer = self.state.answer(order.request, not holds)
        asyncio.get_running_loop().call_soon(self.requests.resolve, answer)


def test_order_that_waited_in_a_paused_process_is_not_passed_on():
    async def scenario():
        leader = Leader()
        leader.requests.pauses = pauses.PauseWatch(0)
        with pytest.raises(documentrequests.DelayedError):
            await leader.requests.set_domain("east", False)
        assert leader.sent == []

    asyncio.run(scenario())


def test_order_whose_sender_has_hung_up_is_not_passed_on():
    async def scenario():
        leader = Leader()
        handler = asyncio.ensure_future(leader.requests.set_domain("east", False))
        await asyncio.sleep(0)
        handler.cancel()
        await asyncio.wait([handler])
        assert leader.sent == []

    asyncio.run(scenario())


def test_order_of_a_controller_that_lags_behind_is_passed_on_again():
    async def scenario():
        leader = Leader()
        leader.state.set_domain(build_order("west", True, 0, "west"))
        answer = await leader.requests.set_domain("east", True)
        assert [order.base_order for order in leader.sent] == [0, 1]
        assert answer.newest_order == 2
        assert leader.state.domains_out == {"west", "east"}

    asyncio.run(scenario())

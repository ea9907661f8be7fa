"""Fuzzing of processes that are cut off while the controllers are replaced.

Whatever happened, all processes follow the current controllers again once the cuts have
healed and the settings of a single process name a current one.
"""

import attrs
import hypothesis
from hypothesis import stateful, strategies

from amaranthspar.membership import announcer, directory, documents
from amaranthspar.schema import viewmessages
from tests import builders_contact

STEP_MS = 100
SET_SIZE = 3
HEALING_MS = 12_000
"""Time for contact after the last change: an outdated list of processes, one round of
the peers, and one of the controllers."""
GATEWAYS, SIDECARS = ("g0", "g1"), ("s0", "s1")
PROCESSES = GATEWAYS + SIDECARS
NO_CUT, FROM_CONTROLLERS, FROM_ALL = range(3)


@attrs.define
class Controller:
    """A controller, which keeps its last state once it has been removed."""

    state: documents.Documents
    listed: list[str]
    revision: int
    processes: directory.Directory = attrs.field(factory=directory.Directory)
    confirmed_ms: int = 0


class ContactMachine(stateful.RuleBasedStateMachine):
    """Announcers, current controllers and removed ones that still answer."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.numbers = 0
        self.revision = 1
        self.state = documents.Documents()
        self.running: dict[str, Controller] = {}
        self.current = [self.build_address() for _ in range(SET_SIZE)]
        for address in self.current:
            self.running[address] = Controller(documents.Documents(), [], 0)
        self.update_controllers()
        self.cuts = dict.fromkeys(PROCESSES, NO_CUT)
        self.versions = dict.fromkeys(PROCESSES, documents.NO_VERSION)
        self.announcers = {
            name: announcer.Announcer(
                attrs.evolve(
                    builders_contact.build_announcement(
                        "gateway" if name in GATEWAYS else "sidecar"
                    ),
                    process=name,
                    address=name,
                ),
                self.current,
            )
            for name in PROCESSES
        }
        self.pass_time(1_000)

    def build_address(self) -> str:
        self.numbers += 1
        return f"c{self.numbers}"

    def update_controllers(self) -> None:
        """Let every current controller apply the newest state."""
        for address in self.current:
            found = self.running[address]
            found.state = attrs.evolve(
                self.state, domains_out=set(self.state.domains_out)
            )
            found.listed, found.revision = list(self.current), self.revision

    @stateful.rule(
        position=strategies.integers(0, SET_SIZE - 1), ends=strategies.booleans()
    )
    def replace_controller(self, position: int, ends: bool) -> None:
        removed = self.current[position]
        if ends:
            del self.running[removed]
        self.current[position] = self.build_address()
        self.revision += 1
        self.running[self.current[position]] = Controller(documents.Documents(), [], 0)
        self.update_controllers()

    @stateful.rule()
    def put_document(self) -> None:
        self.state.put(
            viewmessages.PutDocument("r", self.state.version + 1, b"document")
        )
        self.update_controllers()

    @stateful.rule(is_out=strategies.booleans())
    def set_domain(self, is_out: bool) -> None:
        self.state.set_domain(viewmessages.SetDomain("r", "east", is_out))
        self.update_controllers()

    @stateful.rule(
        names=strategies.sets(strategies.sampled_from(PROCESSES), min_size=1),
        cut=strategies.sampled_from([NO_CUT, FROM_CONTROLLERS, FROM_ALL]),
    )
    def set_cuts(self, names: set[str], cut: int) -> None:
        self.cuts.update(dict.fromkeys(names, cut))

    @stateful.rule(name=strategies.sampled_from(PROCESSES))
    def write_settings(self, name: str) -> None:
        self.announcers[name].apply_settings(self.current)

    @stateful.rule(time_ms=strategies.sampled_from([200, 1_000, 5_000]))
    def wait(self, time_ms: int) -> None:
        self.pass_time(time_ms)

    @stateful.rule(name=strategies.sampled_from(PROCESSES))
    def check_healing(self, name: str) -> None:
        self.set_cuts(set(PROCESSES), NO_CUT)
        self.write_settings(name)
        self.pass_time(HEALING_MS)
        for process, found in self.announcers.items():
            assert found.has_recent_answer(self.now_ms), process
            assert set(found.controllers.stated) == set(self.current), process
            assert found.domains_out == self.state.domains_out, process
            assert found.newest == self.state.version, process
            if process in GATEWAYS:
                assert found.version == self.state.version, process

    @stateful.invariant()
    def check_that_nothing_is_undone(self) -> None:
        for name, found in self.announcers.items():
            assert self.versions[name] <= found.version <= self.state.version
            self.versions[name] = found.version

    def teardown(self) -> None:
        self.check_healing(PROCESSES[0])

    def pass_time(self, time_ms: int) -> None:
        for _ in range(time_ms // STEP_MS):
            self.now_ms += STEP_MS
            for address in self.current:
                self.running[address].confirmed_ms = self.now_ms
            for controller in self.running.values():
                controller.processes.expire(self.now_ms)
            self.exchange_work()
            for name, found in self.announcers.items():
                for send in found.tick(self.now_ms):
                    self.deliver(name, send.peer, send.message)

    def exchange_work(self) -> None:
        """Let gateways and sidecars hear one another, as they do by their work."""
        open_processes = [item for item in PROCESSES if self.cuts[item] != FROM_ALL]
        for gateway in set(GATEWAYS) & set(open_processes):
            for side in set(SIDECARS) & set(open_processes):
                self.announcers[gateway].recent_peers.note(side)
                self.announcers[side].recent_peers.note(gateway)

    def deliver(self, sender: str, receiver: str, message) -> None:
        answer = None
        if receiver in self.announcers:
            if FROM_ALL in (self.cuts[sender], self.cuts[receiver]):
                return
            document = b"document" if receiver in GATEWAYS else b""
            if isinstance(message, viewmessages.FetchView):
                answer = self.announcers[receiver].answer_peer(message, document)
        elif receiver in self.running and self.cuts[sender] == NO_CUT:
            controller = self.running[receiver]
            state = directory.ControllerState(
                controller.listed,
                controller.revision,
                self.now_ms - controller.confirmed_ms,
            )
            answer = controller.processes.handle_announcement(
                message, controller.state, state, self.now_ms
            )
        if answer is not None:
            self.announcers[sender].apply_view(receiver, answer, self.now_ms)


TestContact = ContactMachine.TestCase
TestContact.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
)

"""Builder of a run manager with an upstream and one gateway."""

from amaranthspar.scheduling import runevents, runmanager
from amaranthspar.schema import runmessages

SENDER = runevents.Sender("gate", 1, "gate:1")
CAPACITY = runmessages.Resources(8_000, 8_192, 0)
KNOWN = runevents.UpstreamKnown("u@1", CAPACITY, ("a", "r1"), False)


class Sidecar:
    """A run manager with an upstream without runs, and the effects it returned.

    Args:
        is_listed: Whether the upstream has listed its runs to this process.
    """

    def __init__(self, is_listed: bool = True) -> None:
        self.manager = runmanager.RunManager("quotes", "east")
        self.now_ms = 1_000
        self.number = 0
        self.reports: list[runmessages.RunReport] = []
        self.room: runmessages.Room | None = None
        self.step(KNOWN)
        if is_listed:
            self.list()
        # The gateway receives the sidecar's first report before it sends orders.
        self.ask(runmessages.KeepRuns(0, 0, False, [], 0))

    def step(self, event, advance_ms=0):
        self.now_ms += advance_ms
        calls = []
        for effect in self.manager.step(event, self.now_ms):
            match effect:
                case runevents.SendReports(reports=reports):
                    self.reports += reports.reports
                    self.room = reports.room
                case runevents.CallStart() | runevents.CallStop():
                    calls.append(effect)
        return calls

    def ask(self, message, advance_ms=0):
        return self.step(runevents.Asked(SENDER, message), advance_ms)

    def start(
        self, task="t", run=1, cores=1, upstream="u@1", memory_mb=64, expected_ms=0
    ):
        self.number += 1
        needs = runmessages.Resources(round(cores * 1000), memory_mb, 0)
        name = runmessages.RunName(task, run)
        order = runmessages.RunOrder(name, needs, expected_ms=expected_ms)
        return self.ask(
            runmessages.StartRuns(
                self.number, upstream, "spec", [order], self.newest_report
            )
        )

    @property
    def newest_report(self):
        """Number of the newest report."""
        return 0 if self.room is None else self.room.number

    def answer(self, answer, task="t", run=1):
        return self.step(
            runevents.StartAnswered(runmessages.RunName(task, run), answer)
        )

    def find_list_wait_ms(self) -> int:
        """Return how long the next list request may wait for an end."""
        return self.manager.find_list_wait_ms(self.now_ms)

    def list(self, *running, ends=(), asked_ms=None):
        rows = tuple(
            runevents.ListedRun(runmessages.RunName(task, run), "", percent)
            for task, run, percent in running
        )
        found = tuple(
            runevents.EndedRun(runmessages.RunName(task, run), how, "")
            for task, run, how in ends
        )
        asked_ms = self.now_ms if asked_ms is None else asked_ms
        return self.step(runevents.Listed(asked_ms, rows, found), 1)

    def read_states(self):
        """Return the reported states of runs, without reports of progress."""
        return [
            (item.name.task, item.name.run, item.state)
            for item in self.reports
            if item.state != "running"
        ]

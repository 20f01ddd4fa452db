"""A fleet in virtual time, whose engines crash on some prompt segments."""

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from wrenloft_core import ContentId, IncarnationId, SegmentId
from wrenloft_policy import ANSWERING_SECONDS, Workload
from wrenloft_routing import (
    CrashGuard,
    CrashLedger,
    CrashSource,
    EndpointFailure,
    FailureSign,
)

STEP_SECONDS = 0.025
READ_SECONDS = 0.2
"""From the arrival at an engine until it begins to write."""

CRASH_SECONDS = 0.06
"""From then until a crash."""

WRITE_SECONDS = 1.0
LAG_SECONDS = 0.2
"""Between two messages from a node to another."""

ATTEMPTS = 2
SLOTS = 16


class Clock:
    """The time of all nodes."""

    def __init__(self) -> None:
        self.now = 1000.0

    def read(self) -> float:
        return self.now


class Store:
    """A store that grants each probe to the first node that claims it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._claims: dict[str, float] = {}

    def keep(self, *_: Any) -> None: ...

    def drop(self, *_: Any) -> None: ...

    def keep_segment(self, *_: Any) -> None: ...

    def drop_segment(self, *_: Any) -> None: ...

    async def claim(self, name: str, seconds: float) -> bool:
        if self._claims.get(name, 0.0) > self._clock.now:
            return False
        self._claims[name] = self._clock.now + seconds
        return True

    claim_segment = claim


@dataclass(eq=False)
class Run:
    """A request in progress at an engine."""

    workload: Workload
    node: int
    attempts: int
    sent_at: float
    kind: str

    @property
    def writes_at(self) -> float:
        return self.sent_at + READ_SECONDS


@dataclass
class Engine:
    """An engine; it is down until ``up_at``."""

    number: int
    born: int = 0
    up_at: float = 0.0
    runs: list[Run] = field(default_factory=list)

    @property
    def incarnation(self) -> IncarnationId:
        return IncarnationId(f"e{self.number}@{self.born}")


@dataclass
class Kind:
    """Requests of one kind.

    :param make: returns the segments of a request.
    :param rate: requests per second.
    :param contents: of the requests; a new one each time if empty.
    """

    name: str
    make: Callable[[Random], set[str]]
    rate: float
    contents: tuple[str, ...] = ()
    start: float = 0.0
    end: float = float("inf")


@dataclass
class Sent:
    """What became of a caller's request."""

    at: float
    kind: str
    refused: bool
    segments: frozenset[SegmentId]


@dataclass
class Loss:
    """What a node loses with an engine, and when it notices."""

    noticed_at: float
    crashed_at: float
    node: int
    incarnation: IncarnationId
    runs: list[Run]

    def find_heard_at(self, random: Random) -> float:
        """Return when the node last heard of the engine, which writes ten times a second."""
        writing = any(each.writes_at <= self.crashed_at for each in self.runs)
        event_at = self.crashed_at - random.uniform(0.0, 0.1)
        return event_at if writing else max(each.sent_at for each in self.runs)


class Model:
    """Nodes, engines and callers.

    :param crashes_on: returns whether an engine crashes on a workload at some time of the run.
    """

    def __init__(
        self,
        clock: Clock,
        nodes: int,
        kinds: list[Kind],
        crashes_on: Callable[[Workload, float], bool],
        *,
        engines: int = 7,
        seed: int = 1,
        silent: bool = False,
    ) -> None:
        self.clock = clock
        self.random = Random(seed)
        self.ledgers = [CrashLedger() for _ in range(nodes)]
        self.store = Store(clock)
        self.guards = [CrashGuard(each, self.store) for each in self.ledgers]
        self.engines = [Engine(number) for number in range(engines)]
        self.kinds = kinds
        self.crashes_on = crashes_on
        self.silent = silent
        self.begun_at = clock.now
        self.next_at = {each.name: clock.now + each.start for each in kinds}
        self.numbers: Iterator[int] = count()
        self.sent: list[Sent] = []
        self.arrivals: list[tuple[float, int, Workload]] = []
        self.crashed: list[tuple[float, frozenset[SegmentId]]] = []
        self.revisions: dict[tuple[int, int], tuple[int, int]] = {}
        self.exchanged_at = clock.now
        self.held: set[str] = set()
        self.frozen: set[int] = set()
        self.cut_off: set[int] = set()
        self.lost: list[Loss] = []
        self.denied: list[tuple[float, Workload]] = []

    @property
    def elapsed(self) -> float:
        """Seconds since the start."""
        return self.clock.now - self.begun_at

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.now += STEP_SECONDS
            self._send_due()
            for engine in self.engines:
                self._advance(engine)
            self._report_losses()
            self._exchange()

    def _send_due(self) -> None:
        for kind in self.kinds:
            while self.next_at[kind.name] <= self.clock.now and self.elapsed < kind.end:
                self.next_at[kind.name] += self.random.uniform(0.5, 1.5) / kind.rate
                content = self.random.choice(kind.contents) if kind.contents else ""
                content = content or f"c{next(self.numbers)}"
                segments = frozenset(map(SegmentId, kind.make(self.random)))
                self._send(Workload(ContentId(content), segments), kind.name)

    def _send(self, workload: Workload, kind: str) -> None:
        node = self.random.choice([n for n in range(len(self.guards)) if n not in self.frozen])
        refused = self._is_refused(node, workload)
        self.sent.append(Sent(self.elapsed, kind, refused, workload.segments))
        if not refused:
            self._place(Run(workload, node, ATTEMPTS, self.clock.now, kind))

    def _is_refused(self, node: int, workload: Workload) -> bool:
        guard = self.guards[node]
        quarantine = guard.find_refusal(workload)
        if quarantine is None:
            return False
        try:
            guard.claim_probe(quarantine).send(None)
        except StopIteration as result:
            return not result.value
        raise AssertionError("the claim of a probe waited")

    def _place(self, run: Run) -> None:
        free = [
            each for each in self.engines if each.up_at <= self.clock.now and len(each.runs) < SLOTS
        ]
        if free:
            fewest = min(len(each.runs) for each in free)
            engine = self.random.choice([each for each in free if len(each.runs) == fewest])
            engine.runs.append(run)
            self.arrivals.append((self.elapsed, run.node, run.workload))

    def _advance(self, engine: Engine) -> None:
        now = self.clock.now
        if engine.up_at > now:
            return
        for run in list(engine.runs):
            if now >= run.writes_at + CRASH_SECONDS and self.crashes_on(
                run.workload, run.writes_at - self.begun_at
            ):
                self.crash(engine, run.workload.segments)
                return
            if now >= run.writes_at + WRITE_SECONDS:
                engine.runs.remove(run)
                guard = self.guards[run.node]
                guard.record_answer(run.workload, [engine.incarnation], run.sent_at, 200)

    def crash(self, engine: Engine, cause: frozenset[SegmentId] = frozenset()) -> None:
        """Let an engine crash, and come back after some seconds."""
        self.crashed.append((self.elapsed, cause))
        runs, engine.runs = engine.runs, []
        noticed = self.random.uniform(0.1, 2.4) if self.silent else 0.0
        crashed_at = self.clock.now
        for node in {each.node for each in runs}:
            own = [each for each in runs if each.node == node]
            loss = Loss(crashed_at + noticed, crashed_at, node, engine.incarnation, own)
            self.lost.append(loss)
        engine.born += 1
        engine.up_at = self.clock.now + self.random.uniform(1.0, 5.0)

    def _report_losses(self) -> None:
        due = [each for each in self.lost if each.noticed_at <= self.clock.now]
        self.lost = [each for each in self.lost if each.noticed_at > self.clock.now]
        for loss in due:
            node, runs = loss.node, loss.runs
            at = loss.find_heard_at(self.random) if self.silent else loss.crashed_at
            workloads = frozenset(each.workload for each in runs)
            answering = frozenset(
                segment
                for each in runs
                if at - each.writes_at >= ANSWERING_SECONDS
                for segment in each.workload.segments
            )
            sign = FailureSign.SILENT if self.silent else FailureSign.REFUSED
            self.guards[node].record_endpoint_failure(
                EndpointFailure(loss.incarnation, workloads, sign, at, answering)
            )
            for each in runs:
                if each.attempts > 1 and self._may_retry(node, each.workload):
                    again = Run(each.workload, node, each.attempts - 1, self.clock.now, each.kind)
                    self._place(again)

    def _may_retry(self, node: int, workload: Workload) -> bool:
        segments = self.guards[node].segments
        if segments.lacks_answer(workload) and segments.is_suspect(workload):
            self.denied.append((self.elapsed, workload))
            return False
        return self.guards[node].find_refusal(workload) is None

    def _exchange(self) -> None:
        if self.clock.now - self.exchanged_at < LAG_SECONDS:
            return
        self.exchanged_at = self.clock.now
        away = self.frozen | self.cut_off
        live = [each for each in range(len(self.ledgers)) if each not in away]
        hub = self.random.choice(live)
        for source, target in [(n, hub) for n in live] + [(hub, n) for n in live]:
            if source != target:
                self._send_updates(source, target)
        for node in live:
            self.guards[node].review()
            self.held |= set(self.ledgers[node].segments.list_held())

    def _send_updates(self, source: int, target: int) -> None:
        ledger = self.ledgers[source]
        known = self.revisions.get((source, target), (0, 0))
        self.revisions[source, target] = ledger.revision, ledger.segments.revision
        crashes = ledger.list_changes(known[0])
        segments = ledger.segments.list_changes(known[1])
        self.ledgers[target].merge(crashes, CrashSource.PEER)
        self.ledgers[target].segments.merge(segments, CrashSource.PEER)

    def restart(self, *nodes: int) -> None:
        """Let nodes forget everything."""
        for node in nodes:
            self.ledgers[node] = CrashLedger()
            self.guards[node] = CrashGuard(self.ledgers[node], self.store)
        self.revisions = {
            pair: at for pair, at in self.revisions.items() if not set(pair) & {*nodes}
        }

    def count_sent(self, segment: str, after: float, nodes: Collection[int] | None = None) -> int:
        """Return how many requests with a segment reached engines after a time.

        :param nodes: those that sent them, all if ``None``.
        """
        return sum(
            at > after and segment in each.segments and (nodes is None or node in nodes)
            for at, node, each in self.arrivals
        )

    def find_bound(self, segment: str, crashes: int = 5, settle: float = 3.0) -> float:
        """Return when a bound begins that counts from some crash under a segment."""
        times = [at for at, cause in self.crashed if segment in cause]
        return times[crashes - 1] + settle if len(times) >= crashes else float("inf")

    def measure_served(self, kind: str, after: float) -> float:
        """Return the share of the requests of a kind after a time that were not refused."""
        results = [not each.refused for each in self.sent if each.kind == kind and each.at > after]
        return sum(results) / len(results)

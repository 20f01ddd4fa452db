"""Checks of what callers and endpoints saw of a run."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from wrenloft_platform import _names as names

from .callers import End, Exchange
from .documents import Configuration
from .endpoint import build_pieces, compute_digest
from .fleet import GRACE_SECONDS, Incarnation, Node, Silence

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run."""

CROSSING_SECONDS = 1.0
"""How soon after its last byte a request must end that crosses the close of a stopping node."""

LATE_SHARE = 5 / 6
"""Share of the grace after which a node may cut a request that is still being worked on."""

LATE_SEND_SECONDS = 3.0
"""How long after the signal to stop such a request may have been sent."""

LEFT_SECONDS = 0.5 + 1.5
"""How soon an endpoint must learn that its caller has left, with a tolerance for a busy machine."""

CONFIGURATION_SECONDS = 6.0
"""Age of a configuration after which no node may still use it, with an outage of the store."""


@dataclass
class Run:
    """One run of a request at an endpoint; ``ended_at`` and ``gone_at`` are 0 if it did not."""

    endpoint: str
    begun_at: float
    line: str
    digest: str
    last: str | None
    ended_at: float = 0.0
    gone_at: float = 0.0


Found = Iterator[tuple[str, str]]
"""What is wrong, and details."""


@dataclass
class Record:
    """Everything that was seen of a run.

    :param runs: by request.
    :param rejections: number of endpoints that rejected a request.
    :param allowed: incomplete answers that are no violations, by reason.
    """

    exchanges: list[Exchange]
    nodes: list[Node]
    silences: list[Silence]
    configuration: Configuration
    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    rejections: Counter[str] = field(default_factory=Counter)
    allowed: Counter[str] = field(default_factory=Counter)

    def read_journal(self, path: Path) -> None:
        """Add what an endpoint recorded."""
        open_runs: dict[str, list[Run]] = defaultdict(list)
        for text in path.read_text().splitlines():
            fields = json.loads(text)
            event, at, request_id = (fields.pop(name) for name in ("event", "at", "id"))
            match event:
                case "rejected":
                    self.rejections[request_id] += 1
                case "begun":
                    run = Run(path.stem, at, **fields)
                    self.runs[request_id].append(run)
                    open_runs[request_id].append(run)
                case "ended":
                    open_runs[request_id].pop(0).ended_at = at
                case _:
                    open_runs[request_id].pop(0).gone_at = at

    def check(self) -> list[str]:
        """Return all violations."""
        found = []
        known = {each.request_id for each in self.exchanges}
        found += [f"never sent: {each}" for each in self.runs if each not in known]
        for each in self.exchanges:
            where = f"{each.request_id} at node {each.node} on {each.name}"
            for what, details in self._check_exchange(each, self.runs[each.request_id]):
                found.append(f"{what}: {where}: {details}")
        for node in self.nodes:
            for number, incarnation in enumerate(node.incarnations):
                if incarnation.killed or incarnation.code != 0:
                    name = f"{node.settings['name']}, start {number}"
                    found.append(f"not ended within its grace: {name}: {incarnation}")
        return found

    def _check_exchange(self, exchange: Exchange, runs: list[Run]) -> Found:
        course = _describe(exchange, runs)
        if len({each.endpoint for each in runs}) > self.configuration.max_attempts:
            yield "too many endpoints", course
        if len(runs) > 1 and not exchange.route.idempotent:
            yield "ran twice", course
        sent = f"POST {exchange.path} HTTP/1.1", compute_digest(exchange.body)
        if any((each.line, each.digest) != sent for each in runs):
            yield "changed on the way", course
        if exchange.answer.extra:
            yield "bytes behind the answer", repr(exchange.answer.extra[:80])
        match exchange.end:
            case End.COMPLETE if names.RESPONSE_STAMP.lower() in exchange.answer.headers:
                yield from self._check_answer(exchange, runs, course)
            case End.COMPLETE:
                yield from self._check_own_answer(exchange, runs, course)
            case End.CLOSED | End.RESET:
                yield from self._check_lost(exchange, runs, course)
            case End.UNANSWERED:
                yield "unanswered", course
            case End.LEFT:
                yield from self._check_left(exchange, runs, course)
            case End.NOT_SENT:
                pass  # the connection ended before the request was sent whole

    def _check_answer(self, exchange: Exchange, runs: list[Run], course: str) -> Found:
        """Check an answer that seems to be an endpoint's."""
        answer, plan, request_id = exchange.answer, exchange.plan, exchange.request_id
        stamps = {f"{each.endpoint}.{request_id}" for each in runs}
        if answer.headers[names.RESPONSE_STAMP.lower()] not in stamps:
            yield "answer to another request", course
        if answer.status != plan.status:
            yield "status changed", course
        first = 0 if exchange.last_event is None else exchange.last_event + 1
        expected = b"".join(build_pieces(request_id, plan, first))
        if answer.body == expected:
            return
        if exchange.old and expected.startswith(answer.body):
            yield "incomplete answer looks complete", course
            yield from self._check_lost(exchange, runs, course)
        else:
            yield "wrong body", f"{course}, {answer.body[-300:]!r}"

    def _check_own_answer(self, exchange: Exchange, runs: list[Run], course: str) -> Found:
        """Check a refusal or a failure of an entry node."""
        if exchange.answer.status < 400:
            yield "success without an endpoint", course
        if runs and exchange.answer.status in NOT_RUN_STATUSES and not exchange.route.idempotent:
            yield "refused although it ran", course
        elif runs and not self._is_late(exchange) and not self._is_cut_by_stop(exchange, runs):
            yield "answer replaced by a failure", course

    def _check_lost(self, exchange: Exchange, runs: list[Run], course: str) -> Found:
        """Check a request whose connection ended without a complete answer."""
        untouched = not runs and not self.rejections[exchange.request_id]
        stopping = 0 < self._find_incarnation(exchange).signalled_at <= exchange.ended_at
        crossing = exchange.ended_at - exchange.sent_at <= CROSSING_SECONDS
        begun = exchange.answer.status != 0
        if untouched and not begun and stopping and crossing:
            self.allowed["crossed a close"] += 1  # callers send it elsewhere
        elif self._is_late(exchange):
            self.allowed["late"] += 1
        elif begun and self._is_cut_by_stop(exchange, runs):
            # Without a begun answer, a node that stops can still give a failure.
            self.allowed["cut by a stop"] += 1
        else:
            yield "lost", course

    def _find_incarnation(self, exchange: Exchange) -> Incarnation:
        return self.nodes[exchange.node].find_incarnation(exchange.opened_at)

    def _is_late(self, exchange: Exchange) -> bool:
        """Return whether its deadline or its route's timeout had passed."""
        start = exchange.begun_at
        timeout = self.configuration.find_shortest_timeout(
            exchange.name, start - CONFIGURATION_SECONDS, exchange.sent_at
        )
        return exchange.ended_at >= start + min(exchange.deadline, timeout)

    def _is_cut_by_stop(self, exchange: Exchange, runs: list[Run]) -> bool:
        """Return whether it was still being worked on late in the grace of a node that stops."""
        signalled_at = self._find_incarnation(exchange).signalled_at
        late = signalled_at + GRACE_SECONDS * LATE_SHARE
        return (
            signalled_at > 0
            and late <= exchange.ended_at
            and exchange.sent_at <= signalled_at + LATE_SEND_SECONDS
            and bool(runs)
            and not any(0 < self._find_delivery(each) < late for each in runs)
        )

    def _find_delivery(self, run: Run) -> float:
        """Return when the link passed the end of an answer on, 0 if the run did not end."""
        at = run.ended_at
        for each in sorted(self.silences):
            if each.held and each.endpoint == run.endpoint and each.start <= at < each.end:
                at = each.end
        return at

    def _check_left(self, exchange: Exchange, runs: list[Run], course: str) -> Found:
        """Check that endpoints learned soon that the caller had left, or once they ran again."""
        for run in runs:
            limit = exchange.ended_at + LEFT_SECONDS
            for start, end, endpoint, _ in sorted(self.silences):
                if endpoint == run.endpoint and start <= limit and end > exchange.ended_at:
                    limit = max(limit, end + LEFT_SECONDS)
            end = run.gone_at or run.ended_at
            if not end or max(end, run.begun_at) > limit:
                yield "worked on although the caller left", course


def _describe(exchange: Exchange, runs: list[Run]) -> str:
    """Describe a request's course, with times in seconds since its beginning."""

    def since(at: float) -> str:
        return f"{at - exchange.begun_at:.2f}" if at else "-"

    answer = exchange.answer
    return (
        f"HTTP/1.{0 if exchange.old else 1}, deadline {exchange.deadline:.1f},"
        f" sent {since(exchange.sent_at)}, {exchange.end.value} {since(exchange.ended_at)},"
        f" status {answer.status}, {len(answer.body)} bytes {answer.body[:50]!r}; "
    ) + "; ".join(
        f"{each.endpoint} begun {since(each.begun_at)} from {each.last},"
        f" ended {since(each.ended_at)}, gone {since(each.gone_at)}"
        for each in runs
    )

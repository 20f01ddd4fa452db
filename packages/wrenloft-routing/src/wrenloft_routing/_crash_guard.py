"""Holding back requests that crash the endpoints which run them."""

import logging
from collections import OrderedDict
from collections.abc import Mapping
from typing import Protocol

from wrenloft_core import ContentId, IncarnationId, note, read_clock
from wrenloft_policy import (
    PROBE_INTERVAL_SECONDS,
    Crash,
    CrashStatus,
    compute_probe_delay,
    is_cleared_by_success,
)
from wrenloft_routing._crash_ledger import CrashLedger, CrashSource, Hold, ToldCrash
from wrenloft_routing._failure_detector import EndpointFailure

_LOG = logging.getLogger(__name__)

MOST_PROVEN = 2048
"""Contents whose last whole answer is remembered, about 0.4 MB: those of 10 s at 200 a second. The
oldest go first; they are the next to prove nothing any more."""

MOST_TRIALS = 256
"""Contents whose last trial is remembered; more are not held back at once."""


class HoldKeeper(Protocol):
    """Where holds outlive this process, and where a trial is claimed for the whole fleet."""

    def keep(self, content: ContentId, crashes: Mapping[IncarnationId, ToldCrash]) -> None:
        """Store that a content is held back, in the background."""

    def drop(self, content: ContentId) -> None:
        """Store that it no longer is, in the background."""

    async def claim(self, content: ContentId, seconds: float) -> bool:
        """Return whether this node alone may try a content in the next seconds."""


class CrashGuard:
    """Decides which requests are answered without being sent."""

    def __init__(self, ledger: CrashLedger, keeper: HoldKeeper) -> None:
        self._ledger = ledger
        self._keeper = keeper
        self._proven: OrderedDict[ContentId, float] = OrderedDict()
        self._trials: OrderedDict[ContentId, float] = OrderedDict()
        self._held: set[ContentId] = set()
        ledger.on_change = self._review

    def take_failure(self, fall: EndpointFailure) -> None:
        """Take that an endpoint fell while requests of this node ran there."""
        for content in sorted(fall.contents):
            crash = Crash(fall.at)
            self._ledger.record(content, fall.incarnation, crash, CrashSource.OWN)
            if self._ledger.find_hold(content) is not None:
                self._keeper.keep(content, self._ledger.tell(content, read_clock()))

    def record_success(self, content: ContentId) -> None:
        """Take that a request had a whole answer: its content crashes nothing."""
        self._proven[content] = read_clock()
        self._proven.move_to_end(content)
        if len(self._proven) > MOST_PROVEN:
            self._proven.popitem(last=False)
        was_held = content in self._held
        self._ledger.excuse(content, CrashStatus.SUCCEEDED)
        if was_held:
            self._keeper.drop(content)

    def lift(self, content: ContentId) -> bool:
        """Hold a content back no longer, on an operator's word; return whether it was."""
        if self._ledger.find_hold(content) is None:
            return False
        self._ledger.excuse(content, CrashStatus.LIFTED)
        self._keeper.drop(content)
        return True

    def find_hold(self, content: ContentId) -> Hold | None:
        """Return why a content is held back, ``None`` if it is not."""
        return self._ledger.find_hold(content)

    def count_held_back(self, hold: Hold) -> None:
        """Count a request that was answered without being sent."""
        self._ledger.count_held_back(hold.content)

    def measure_return(self, hold: Hold) -> float:
        """Return the seconds until a request is next let through to find out how it fares."""
        trial_at = self._trials.get(hold.content, float("-inf"))
        return compute_probe_delay(hold.crash_ats, trial_at, read_clock())

    async def claim_trial(self, hold: Hold) -> bool:
        """Return whether a request may be sent once, though its content is held back.

        One node alone may, in the whole fleet: each node lifting by its own clock would crash as
        many engines as there are nodes. The claim is marked before it is asked for, so that a
        second caller of this node is answered at once.
        """
        content = hold.content
        if self.measure_return(hold) > 0.0:
            return False
        self._trials[content] = read_clock()
        self._trials.move_to_end(content)
        if len(self._trials) > MOST_TRIALS:
            self._trials.popitem(last=False)
        claimed = await self._keeper.claim(content, PROBE_INTERVAL_SECONDS)
        note(_LOG, "trial of a held content", content=content, claimed=claimed)
        return claimed

    def _review(self, content: ContentId) -> None:
        """Compare news of a content with what this node knows, and log when a hold begins."""
        ats = self._ledger.list_crash_times(content)
        proven_at = self._proven.get(content)
        if ats and is_cleared_by_success(proven_at, max(ats)):
            self._ledger.excuse(content, CrashStatus.SUCCEEDED)
            return
        hold = self._ledger.find_hold(content)
        if (hold is not None) is (content in self._held):
            return
        if hold is None:
            self._held.discard(content)
            note(_LOG, "content held back no longer", content=content)
            return
        self._held.add(content)
        note(
            _LOG,
            "content held back",
            content=content,
            crashes=hold.count,
            age_ms=round(hold.age * 1000),
            source=hold.source.value,
        )
        if self._ledger.has_seen(content):
            self._keeper.keep(content, self._ledger.tell(content, read_clock()))

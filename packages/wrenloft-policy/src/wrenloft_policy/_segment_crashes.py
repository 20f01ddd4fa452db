"""Attribution of endpoint crashes to prompt segments that many requests share.

A crash ends all requests in progress at an endpoint, and each of them has several segments, most of
which are in progress at every endpoint. Presence at many crashes therefore shows little. What tells
the cause from the others is that no request with it is ever answered after a crash, and that it
alone is common to all crashes.
"""

from collections.abc import Collection, Iterable, Mapping, Set
from dataclasses import dataclass, field
from enum import IntFlag

from wrenloft_core import ContentId, IncarnationId, SegmentId
from wrenloft_policy._crashes import (
    CRASH_TTL_SECONDS,
    CRASHES_TO_QUARANTINE,
    MAX_PROBE_INTERVAL_SECONDS,
    PROBE_INTERVAL_SECONDS,
)
from wrenloft_policy._workloads import Workload

CRASHES_BEYOND_NARROWER = 2
"""Crashes that quarantine a segment although a narrower one explains all others. A single one may
be that of a request whose caller left as the endpoint crashed, so that nobody reported it."""

CRASHES_BEYOND_SEGMENTS = 5
"""Crashes that quarantine a segment which was never answered although another one, no narrower, has
more. Each of several causes has fewer crashes than a victim of all; a probe soon clears that."""

ANSWERED_CRASHES_TO_QUARANTINE = 5
"""Crashes before a segment is quarantined that had whole answers shortly before. It is probably in
common use, and its quarantine would refuse a whole route or caller."""

ANSWERED_SHARE = 0.8
"""Share of the crashes around these that must count against such a segment. Engines that fail for
another reason run requests with a common segment at some of their failures only."""

CRASHES_AROUND_WITHOUT_EXCEPTION = 8
"""Crashes around, all with such a segment in progress, that quarantine it once three count against
it. A segment in common use that begins to crash engines is still being answered at the first of
them, which do not count, and few engines are left for further ones. Fewer crashes may be a single
outage of a small service."""

AROUND_SECONDS = 2.0
"""How long before the first and after the last crash of a segment others count for that share."""

ANSWERED_CRASHES_OF_ANY_SHARE = 7
"""Crashes under such a segment that quarantine it whatever the share, as there may be several
causes at once."""

ANSWERED_SPAN_SECONDS = 2.5
"""Least time between the first and the last of these; racks that fail in turn do so faster."""

ANSWERED_DELAY_SECONDS = 1.0
"""Least time from the first crash to the quarantine of such a segment. Streams last about a second,
so that requests sent after the first crash are answered meanwhile if the segment is sound."""

MOMENT_SECONDS = 0.3
"""Crashes within this time may have a single cause, as the loss of a rack has. A failure is dated
by the last event of a stream, and a stream has an event every 50 to 300 ms."""

MOMENTS_TO_QUARANTINE = 2
"""Least number of separate moments at which endpoints crashed under a segment."""

ANSWER_TTL_SECONDS = 60.0
"""Time for which a whole answer shows that a segment is in common use."""

ANSWERING_SECONDS = 0.4
"""Time for which an answer must have been written to show that its segments did not crash the
endpoint when it began. Engines that crash do so 40 to 120 ms after they began."""

ANSWER_DELAY_SECONDS = 0.3
"""Time for which an endpoint must survive a whole answer that counts as evidence. An endpoint that
crashes as it ends an answer refuses connections within some milliseconds."""

ANSWERED_PROBE_INTERVAL_SECONDS = 5.0
"""Time from the latest crash to a probe of a segment that had whole answers before, which was more
likely a victim."""

EXPLAINED_PROBE_INTERVAL_SECONDS = 1.5
"""Time from the latest crash to a probe of a segment whose crashes other quarantined segments
explain. A further probe follows after as much time as had passed since the crash, so that nodes
whose claims are refused make few of them."""

ANSWERED_PROBE_GROWTH = 4.0
"""Factor for each crash beyond those that quarantine such a segment. With the usual factor of two,
a segment that crashes engines would cost four of them in the first 75 s."""


class SegmentEvidence(IntFlag):
    """What speaks for a segment at one crash. Reports of several nodes are joined.

    ``ANSWERED_BEFORE``: a request with it had a whole answer shortly before. ``ANSWERING``: the
    endpoint had been writing an answer to one for some time. ``ANSWERED_AFTER``: a request with it
    that was sent after the crash had a whole answer. ``LIFTED``: an operator lifted its quarantine.
    """

    NONE = 0
    ANSWERED_BEFORE = 1
    ANSWERING = 2
    ANSWERED_AFTER = 4
    LIFTED = 8


_EXONERATING = SegmentEvidence.ANSWERED_AFTER | SegmentEvidence.LIFTED
_ANSWERED = SegmentEvidence.ANSWERED_BEFORE | SegmentEvidence.ANSWERED_AFTER


@dataclass(frozen=True, slots=True)
class SegmentCrash:
    """The crash of an endpoint, with what was in progress there.

    :param at: time on this node's clock, in seconds.
    :param evidence: for segments of the workloads; none for those that are missing.
    """

    at: float
    workloads: frozenset[Workload]
    evidence: Mapping[SegmentId, SegmentEvidence] = field(default_factory=dict)

    def list_segments(self) -> set[SegmentId]:
        """Return the segments that were in progress."""
        return {segment for each in self.workloads for segment in each.segments}

    def counts_against(self, segment: SegmentId) -> bool:
        """Return whether the segment may be the cause.

        A segment in common use may start to crash endpoints while earlier requests with it are
        still answered; a segment that was never answered may crash them late.
        """
        evidence = self.evidence.get(segment, SegmentEvidence.NONE)
        if evidence & _EXONERATING:
            return False
        both = SegmentEvidence.ANSWERED_BEFORE | SegmentEvidence.ANSWERING
        return evidence & both != both


SegmentCrashes = Mapping[IncarnationId, SegmentCrash]


@dataclass(frozen=True, slots=True)
class HeldSegment:
    """A segment that is quarantined.

    :param crashes: incarnations of the endpoints that crashed under it.
    :param crash_times: times of these crashes.
    :param companions: segments and contents that all requests with it had in common at the crashes,
        itself included. Any of them may be the cause, so only requests with all are refused.
    :param answered: whether requests with it had whole answers.
    :param explained: whether each of these crashes had another quarantined segment in progress, so
        that it may be a victim of those.
    """

    segment: SegmentId
    crashes: frozenset[IncarnationId]
    crash_times: tuple[float, ...]
    companions: frozenset[str]
    answered: bool
    explained: bool = False

    def concerns(self, workload: Workload) -> bool:
        """Return whether a request is refused on account of this segment."""
        return all(
            each in workload.segments or each == workload.content for each in self.companions
        )


@dataclass(frozen=True, slots=True)
class _Suspect:
    name: str
    crashes: frozenset[IncarnationId]
    companions: frozenset[str]
    answered: bool
    is_content: bool = False

    def is_narrower(self, other: "_Suspect") -> bool:
        """Return whether requests with this are only some of those with the other.

        A content is also narrower than a segment that no other content had.
        """
        if other.name not in self.companions:
            return False
        return self.is_content or self.name not in other.companions

    def explains(self, other: "_Suspect") -> bool:
        """Return whether crashes that both have in common count against this one only.

        The narrower one of two is quarantined: it refuses fewer requests, and if it was the wrong
        one, the next crash has only the other. Otherwise a segment that was answered explains
        nothing: it may be in progress at more crashes than the cause.
        """
        if self.is_narrower(other):
            return True
        if other.is_narrower(self) or self.answered:
            return False
        if other.answered and not self.is_content:
            return True
        return len(self.crashes) > len(other.crashes)


def find_held_segments(
    crashes: SegmentCrashes,
    contents: Mapping[ContentId, Collection[IncarnationId]],
    now: float,
) -> dict[SegmentId, HeldSegment]:
    """Return the segments whose requests must not be sent.

    The result depends only on the arguments, so that nodes with the same reports agree.

    :param contents: crashes of each content that may be quarantined itself, as its repeats explain
        the crashes of its segments.
    """
    recent = {key: crash for key, crash in crashes.items() if now - crash.at < CRASH_TTL_SECONDS}
    segments = _find_suspects(recent)
    rivals = [*segments.values(), *_describe_contents(recent, contents)]
    held = [each for each in segments.values() if _is_held(each, rivals, recent, now)]
    presence = {each.name: _find_presence(each.name, recent) for each in held}
    held = [each for each in held if not _is_outweighed(each, presence, recent)]
    return {
        SegmentId(each.name): HeldSegment(
            SegmentId(each.name),
            each.crashes,
            tuple(recent[key].at for key in sorted(each.crashes)),
            each.companions,
            each.answered,
            _is_explained(each, held, presence, recent),
        )
        for each in held
    }


def _find_suspects(crashes: SegmentCrashes) -> dict[SegmentId, _Suspect]:
    """Return the segments at enough crashes to be quarantined."""
    counted: dict[SegmentId, set[IncarnationId]] = {}
    for key, crash in crashes.items():
        for segment in crash.list_segments():
            if crash.counts_against(segment):
                counted.setdefault(segment, set()).add(key)
    return {
        segment: _Suspect(
            segment,
            frozenset(keys),
            _find_companions(segment, crashes.values()),
            any(crash.evidence.get(segment, 0) & _ANSWERED for crash in crashes.values()),
        )
        for segment, keys in counted.items()
        if len(keys) >= CRASHES_TO_QUARANTINE
    }


def _describe_contents(
    crashes: SegmentCrashes, contents: Mapping[ContentId, Collection[IncarnationId]]
) -> list[_Suspect]:
    return [
        _Suspect(
            content,
            frozenset(keys),
            _find_companions(content, crashes.values()) | {content},
            answered=False,
            is_content=True,
        )
        for content, keys in contents.items()
    ]


def _find_companions(name: str, crashes: Iterable[SegmentCrash]) -> frozenset[str]:
    """Return what all requests with a segment, or of a content, had in common."""
    common: set[str] | None = None
    for crash in crashes:
        for workload in crash.workloads:
            names = {*workload.segments, workload.content}
            if name in names:
                common = names if common is None else common & names
    return frozenset(common or ())


def _is_held(
    suspect: _Suspect, rivals: Iterable[_Suspect], crashes: SegmentCrashes, now: float
) -> bool:
    """Return whether enough crashes under a suspect have no other explanation."""
    remaining, unexplained = set(suspect.crashes), set(suspect.crashes)
    explaining = [each for each in rivals if each is not suspect and each.explains(suspect)]
    for rival in explaining if suspect.answered else _keep_one_content(suspect, explaining):
        if rival.is_narrower(suspect):
            unexplained -= rival.crashes
        elif rival.is_content or not _is_beyond_segments(suspect):
            unexplained -= rival.crashes
            remaining -= rival.crashes
    needed = min(len(remaining), CRASHES_BEYOND_NARROWER)
    if len(remaining) < CRASHES_TO_QUARANTINE or len(unexplained) < needed:
        return False
    if not suspect.answered:
        return count_moments(crashes[each].at for each in remaining) >= MOMENTS_TO_QUARANTINE
    return _is_answered_held(suspect, unexplained, crashes, now)


def _is_beyond_segments(suspect: _Suspect) -> bool:
    """Return whether only a narrower segment, or a content, can explain a suspect's crashes."""
    return not suspect.answered and len(suspect.crashes) >= CRASHES_BEYOND_SEGMENTS


def _keep_one_content(suspect: _Suspect, rivals: Iterable[_Suspect]) -> list[_Suspect]:
    """Leave out all contents but the one that explains most crashes of a suspect.

    Several contents that crash engines and share a segment which was never answered are more simply
    explained by that segment.
    """
    segments = [each for each in rivals if not each.is_content]
    contents = [each for each in rivals if each.is_content]
    contents.sort(key=lambda each: (len(each.crashes & suspect.crashes), each.name))
    return segments + contents[-1:]


def _is_answered_held(
    suspect: _Suspect, unexplained: set[IncarnationId], crashes: SegmentCrashes, now: float
) -> bool:
    """Return whether there is enough against a segment that had whole answers before."""
    times = sorted(crashes[each].at for each in unexplained)
    if len(times) < CRASHES_TO_QUARANTINE or now - times[0] < ANSWERED_DELAY_SECONDS:
        return False
    around = [
        crash
        for crash in crashes.values()
        if times[0] - AROUND_SECONDS <= crash.at <= times[-1] + AROUND_SECONDS
    ]
    absent = sum(suspect.name not in crash.list_segments() for crash in around)
    share = len(times) / (len(times) + absent)
    if len(times) < ANSWERED_CRASHES_TO_QUARANTINE:
        moments = count_moments(crash.at for crash in around)
        few = len(around) < CRASHES_AROUND_WITHOUT_EXCEPTION or moments < MOMENTS_TO_QUARANTINE
        return not absent and not few
    if count_moments(times) < MOMENTS_TO_QUARANTINE:
        return False
    lasting = times[-1] - times[0] >= ANSWERED_SPAN_SECONDS
    return share >= ANSWERED_SHARE or (lasting and len(times) >= ANSWERED_CRASHES_OF_ANY_SHARE)


_Presence = Mapping[str, Set[IncarnationId]]
"""The crashes at which each quarantined segment was in progress."""


def _is_outweighed(suspect: _Suspect, presence: _Presence, crashes: SegmentCrashes) -> bool:
    """Return whether another segment was in progress at all crashes of its time, unlike a suspect.

    This concerns segments that had whole answers before. One in common use that begins to crash
    engines is still being answered at its first crashes, which then count against others only. If
    the other one missed a crash there are several causes, and it may be a victim of all.
    """
    if not suspect.answered:
        return False
    for others in presence.values():
        outweighs = suspect.crashes <= others and len(others) > len(presence[suspect.name])
        if outweighs and _find_meanwhile(others, crashes) <= others:
            return True
    return False


def _is_explained(
    suspect: _Suspect, held: Iterable[_Suspect], presence: _Presence, crashes: SegmentCrashes
) -> bool:
    """Return whether other quarantined segments were in progress at all crashes under a suspect.

    Several causes at once have victims at as many crashes as each of them. Segments that the
    requests with one of the two always had tell nothing, as a probe of one is a probe of both. A
    suspect at every crash of its time may be the only cause, and is not explained.
    """
    own = presence[suspect.name]
    if _find_meanwhile(own, crashes, AROUND_SECONDS) <= own:
        return False
    unexplained = set(suspect.crashes)
    for other in held:
        if suspect.name not in other.companions and other.name not in suspect.companions:
            unexplained -= presence[other.name]
    return not unexplained


def _find_meanwhile(
    keys: Collection[IncarnationId], crashes: SegmentCrashes, margin: float = 0.0
) -> set[IncarnationId]:
    """Return the crashes from the first to the last of some.

    :param margin: seconds before and after these.
    """
    times = [crashes[each].at for each in keys]
    begin, end = min(times) - margin, max(times) + margin
    return {key for key, each in crashes.items() if begin <= each.at <= end}


def _find_presence(name: str, crashes: SegmentCrashes) -> set[IncarnationId]:
    segment = SegmentId(name)
    return {
        key
        for key, crash in crashes.items()
        if any(segment in each.segments for each in crash.workloads)
        and not crash.evidence.get(segment, SegmentEvidence.NONE) & _EXONERATING
    }


def count_moments(times: Iterable[float]) -> int:
    """Return the least number of moments that explain crashes at these times."""
    count = 0
    begun = float("-inf")
    for at in sorted(times):
        if at - begun > MOMENT_SECONDS:
            count += 1
            begun = at
    return count


def compute_segment_probe_delay(held: HeldSegment, probe_at: float, now: float) -> float:
    """Return the seconds until a request with a quarantined segment may be sent as a probe.

    :param probe_at: time of the last probe known to this node.
    """
    last = max(probe_at, *held.crash_times)
    if held.explained:
        interval = max(EXPLAINED_PROBE_INTERVAL_SECONDS, last - max(held.crash_times))
        return max(0.0, last + interval - now)
    if held.answered:
        first, growth = ANSWERED_PROBE_INTERVAL_SECONDS, ANSWERED_PROBE_GROWTH
        needed = ANSWERED_CRASHES_TO_QUARANTINE
    else:
        first, growth, needed = PROBE_INTERVAL_SECONDS, 2.0, CRASHES_TO_QUARANTINE
    extra_crashes = max(0, len(held.crash_times) - needed)
    interval = min(MAX_PROBE_INTERVAL_SECONDS, first * growth**extra_crashes)
    return max(0.0, last + interval - now)

"""What an endpoint runs for a request, as far as other requests may run the same."""

from dataclasses import dataclass

from wrenloft_core import ContentId, SegmentId


@dataclass(frozen=True, slots=True)
class Workload:
    """A request as an endpoint sees it.

    :param segments: of its prompt that other requests may share.
    """

    content: ContentId
    segments: frozenset[SegmentId]

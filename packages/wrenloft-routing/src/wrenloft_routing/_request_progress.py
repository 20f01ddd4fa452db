"""The state of one caller's request."""

from dataclasses import dataclass, field

from wrenloft_core import AgentId, ContentId, OrganisationName, read_clock
from wrenloft_policy import Prediction, Workload
from wrenloft_routing._exchange import CallerRequest, Headers
from wrenloft_routing._gate import PlacementRequest
from wrenloft_routing._streams import StreamProgress
from wrenloft_routing._table import AllowedRegions, BackendService, Rule


@dataclass(frozen=True, slots=True)
class FailureAnswer:
    """An endpoint's complete answer with a failure, sent if no other endpoint does better."""

    status: int
    headers: Headers
    body: bytes
    peer: str


@dataclass(slots=True)
class RequestProgress:
    """The state of one request.

    :param regions: in which it may be served, ``None`` for all.
    :param attempts: sent to endpoints, whatever became of them.
    :param unsent_retries: charged to the retry budget and not sent.
    :param connect_seconds: time spent on connections that failed.
    :param prediction: of the latest attempt.
    :param peer: endpoint of the latest attempt, or of the one that answers.
    :param answer_begun: whether part of an answer that is no stream was sent to the caller, so that
        no other endpoint can give the answer.
    """

    request: CallerRequest
    rule: Rule
    service: BackendService
    organisation: OrganisationName | None
    rank: int
    deadline: float
    content: ContentId
    regions: AllowedRegions = None
    tried: set[AgentId] = field(default_factory=set)
    attempts: int = 0
    unsent_retries: int = 0
    not_sent: int = 0
    connect_seconds: float = 0.0
    may_have_run: bool = False
    is_probe: bool = False
    elapsed: float = 0.0
    prediction: Prediction = Prediction(0.0, 0.0)
    peer: str = ""
    stream: StreamProgress = field(default_factory=StreamProgress)
    answer_begun: bool = False
    failure: FailureAnswer | None = None

    @property
    def workload(self) -> Workload:
        """What an endpoint runs for the request."""
        return Workload(self.content, self.request.segments)

    @property
    def can_resume(self) -> bool:
        """Whether another endpoint could go on with the answer.

        It can't where the caller has events of which none has an id.
        """
        return not (
            self.stream.begun and self.stream.last_event is None and self.request.last_event is None
        )

    @property
    def left(self) -> float:
        """Seconds for which the caller still waits."""
        return self.deadline - read_clock()


def build_placement_request(progress: RequestProgress, since: float) -> PlacementRequest:
    """Return the placement request for the gate.

    :param since: when it began to wait.
    """
    return PlacementRequest(
        service=progress.service,
        rank=progress.rank,
        prompt_tokens=progress.request.prompt_tokens,
        since=since,
        elapsed=progress.elapsed,
        latency_objective=progress.rule.latency_objective,
        deadline=progress.deadline,
        begun=progress.stream.begun,
        regions=progress.regions,
    )

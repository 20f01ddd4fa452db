"""What the upkeep of an engine needs of the engine, the origin and the list of hosts."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from wrenloft_policy import EVERY_LAYER, LayerSpan
from wrenloft_swarm._chunk_store import VersionName


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says of itself.

    :param version: version in service, 0 if none.
    :param loading: whether an order is in progress.
    :param span: the layers of that version in service, ``None`` if there are none.
    :param sequence: orders accepted since its start.
    :param born: when it was started, in milliseconds; tells incarnations of one id apart.
    """

    running: int
    waiting: int
    version: int
    loading: bool
    pace: float
    sequence: int
    span: LayerSpan | None = EVERY_LAYER
    born: int = 0

    def holds(self, number: int, span: LayerSpan) -> bool:
        """Tell whether layers of a version, or of a newer one, are in service."""
        if self.version != number:
            return self.version > number
        return self.span is not None and self.span.holds(span)


class Urgency(Enum):
    """What a chunk is fetched for."""

    FIRST_PART = "first"
    REST = "rest"


class OrderResult(Enum):
    """What an engine answered to an order."""

    ACCEPTED = "accepted"
    BUSY = "busy"
    REFUSED = "refused"


class Engine(Protocol):
    """The engine beside this agent. Every method raises ``PlatformUnavailableError``."""

    async def report(self) -> EngineState:
        """Return its state now."""

    async def list_staged(self, name: VersionName) -> set[int]:
        """Return the chunks that lie staged, whatever their version."""

    async def read_staged(self, name: VersionName, chunk: int) -> bytes | None:
        """Return one staged chunk."""

    async def stage(self, name: VersionName, chunk: int, data: bytes) -> None:
        """Stage one chunk, over whatever lies there."""

    async def order(self, name: VersionName, span: LayerSpan) -> OrderResult:
        """Order it to load layers from what is staged."""


class WeightsOrigin(Protocol):
    """The origin. Every method raises ``PlatformUnavailableError``."""

    async def fetch_digests(self, name: VersionName) -> tuple[str, ...]:
        """Return the digest of each chunk."""

    async def fetch_chunk(self, name: VersionName, chunk: int) -> bytes:
        """Return one chunk, unchecked."""


@dataclass(frozen=True, slots=True)
class Neighbour:
    """Another host that runs an agent for the same engines.

    :param address: of its agent.
    :param near: whether it is in the same region.
    :param at_origin: whether it is in the origin's region.
    """

    address: str
    near: bool
    at_origin: bool = True
    region: str = ""

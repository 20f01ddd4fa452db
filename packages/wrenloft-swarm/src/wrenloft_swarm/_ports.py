"""Interfaces of the engine, the origin and the list of hosts that a reconciler uses."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from wrenloft_policy import ALL_LAYERS, LayerSpan
from wrenloft_swarm._chunk_store import VersionName


@dataclass(frozen=True, slots=True)
class EngineState:
    """The state that an engine reports.

    :param version: version in service, 0 if none.
    :param loading: whether an order is in progress.
    :param span: the layers of that version in service, ``None`` if there are none.
    :param sequence: number of orders accepted since its start.
    :param born: start time in milliseconds, which distinguishes incarnations of one id.
    :param leaving: whether it says that it leaves.
    :param cold: seconds for which it says that it is cold.
    """

    running: int
    waiting: int
    version: int
    loading: bool
    pace: float
    sequence: int
    span: LayerSpan | None = ALL_LAYERS
    born: int = 0
    leaving: bool = False
    cold: float = 0.0

    def serves(self, number: int, span: LayerSpan) -> bool:
        """Return whether layers of a version, or any newer version, are in service."""
        if self.version != number:
            return self.version > number
        return self.span is not None and self.span.contains(span)


class Urgency(Enum):
    """The purpose of a chunk's fetch."""

    FIRST_PART = "first"
    REST = "rest"


class OrderResult(Enum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    BUSY = "busy"
    REFUSED = "refused"


class Engine(Protocol):
    """The engine on this agent's host. Every method raises ``PlatformUnavailableError``."""

    async def report(self) -> EngineState:
        """Return the engine's current state."""

    async def list_staged(self, name: VersionName) -> set[int]:
        """Return the numbers of the staged chunks, whatever their version."""

    async def read_staged(self, name: VersionName, chunk: int) -> bytes | None:
        """Return one staged chunk, ``None`` if it isn't staged."""

    async def stage(self, name: VersionName, chunk: int, data: bytes) -> None:
        """Stage one chunk, replacing any staged chunk of the same number."""

    async def order(self, name: VersionName, span: LayerSpan, sequence: int) -> OrderResult:
        """Order the engine to load layers from the staged chunks.

        :param sequence: the number of accepted orders that its last report states. With any other
            the order is rejected as ``BUSY``: the engine has restarted or has got another order.
        """

    async def unload(self, name: VersionName, sequence: int) -> OrderResult:
        """Order the engine to drop all layers of the version that it has loaded.

        It accepts no new requests from the order on, and completes those that it has accepted.

        :param sequence: the number of accepted orders that its last report states. With any other
            the order is rejected as ``BUSY``, since the engine has got another one meanwhile.
        """


class WeightsOrigin(Protocol):
    """The origin of weights. Every method raises ``PlatformUnavailableError``."""

    async def fetch_digests(self, name: VersionName) -> tuple[str, ...]:
        """Return the digest of each chunk."""

    async def fetch_chunk(self, name: VersionName, chunk: int) -> bytes:
        """Return one chunk, unverified."""


@dataclass(frozen=True, slots=True)
class Neighbour:
    """Another host that runs an agent for the same engines.

    :param address: the agent's address.
    :param near: whether it is in the same region.
    :param at_origin: whether it is in the origin's region.
    """

    address: str
    near: bool
    at_origin: bool = True
    region: str = ""

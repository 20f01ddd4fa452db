"""This node's lease, and the tables of nodes and shards that all nodes read."""

import asyncio
import json
import logging
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from random import Random

from wrenloft.platform._configurations import ConfigurationStore
from wrenloft.platform._keys import HEAD, NODES, SHARDS, name_node
from wrenloft.platform._keyvalue import Absent, Entry, KeyValueClient, Put
from wrenloft_core import (
    NodeId,
    PlaceName,
    PlatformUnavailableError,
    RegionName,
    ShardNumber,
)
from wrenloft_policy import Lease

_LOG = logging.getLogger(__name__)
_BACKOFF_LONGEST = 5.0
_RENEWALS_PER_LEASE = 3


@dataclass(frozen=True, slots=True)
class NodeRegistration:
    """What a node registers under its lease."""

    node_id: NodeId
    http_address: str
    grpc_address: str
    place: PlaceName
    region: RegionName

    @classmethod
    def decode(cls, data: bytes) -> "NodeRegistration":
        """Read what the service keeps."""
        return cls(**json.loads(data))

    def encode(self) -> bytes:
        """Return the encoding that the service keeps."""
        return json.dumps(asdict(self)).encode()


@dataclass(frozen=True, slots=True)
class ShardRecord:
    """Who owns a shard.

    :param owner: empty if the last owner released it.
    :param epoch: grows with each claim; the fencing number of the owner's orders.
    :param mod_revision: of the record in the service.
    """

    owner: NodeId
    epoch: int
    mod_revision: int


@dataclass(frozen=True, slots=True)
class PlatformTables:
    """What the service held when it was last read.

    :param nodes: nodes whose lease holds.
    :param read_at: monotonic time before the read was sent.
    """

    nodes: Mapping[NodeId, NodeRegistration] = field(default_factory=dict)
    shards: Mapping[ShardNumber, ShardRecord] = field(default_factory=dict)
    read_at: float = 0.0


class Membership:
    """Holds this node's lease and keeps the tables up to date."""

    def __init__(
        self,
        keyvalue: KeyValueClient,
        configurations: ConfigurationStore,
        registration: NodeRegistration,
        *,
        lease_seconds: int,
        poll_seconds: float,
        random: Random,
    ) -> None:
        self._keyvalue = keyvalue
        self._configurations = configurations
        self._registration = registration
        self._lease_seconds = lease_seconds
        self._poll_seconds = poll_seconds
        self._random = random
        self._lease_id = 0
        self._poll_now = asyncio.Event()
        self.lease = Lease(float(lease_seconds), sent_at=float("-inf"))
        self.tables = PlatformTables()
        self.polled = asyncio.Event()

    @property
    def node_id(self) -> NodeId:
        """This node's id."""
        return self._registration.node_id

    def holds_lease(self) -> bool:
        """Tell whether anything may be done under the lease now."""
        return self.lease.is_valid(asyncio.get_running_loop().time())

    def poll_soon(self) -> None:
        """Read the tables at once instead of at the next turn."""
        self._poll_now.set()

    async def keep_lease(self) -> None:
        """Register and renew until cancelled."""
        failures = 0
        while True:
            try:
                await self._renew()
                failures = 0
                pause = self._lease_seconds / _RENEWALS_PER_LEASE
            except PlatformUnavailableError as error:
                failures += 1
                pause = self._back_off(failures)
                _LOG.warning("lease not renewed: %s", error)
            await asyncio.sleep(pause)

    async def poll(self) -> None:
        """Read the tables and the configuration's head until cancelled."""
        failures = 0
        while True:
            try:
                await self._read_tables()
                failures = 0
                pause = self._poll_seconds * self._random.uniform(0.8, 1.2)
            except PlatformUnavailableError as error:
                failures += 1
                pause = self._back_off(failures)
                _LOG.warning("tables not read: %s", error)
            self.polled.set()
            self.polled = asyncio.Event()
            try:
                async with asyncio.timeout(pause):
                    await self._poll_now.wait()
            except TimeoutError:
                pass
            self._poll_now.clear()

    async def watch_head(self) -> None:
        """Poll as soon as the configuration's head moves, until cancelled."""
        failures = 0
        while True:
            try:
                async for _ in self._keyvalue.watch(HEAD):
                    failures = 0
                    self.poll_soon()
            except PlatformUnavailableError:
                failures += 1
            await asyncio.sleep(self._back_off(failures))

    async def leave(self) -> None:
        """End the lease, so that nobody has to wait for it to lapse."""
        self.lease.sent_at = float("-inf")
        if self._lease_id:
            try:
                await self._keyvalue.revoke(self._lease_id)
            except PlatformUnavailableError as error:
                _LOG.warning("lease not revoked, it will lapse: %s", error)

    def _back_off(self, failures: int) -> float:
        """Wait with full jitter, so that no stampede meets a service that comes back."""
        return self._random.uniform(0.05, min(_BACKOFF_LONGEST, 0.2 * 2**failures))

    async def _renew(self) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        if self._lease_id and await self._keyvalue.keep_alive(self._lease_id):
            self.lease.sent_at = sent_at
            return
        sent_at = loop.time()
        self._lease_id = await self._keyvalue.grant(self._lease_seconds)
        key = name_node(self.node_id)
        put = Put(key, self._registration.encode(), self._lease_id)
        if await self._keyvalue.commit([Absent(key)], [put]):
            self.lease.sent_at = sent_at
            self.poll_soon()
        else:
            # Still there under the lapsed or a half-made lease; it goes when that one ends.
            self._lease_id = 0
            raise PlatformUnavailableError("still registered", step="register")

    async def _read_tables(self) -> None:
        read_at = asyncio.get_running_loop().time()
        nodes, shards, heads = await self._keyvalue.scan_many([NODES, SHARDS, HEAD])
        self.tables = PlatformTables(
            nodes={each.node_id: each for each in map(_read_node, nodes)},
            shards=dict(map(_read_shard, shards)),
            read_at=read_at,
        )
        await self._configurations.refresh(heads[0] if heads else None)


def _read_node(entry: Entry) -> NodeRegistration:
    return NodeRegistration.decode(entry.value)


def _read_shard(entry: Entry) -> tuple[ShardNumber, ShardRecord]:
    fields = json.loads(entry.value)
    number = ShardNumber(int(entry.key.rsplit("/", 1)[1]))
    return number, ShardRecord(NodeId(fields["owner"]), fields["epoch"], entry.mod_revision)

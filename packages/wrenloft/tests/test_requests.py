"""Tests of the records of keyed requests."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import ClientSession
from wrenloft.platform import KeyValueClient, OwnedShard, Put, RequestRegistry
from wrenloft.platform._keys import name_shard

from wrenloft_core import ShardNumber
from wrenloft_messages import messages
from wrenloft_standins import KeyValue, KeyValueFaults, serve

_SHARD = ShardNumber(0)


class _Owner:
    """One owner of the only shard."""

    def __init__(self, client: KeyValueClient) -> None:
        self.client = client
        self.owned: OwnedShard | None = None
        self.registry = RequestRegistry(
            client,
            1,
            lambda _: self.owned,
            self._lose,
            commit_seconds=0.001,
            retention=lambda: 3600.0,
        )
        self.task = asyncio.create_task(self.registry.write())

    def _lose(self, _: ShardNumber) -> None:
        self.owned = None

    async def take(self, epoch: int) -> None:
        """Become the owner, whoever was it before."""
        key = name_shard(_SHARD)
        await self.client.commit([], [Put(key, b"%d" % epoch)])
        entry = await self.client.get(key)
        assert entry is not None
        owned = OwnedShard(_SHARD, epoch, entry.mod_revision)
        await self.registry.load(owned)
        self.owned = owned

    async def claim(
        self, key: str, request_id: str, digest: str = "d", refuted: str = ""
    ) -> messages.ClaimReply:
        """Claim a key for an attempt."""
        return await self.registry.claim(
            messages.ClaimRequest(
                organisation="liptov",
                key=key,
                body_digest=digest,
                request_id=request_id,
                agent_id="agent",
                refuted_request_id=refuted,
            )
        )

    async def settle(self, key: str, request_id: str, body: bytes) -> bool:
        """Keep an answer."""
        answer = messages.StoredAnswer(status=200, content_type="text/plain", body=body)
        return await self.registry.settle(
            messages.SettleRequest(
                organisation="liptov", key=key, request_id=request_id, answer=answer
            )
        )


@asynccontextmanager
async def _open_owners(keyvalue: KeyValue, count: int = 2) -> AsyncIterator[list[_Owner]]:
    async with serve(keyvalue) as server, ClientSession() as session:
        owners = [
            _Owner(KeyValueClient(session, [server.address], timeout=0.5)) for _ in range(count)
        ]
        try:
            yield owners
        finally:
            for each in owners:
                each.task.cancel()


class TestClaim:
    """Tests for ``RequestRegistry.claim``."""

    async def test_grants_a_key_once(self) -> None:
        """Two callers send the same note at the same moment; one attempt is granted."""
        async with _open_owners(KeyValue(), 1) as (owner,):
            await owner.take(1)
            replies = await asyncio.gather(owner.claim("k", "r1"), owner.claim("k", "r2"))
            verdicts = [each.verdict for each in replies]
            assert verdicts == [messages.CLAIM_GRANTED, messages.CLAIM_IN_FLIGHT]
            assert replies[1].request_id == "r1"

    async def test_survives_the_owner(self) -> None:
        """The owner dies after the note was written; the caller asks its successor.

        The successor reads the records before it owns the shard, and repeats the answer.
        """
        async with _open_owners(KeyValue()) as (first, second):
            await first.take(1)
            await first.claim("done", "r1")
            assert await first.settle("done", "r1", b"words")
            await first.claim("running", "r2")
            await second.take(2)
            settled = await second.claim("done", "r3")
            running = await second.claim("running", "r4")
            assert (settled.verdict, settled.answer.body) == (messages.CLAIM_SETTLED, b"words")
            assert (running.verdict, running.request_id) == (messages.CLAIM_IN_FLIGHT, "r2")

    async def test_grants_nothing_to_an_owner_that_was_replaced(self) -> None:
        """An owner is paused, replaced, and wakes believing that it still owns the shard.

        Its write names its own claim of the shard, which is no longer the present one, so the
        service refuses it; were it granted, the successor would not know of the attempt.
        """
        async with _open_owners(KeyValue()) as (paused, successor):
            await paused.take(1)
            await successor.take(2)
            assert (await successor.claim("k", "new")).verdict == messages.CLAIM_GRANTED
            reply = await paused.claim("k", "old")
            assert reply.verdict == messages.CLAIM_UNAVAILABLE
            assert paused.owned is None

    async def test_grants_after_a_lost_reply(self) -> None:
        """The service writes the claim but its reply is lost; reading back finds the claim."""
        keyvalue = KeyValue()
        async with _open_owners(keyvalue) as (first, second):
            await first.take(1)
            keyvalue.faults = KeyValueFaults(lose_next=1)
            assert (await first.claim("k", "r1")).verdict == messages.CLAIM_GRANTED
            await second.take(2)
            assert (await second.claim("k", "r2")).request_id == "r1"

    async def test_refuses_at_once_when_the_service_is_out(self) -> None:
        """No claim can be written, so nothing is sent, and the caller is told so."""
        keyvalue = KeyValue()
        async with _open_owners(keyvalue, 1) as (owner,):
            await owner.take(1)
            keyvalue.faults = KeyValueFaults(outage=True)
            reply = await owner.claim("k", "r1")
            assert reply.verdict == messages.CLAIM_UNAVAILABLE
            keyvalue.faults = KeyValueFaults()
            again = await owner.claim("k", "r2")
            # The first write may have taken effect, so its attempt must be buried first.
            assert (again.verdict, again.request_id) == (messages.CLAIM_IN_FLIGHT, "r1")
            granted = await owner.claim("k", "r2", refuted="r1")
            assert granted.verdict == messages.CLAIM_GRANTED

    async def test_refuses_the_same_key_with_another_body(self) -> None:
        """A key that is used again for another note is a mistake that the caller must see."""
        async with _open_owners(KeyValue(), 1) as (owner,):
            await owner.take(1)
            await owner.claim("k", "r1", digest="one")
            assert (await owner.claim("k", "r2", "two")).verdict == messages.CLAIM_CONFLICT

    async def test_refuses_to_refute_what_is_not_the_last_attempt(self) -> None:
        """Two nodes bury the same attempt; only the first may claim the key anew.

        The second names an attempt that is no longer the last, and joins the new one instead.
        """
        async with _open_owners(KeyValue(), 1) as (owner,):
            await owner.take(1)
            await owner.claim("k", "r1")
            first = await owner.claim("k", "r2", refuted="r1")
            second = await owner.claim("k", "r3", refuted="r1")
            assert first.verdict == messages.CLAIM_GRANTED
            assert (second.verdict, second.request_id) == (messages.CLAIM_IN_FLIGHT, "r2")


class TestSettle:
    """Tests for ``RequestRegistry.settle``."""

    async def test_frees_the_key_of_an_attempt_that_never_started(self) -> None:
        """A note's only agent refuses it and is replaced; the caller sends the note again.

        The refusal proved that nothing ran. Were the claim left, it would name an agent that
        is gone, and the note would be answered 'unknown' for good though it never ran.
        """
        async with _open_owners(KeyValue()) as (first, second):
            await first.take(1)
            await first.claim("k", "r1")
            answer = messages.StoredAnswer(not_run=True)
            request = messages.SettleRequest(
                organisation="liptov", key="k", request_id="r1", answer=answer
            )
            assert await first.registry.settle(request)
            await second.take(2)
            assert (await second.claim("k", "r2")).verdict == messages.CLAIM_GRANTED

    async def test_keeps_the_claim_of_a_later_attempt(self) -> None:
        """The proof for an attempt comes late, when the key has been claimed anew."""
        async with _open_owners(KeyValue(), 1) as (owner,):
            await owner.take(1)
            await owner.claim("k", "r1")
            await owner.claim("k", "r2", refuted="r1")
            answer = messages.StoredAnswer(not_run=True)
            request = messages.SettleRequest(
                organisation="liptov", key="k", request_id="r1", answer=answer
            )
            assert not await owner.registry.settle(request)
            assert (await owner.claim("k", "r3")).request_id == "r2"


class TestWrite:
    """Tests for ``RequestRegistry.write``."""

    async def test_writes_many_claims_in_few_calls(self) -> None:
        """The service's rates grow more slowly than the fleet, so calls do not follow requests."""
        keyvalue = KeyValue()
        async with _open_owners(keyvalue, 1) as (owner,):
            await owner.take(1)
            before = keyvalue.stats()["writes"]
            await asyncio.gather(*(owner.claim(f"k{n}", f"r{n}") for n in range(200)))
            assert keyvalue.stats()["writes"] - before <= 3

    async def test_merging_loses_no_record(self) -> None:
        """Many small segments are put into few; every key is still known afterwards."""
        keyvalue = KeyValue()
        async with _open_owners(keyvalue) as (first, second):
            await first.take(1)
            for number in range(40):
                await first.claim(f"k{number}", f"r{number}")
                await first.settle(f"k{number}", f"r{number}", b"%d" % number)
            await asyncio.sleep(0.05)
            await second.take(2)
            for number in range(40):
                reply = await second.claim(f"k{number}", "later")
                assert reply.answer.body == b"%d" % number
            assert keyvalue.stats()["keys"] < 60

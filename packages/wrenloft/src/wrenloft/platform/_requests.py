"""Records of keyed requests: claimed before they are sent, kept with their answers."""

import asyncio
import base64
import json
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from wrenloft.platform._keys import name_segments, name_shard
from wrenloft.platform._keyvalue import Absent, Condition, KeyValueClient, Put, Unchanged
from wrenloft.platform._shards import OwnedShard
from wrenloft_core import PlatformUnavailableError, ShardNumber, name_request, pick_shard
from wrenloft_messages import messages

_LOG = logging.getLogger(__name__)
_COMMIT_TRIES = 4
_BATCH_BYTES = 512 << 10
_SEGMENTS_BEFORE_MERGE = 32


class RecordKey(NamedTuple):
    """What names a keyed request."""

    organisation: str
    key: str


@dataclass(slots=True)
class Record:
    """What is known of a keyed request.

    :param request_id: of the last attempt.
    :param agent_id: the agent to which that attempt may have been sent.
    :param since: monotonic time at which this owner first saw it. A record's age is not counted
        by the date: an owner whose clock jumps ahead would forget every record, and each key
        asked again would run a second time. Counted anew by each owner, records only live longer.
    """

    body_digest: str
    request_id: str
    agent_id: str
    since: float
    answer: messages.StoredAnswer | None = None
    committed: asyncio.Future[None] | None = None


@dataclass(slots=True)
class _Ledger:
    """The records of one owned shard."""

    owned: OwnedShard
    records: dict[RecordKey, Record]
    segments: list[str]
    next_segment: int = 0


@dataclass(slots=True)
class _Pending:
    shard: ShardNumber
    event: bytes
    done: asyncio.Future[None] = field(compare=False)


class RequestRegistry:
    """Claims and answers for the shards owned here, written in groups.

    One write carries everything that came while the last one was under way, for all shards of
    this node. So writes grow with owners and time, and never with requests.

    :param holds: returns a shard if it is owned and the lease holds.
    :param on_lost: called when a write shows that a shard has a new owner.
    :param commit_seconds: least time between two writes.
    """

    def __init__(
        self,
        keyvalue: KeyValueClient,
        shard_count: int,
        holds: Callable[[ShardNumber], OwnedShard | None],
        on_lost: Callable[[ShardNumber], None],
        *,
        commit_seconds: float,
        retention: Callable[[], float],
    ) -> None:
        self._keyvalue = keyvalue
        self._shard_count = shard_count
        self._holds = holds
        self._on_lost = on_lost
        self._commit_seconds = commit_seconds
        self._retention = retention
        self._ledgers: dict[ShardNumber, _Ledger] = {}
        self._pending: list[_Pending] = []
        self._woken = asyncio.Event()

    def shard_of(self, organisation: str, key: str) -> ShardNumber:
        """Return the shard of a keyed request."""
        return pick_shard(name_request(organisation, key), self._shard_count)

    async def load(self, owned: OwnedShard) -> None:
        """Read a claimed shard's records; called before it counts as owned."""
        entries = await self._keyvalue.scan(name_segments(owned.number))
        records: dict[RecordKey, Record] = {}
        for entry in entries:
            for line in entry.value.splitlines():
                _replay(records, json.loads(line), self._now())
        self._ledgers[owned.number] = _Ledger(owned, records, [each.key for each in entries])

    def drop(self, number: ShardNumber) -> None:
        """Forget a shard that is owned elsewhere."""
        self._ledgers.pop(number, None)

    async def claim(self, request: messages.ClaimRequest) -> messages.ClaimReply:
        """Register one attempt, before it is sent to any agent."""
        number = self.shard_of(request.organisation, request.key)
        ledger = self._find_ledger(number)
        if ledger is None:
            return messages.ClaimReply(verdict=messages.CLAIM_NOT_OWNER)
        key = RecordKey(request.organisation, request.key)
        record = ledger.records.get(key)
        if record is not None and record.since + self._retention() < self._now():
            record = None
        if record is not None:
            reply = await self._answer_known(record, request)
            if reply is not None:
                return reply
        return await self._register(ledger, key, request, record)

    async def settle(self, request: messages.SettleRequest) -> bool:
        """Keep the answer of an attempt; return whether it is kept."""
        number = self.shard_of(request.organisation, request.key)
        ledger = self._find_ledger(number)
        if ledger is None:
            return False
        key = RecordKey(request.organisation, request.key)
        record = ledger.records.get(key)
        if record is None or record.request_id != request.request_id:
            return False
        if record.answer is not None:
            return True
        if request.answer.not_run:
            del ledger.records[key]
        else:
            record.answer = request.answer
        try:
            await self._append(number, _encode_answer(key, request.request_id, request.answer))
        except PlatformUnavailableError as error:
            _LOG.warning("answer of %s kept in memory only: %s", request.request_id, error)
        return True

    async def write(self) -> None:
        """Write what is pending, group after group, until cancelled."""
        while True:
            await self._woken.wait()
            self._woken.clear()
            while self._pending:
                group = self._take_group()
                await self._write_group(group)
                await asyncio.sleep(self._commit_seconds)
            await self._merge_segments()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _find_ledger(self, number: ShardNumber) -> _Ledger | None:
        owned = self._holds(number)
        ledger = self._ledgers.get(number)
        if owned is None or ledger is None or ledger.owned.epoch != owned.epoch:
            return None
        return ledger

    async def _answer_known(
        self, record: Record, request: messages.ClaimRequest
    ) -> messages.ClaimReply | None:
        if record.body_digest != request.body_digest:
            return messages.ClaimReply(verdict=messages.CLAIM_CONFLICT)
        if record.answer is not None:
            return messages.ClaimReply(verdict=messages.CLAIM_SETTLED, answer=record.answer)
        if record.request_id == request.refuted_request_id:
            return None
        if record.committed is not None:
            await asyncio.wait([record.committed])
        return messages.ClaimReply(
            verdict=messages.CLAIM_IN_FLIGHT,
            request_id=record.request_id,
            agent_id=record.agent_id,
        )

    async def _register(
        self,
        ledger: _Ledger,
        key: RecordKey,
        request: messages.ClaimRequest,
        earlier: Record | None,
    ) -> messages.ClaimReply:
        """Note the attempt here at once and in the service before it is granted.

        If the write's fate is not known the note stays: the attempt was never sent, so whoever
        asks for the key again has it buried at the agent and claims anew.
        """
        record = Record(
            body_digest=request.body_digest,
            request_id=request.request_id,
            agent_id=request.agent_id,
            since=earlier.since if earlier else self._now(),
            committed=asyncio.get_running_loop().create_future(),
        )
        ledger.records[key] = record
        try:
            await self._append(ledger.owned.number, _encode_claim(key, record))
        except PlatformUnavailableError as error:
            _LOG.warning("claim not written: %s", error)
            return messages.ClaimReply(verdict=messages.CLAIM_UNAVAILABLE)
        finally:
            if record.committed is not None:
                record.committed.set_result(None)
            record.committed = None
        return messages.ClaimReply(verdict=messages.CLAIM_GRANTED, epoch=ledger.owned.epoch)

    async def _append(self, shard: ShardNumber, event: dict[str, Any]) -> None:
        line = json.dumps(event, separators=(",", ":")).encode()
        pending = _Pending(shard, line, asyncio.get_running_loop().create_future())
        self._pending.append(pending)
        self._woken.set()
        await pending.done

    def _take_group(self) -> list[_Pending]:
        size = 0
        count = 0
        while count < len(self._pending) and size < _BATCH_BYTES:
            size += len(self._pending[count].event)
            count += 1
        group, self._pending = self._pending[:count], self._pending[count:]
        return group

    async def _write_group(self, group: list[_Pending]) -> None:
        try:
            await self._commit_group(group)
        except PlatformUnavailableError as error:
            for each in group:
                if not each.done.done():
                    each.done.set_exception(error)
        except Exception as error:
            for each in group:
                if not each.done.done():
                    each.done.set_exception(
                        PlatformUnavailableError(str(error), step="write-records")
                    )
            _LOG.exception("request records not written")

    async def _commit_group(self, group: list[_Pending]) -> None:
        """Write one segment for each shard, all or none, only while all are still ours."""
        by_shard: dict[ShardNumber, list[_Pending]] = {}
        for each in group:
            by_shard.setdefault(each.shard, []).append(each)
        self._fail_lost(by_shard)
        puts = {
            number: self._build_segment(number, [each.event for each in waiting])
            for number, waiting in by_shard.items()
        }
        while puts:
            if await self._commit(puts):
                for number, put in puts.items():
                    self._ledgers[number].segments.append(put.key)
                    for each in by_shard[number]:
                        each.done.set_result(None)
                return
            await self._find_lost(puts)
            self._fail_lost(by_shard)
            puts = {number: put for number, put in puts.items() if number in by_shard}

    def _fail_lost(self, by_shard: dict[ShardNumber, list[_Pending]]) -> None:
        for number in [each for each in by_shard if each not in self._ledgers]:
            for each in by_shard.pop(number):
                each.done.set_exception(
                    PlatformUnavailableError("shard has a new owner", step="write-records")
                )

    def _build_segment(self, number: ShardNumber, lines: list[bytes]) -> Put:
        ledger = self._ledgers[number]
        ledger.next_segment += 1
        name = f"{ledger.owned.epoch:012d}-{ledger.next_segment:08d}"
        return Put(name_segments(number) + name, b"\n".join(lines))

    async def _commit(self, puts: dict[ShardNumber, Put]) -> bool:
        """Commit, settling a lost reply by reading the segment back."""
        conditions: list[Condition] = []
        for number, put in puts.items():
            revision = self._ledgers[number].owned.mod_revision
            conditions += [Unchanged(name_shard(number), revision), Absent(put.key)]
        first = next(iter(puts.values()))
        failure: PlatformUnavailableError | None = None
        for _ in range(_COMMIT_TRIES):
            try:
                if await self._keyvalue.commit(conditions, list(puts.values())):
                    return True
                entry = await self._keyvalue.get(first.key)
                return entry is not None and entry.value == first.value
            except PlatformUnavailableError as error:
                failure = error
                await asyncio.sleep(self._commit_seconds)
        assert failure is not None
        raise failure

    async def _find_lost(self, puts: Iterable[ShardNumber]) -> None:
        for number in list(puts):
            entry = await self._keyvalue.get(name_shard(number))
            ledger = self._ledgers.get(number)
            if ledger and (entry is None or entry.mod_revision != ledger.owned.mod_revision):
                self.drop(number)
                self._on_lost(number)

    async def _merge_segments(self) -> None:
        """Put many small segments into few, leaving out records past their retention."""
        for number, ledger in list(self._ledgers.items()):
            if len(ledger.segments) >= _SEGMENTS_BEFORE_MERGE:
                try:
                    await self._merge(number, ledger)
                except PlatformUnavailableError as error:
                    _LOG.warning("segments not merged: %s", error)

    async def _merge(self, number: ShardNumber, ledger: _Ledger) -> None:
        oldest = self._now() - self._retention()
        for key in [key for key, each in ledger.records.items() if each.since < oldest]:
            del ledger.records[key]
        merged = [
            json.dumps(event, separators=(",", ":")).encode()
            for key, record in ledger.records.items()
            for event in _encode_record(key, record)
        ]
        puts = [self._build_segment(number, part) for part in _split(merged)]
        condition = Unchanged(name_shard(number), ledger.owned.mod_revision)
        old = ledger.segments
        if await self._keyvalue.commit([condition], puts, deletes=old):
            ledger.segments = [put.key for put in puts]


def _split(lines: list[bytes]) -> Iterable[list[bytes]]:
    part: list[bytes] = []
    size = 0
    for line in lines:
        if size + len(line) > _BATCH_BYTES and part:
            yield part
            part, size = [], 0
        part.append(line)
        size += len(line)
    if part:
        yield part


def _encode_claim(key: RecordKey, record: Record) -> dict[str, Any]:
    return {
        "key": list(key),
        "digest": record.body_digest,
        "request": record.request_id,
        "agent": record.agent_id,
    }


def _encode_answer(
    key: RecordKey, request_id: str, answer: messages.StoredAnswer
) -> dict[str, Any]:
    encoded = base64.b64encode(answer.SerializeToString()).decode()
    return {"key": list(key), "request": request_id, "answer": encoded}


def _encode_record(key: RecordKey, record: Record) -> Iterable[dict[str, Any]]:
    yield _encode_claim(key, record)
    if record.answer is not None:
        yield _encode_answer(key, record.request_id, record.answer)


def _replay(records: dict[RecordKey, Record], event: dict[str, Any], now: float) -> None:
    key = RecordKey(*event["key"])
    if "answer" not in event:
        records[key] = Record(event["digest"], event["request"], event["agent"], now)
        return
    record = records.get(key)
    if record is not None and record.request_id == event["request"]:
        answer = messages.StoredAnswer.FromString(base64.b64decode(event["answer"]))
        if answer.not_run:
            del records[key]
        else:
            record.answer = answer

"""A caller of the system: asks which addresses to use, and tries the next one where it may."""

import asyncio
import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientSession

from wrenloft_core import Header

CHAT = "/v1/chat/completions"
_ROUNDS = 40
_PAUSE = 0.25


@dataclass(frozen=True, slots=True)
class Reply:
    """What a caller got.

    :param outcome: ``done``, ``not-run`` or ``unknown`` as the system said, ``lost`` if nothing
        whole came.
    """

    outcome: str
    status: int = 0
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)

    @property
    def request_id(self) -> str:
        """The id that the system gave the request."""
        return self.headers.get(Header.REQUEST_ID, "")

    def error(self) -> dict[str, Any]:
        """Return the error body."""
        error: dict[str, Any] = json.loads(self.body)["error"]
        return error


@dataclass(frozen=True, slots=True)
class Question:
    """A request as a caller means it.

    :param key: idempotency key, empty for none.
    """

    method: str
    path: str
    fields: Mapping[str, Any] | None = None
    priority: str = "interactive"
    key: str = ""
    idempotent: bool = False
    deadline_ms: int | None = None

    @property
    def repeatable(self) -> bool:
        """Whether it may be sent again though it may have run."""
        return self.idempotent or bool(self.key)


def ask_model(model: str, text: str, **options: Any) -> Question:
    """Return a chat completion that may be repeated unless ``idempotent`` says otherwise."""
    fields = {"model": model, "messages": [{"role": "user", "content": text}]}
    for name in ("stream", "max_tokens"):
        if name in options:
            fields[name] = options.pop(name)
    options.setdefault("idempotent", "key" not in options)
    return Question("POST", CHAT, fields, **options)


async def send(session: ClientSession, address: str, key: str, question: Question) -> Reply:
    """Send a question once to one address."""
    headers = {"Authorization": f"Bearer {key}", Header.PRIORITY: question.priority}
    if question.key:
        headers[Header.IDEMPOTENCY_KEY] = question.key
    elif question.idempotent:
        headers[Header.IDEMPOTENT] = "true"
    if question.deadline_ms is not None:
        headers[Header.DEADLINE] = str(question.deadline_ms)
    try:
        async with session.request(
            question.method,
            f"http://{address}{question.path}",
            json=question.fields,
            headers=headers,
        ) as response:
            body = await response.read()
    except ClientError:
        return Reply("lost")
    outcome = response.headers.get(Header.OUTCOME, "lost")
    return Reply(outcome, response.status, body, response.headers)


class Caller:
    """A caller with a key, who keeps a list of addresses for as long as it was told to.

    :param seeds: returns addresses to ask for the list.
    """

    def __init__(
        self, session: ClientSession, key: str, seeds: Callable[[], Sequence[str]]
    ) -> None:
        self._session = session
        self._key = key
        self._seeds = seeds
        self._addresses: list[str] = []
        self._keep_until = 0.0
        self.attempts = 0

    async def ask(self, question: Question) -> Reply:
        """Ask until there is an outcome after which nothing more may be tried."""
        reply = Reply("lost")
        for _ in range(_ROUNDS):
            for address in await self._list_addresses():
                self.attempts += 1
                reply = await send(self._session, address, self._key, question)
                if not self._may_retry(question, reply):
                    return reply
            self._keep_until = 0.0
            await asyncio.sleep(_PAUSE)
        return reply

    @staticmethod
    def _may_retry(question: Question, reply: Reply) -> bool:
        if reply.outcome == "done":
            return False
        if reply.outcome == "not-run":
            return bool(reply.error().get("retry", {}).get("allowed"))
        return question.repeatable

    async def _list_addresses(self) -> list[str]:
        now = asyncio.get_running_loop().time()
        if now <= self._keep_until:
            return self._addresses
        for address in [*self._addresses, *self._seeds()]:
            try:
                async with self._session.get(
                    f"http://{address}/v1/entry", headers={"Authorization": f"Bearer {self._key}"}
                ) as response:
                    listed = await response.json()
            except ClientError:
                continue
            self._addresses = listed["addresses"]
            self._keep_until = now + listed["keep_seconds"]
            break
        return self._addresses

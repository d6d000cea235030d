"""One call to the platform's store."""

import functools
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import trio

from clementinedeal._client_conn import ClientConn
from clementinedeal._errors import ProtocolError
from clementinedeal._http import HttpError, RequestHead, ResponseHead
from clementinedeal._pool import ConnPool
from clementinedeal.mesh._contracts import SourceError

# The store answers in about 4 ms; a call that gets nothing for this long is
# lost.
SILENCE_SECONDS = 1.0
# An answer that goes on arriving is read to its end, since another call would
# begin at the first byte. A tenth of what the slowest link carries.
MIN_BYTES_PER_SECOND = 60_000
# A page of the store has about 1 MB. Three calls may run at once and then hold
# up to 24 MiB of the 200 MB of the smallest instance.
MAX_ANSWER_BYTES = 8 << 20
# Rises each time the store is restored from a copy.
_ERA_HEADER = b'store-era'
_MAX_ERA_DIGITS = 18


@dataclass(frozen=True, slots=True)
class Answer:
    """HTTP status, whole body and era of the answer to one call.

    ``receive_seconds`` is the time from the end of its head to its last byte.
    """

    status: int
    body: bytes
    era: int
    receive_seconds: float


class StoreCall:
    """A call that ends when its answer stops arriving.

    ``received_bytes`` is what it got so far.
    """

    def __init__(
        self, address: str, path: str, query: dict[str, Any], held: float
    ) -> None:
        """Prepare a call.

        :param address: ``ip:port`` of the store.
        :param path: path of the call, without its query.
        :param query: the parameters of the query.
        :param held: how long the store may hold the call, in seconds.
        """
        self._address = address
        self._path = path
        self._held = held
        self._head = RequestHead(
            'GET',
            f'{path}?{urlencode(query)}',
            ((b'host', address.encode()),),
        )
        self._scope = trio.CancelScope()
        self._answered_at = 0.0
        self.received_bytes = 0

    async def run(self, pool: ConnPool) -> Answer:
        """Make the call.

        :param pool: connections.
        :raises SourceError: the call failed or timed out.
        """
        now = trio.current_time()
        self._scope.deadline = now + self._held + SILENCE_SECONDS
        with self._scope:
            try:
                return await self._exchange(pool)
            except ProtocolError as exc:
                raise SourceError(f'{self._path}: {exc}') from exc
        raise SourceError(
            f'{self._path}: no answer in time,'
            f' {self.received_bytes} bytes received'
        )

    async def _exchange(self, pool: ConnPool) -> Answer:
        conn = await pool.acquire(self._address)
        is_complete = False
        try:
            answer = await self._receive(conn)
            is_complete = True
        finally:
            if not is_complete:
                conn.abort()
        await pool.release(self._address, conn)
        return answer

    async def _receive(self, conn: ClientConn) -> Answer:
        start_bytes = conn.received_bytes
        await conn.send_whole(self._head, b'')
        head = await conn.read_head()
        self._answered_at = trio.current_time()
        on_received = functools.partial(self._on_received, conn, start_bytes)
        on_received()
        body = bytes(await conn.read_whole(MAX_ANSWER_BYTES, on_received))
        return Answer(
            head.status,
            body,
            _read_era(head),
            trio.current_time() - self._answered_at,
        )

    def _on_received(self, conn: ClientConn, start_bytes: int) -> None:
        """Extend the time limit, since a part of the answer has arrived."""
        self.received_bytes = conn.received_bytes - start_bytes
        seconds = SILENCE_SECONDS + self.received_bytes / MIN_BYTES_PER_SECOND
        self._scope.deadline = min(
            trio.current_time() + SILENCE_SECONDS, self._answered_at + seconds
        )


def _read_era(head: ResponseHead) -> int:
    """Return the era that an answer of the store names, 0 if none.

    :raises HttpError: it is not a number.
    """
    text = (head.header(_ERA_HEADER) or b'0').strip()
    if not text.isdigit() or len(text) > _MAX_ERA_DIGITS:
        raise HttpError(f'unreadable era {text!r}')
    return int(text)

"""One call to the platform's store."""

from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import trio

from clementinedeal._client_conn import ClientConn
from clementinedeal._errors import ProtocolError
from clementinedeal._http import HttpError, RequestHead, ResponseHead
from clementinedeal._pool import ConnPool
from clementinedeal.mesh._contracts import SourceError

# The store answers in about 4 ms; a call without an answer after this is lost.
CALL_SECONDS = 1.0
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
    """A call with a time limit; ``received_bytes`` is what it got so far."""

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
        self.received_bytes = 0

    async def run(self, pool: ConnPool) -> Answer:
        """Make the call.

        :param pool: connections.
        :raises SourceError: the call failed or timed out.
        """
        with trio.move_on_after(self._held + CALL_SECONDS):
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
        start_bytes = conn.received_bytes
        is_complete = False
        try:
            answer = await self._receive(conn)
            is_complete = True
        finally:
            self.received_bytes = conn.received_bytes - start_bytes
            if not is_complete:
                conn.abort()
        await pool.release(self._address, conn)
        return answer

    async def _receive(self, conn: ClientConn) -> Answer:
        await conn.send_whole(self._head, b'')
        head = await conn.read_head()
        answered_at = trio.current_time()
        body = bytes(await conn.read_whole(MAX_ANSWER_BYTES))
        return Answer(
            head.status,
            body,
            _read_era(head),
            trio.current_time() - answered_at,
        )


def _read_era(head: ResponseHead) -> int:
    """Return the era that an answer of the store names, 0 if none.

    :raises HttpError: it is not a number.
    """
    text = (head.header(_ERA_HEADER) or b'0').strip()
    if not text.isdigit() or len(text) > _MAX_ERA_DIGITS:
        raise HttpError(f'unreadable era {text!r}')
    return int(text)

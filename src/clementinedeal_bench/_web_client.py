"""HTTP client connections of the bench, with whole messages in memory."""

from dataclasses import dataclass

import h11
import trio
from result import Err, Ok, Result

from clementinedeal_bench._errors import BenchError
from clementinedeal_bench._web_messages import (
    HeaderList,
    WebAnswer,
    WebRequest,
    decode_headers,
)
from clementinedeal_bench._web_server import receive_into

CONNECT_TIMEOUT_SECONDS = 3.0
# The largest answer lists 20,000 events of an instance, of about 1 KB each.
MAX_ANSWER_BYTES = 32 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class WebFailure:
    """Why there is no complete answer.

    :param detail: description of the failure.
    :param may_have_been_sent: whether bytes of the request may have been sent.
    :param status: status of an incomplete answer, 0 if no head was received.
    :param headers: headers of an incomplete answer.
    """

    detail: str
    may_have_been_sent: bool
    status: int = 0
    headers: HeaderList = ()


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address.

    :param address: ``ip:port``.
    :raises BenchError: the address has another form.
    """
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise BenchError(f'{address}: expected an address ip:port')
    return host, int(port)


class WebClient:
    """One kept-alive connection, opened with the first request."""

    def __init__(self, address: str) -> None:
        """Create a closed client.

        :param address: ``ip:port`` of the server.
        """
        self.address = address
        split_address(address)
        self._stream: trio.SocketStream | None = None
        self._conn = h11.Connection(h11.CLIENT)

    async def request(self, req: WebRequest) -> Result[WebAnswer, WebFailure]:
        """Send a request and read the complete answer.

        A cancelled or failed exchange closes the connection. An answer of more
        than ``MAX_ANSWER_BYTES`` is a failure.

        :param req: the request; ``host`` and ``content-length`` are added.
        """
        try:
            stream = await self._ensure_stream()
        except (OSError, trio.TooSlowError) as exc:
            return Err(
                WebFailure(detail=f'connect: {exc}', may_have_been_sent=False)
            )
        exchange = _Exchange(self._conn, stream)
        is_reusable = False
        try:
            answer = await exchange.run(req, self.address)
            is_reusable = exchange.is_reusable()
        except (h11.RemoteProtocolError, trio.BrokenResourceError) as exc:
            return Err(exchange.make_failure(str(exc)))
        finally:
            if not is_reusable:
                self.close()
        return Ok(answer)

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._stream is not None:
            self._stream.socket.close()
            self._stream = None

    async def _ensure_stream(self) -> trio.SocketStream:
        if self._stream is not None and self._stream.socket.is_readable():
            # An idle connection is readable once the server has closed it.
            self.close()
        if self._stream is None:
            self._conn = h11.Connection(h11.CLIENT)
            with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
                self._stream = await trio.open_tcp_stream(
                    *split_address(self.address),
                )
        else:
            self._conn.start_next_cycle()
        return self._stream


class _Exchange:
    """One request and its answer on an open connection."""

    def __init__(self, conn: h11.Connection, stream: trio.SocketStream) -> None:
        self._conn = conn
        self._stream = stream
        self._head: h11.Response | None = None
        self._received_bytes = 0

    async def run(self, req: WebRequest, host: str) -> WebAnswer:
        await self._stream.send_all(self._encode(req, host))
        chunks = []
        event = await self._next_event()
        while not isinstance(event, h11.EndOfMessage):
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError(
                    'connection closed before the answer'
                )
            event = await self._next_event()
        if self._head is None:
            raise h11.RemoteProtocolError('answer without a head')
        return WebAnswer(
            status=self._head.status_code,
            headers=decode_headers(self._head.headers),
            body=b''.join(chunks),
        )

    def is_reusable(self) -> bool:
        return (
            self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
        )

    def make_failure(self, detail: str) -> WebFailure:
        if self._head is None:
            return WebFailure(detail=detail, may_have_been_sent=True)
        return WebFailure(
            detail=detail,
            may_have_been_sent=True,
            status=self._head.status_code,
            headers=decode_headers(self._head.headers),
        )

    def _encode(self, req: WebRequest, host: str) -> bytes:
        headers = [('host', host), *req.headers]
        if req.body or req.method in {'POST', 'PUT', 'PATCH'}:
            headers.append(('content-length', str(len(req.body))))
        events: list[h11.Event] = [
            h11.Request(
                method=req.method,
                target=req.target,
                headers=headers,
            ),
        ]
        if req.body:
            events.append(h11.Data(data=req.body))
        events.append(h11.EndOfMessage())
        return b''.join(self._conn.send(event) or b'' for event in events)

    async def _next_event(self) -> object:
        event: object = self._conn.next_event()
        while event is h11.NEED_DATA:
            size = await receive_into(self._conn, self._stream)
            self._received_bytes += size
            if self._received_bytes > MAX_ANSWER_BYTES:
                raise h11.RemoteProtocolError('answer too long')
            event = self._conn.next_event()
        return event

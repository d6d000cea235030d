"""HTTP server of the stand-ins, with whole messages in memory."""

from collections.abc import Awaitable, Callable
from contextlib import suppress

import h11
import trio

from clementinedeal_bench._errors import BenchError
from clementinedeal_bench._web_messages import (
    WebAnswer,
    WebRequest,
    decode_headers,
)

RECEIVE_BYTES = 65536
CHUNK_BYTES = 16384


WebHandler = Callable[[WebRequest], Awaitable[WebAnswer]]


class ConnectionClosedError(Exception):
    """The connection is closed, by the client or by this server."""


# errors that end a connection and are caused by the client or by closing it
PEER_ERRORS = (
    ConnectionClosedError,
    h11.RemoteProtocolError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


async def receive_into(conn: h11.Connection, stream: trio.abc.Stream) -> int:
    """Pass received bytes to a connection; return how many, 0 at the end.

    :param conn: state of the HTTP connection.
    :param stream: stream to receive from.
    """
    blob = bytes(await stream.receive_some(RECEIVE_BYTES))
    conn.receive_data(blob)
    return len(blob)


async def next_event(conn: h11.Connection, stream: trio.abc.Stream) -> object:
    """Return the next event of a connection, receiving as needed.

    :param conn: state of the HTTP connection.
    :param stream: stream to receive from.
    :raises h11.RemoteProtocolError: the peer violates HTTP or closes early.
    """
    event: object = conn.next_event()
    while event is h11.NEED_DATA:
        await receive_into(conn, stream)
        event = conn.next_event()
    return event


class ServerConnection:
    """Serves the requests of one connection, one after the other.

    The handler is cancelled when the client closes the connection.
    """

    def __init__(self, stream: trio.abc.Stream, handler: WebHandler) -> None:
        """Wrap an accepted stream.

        :param stream: the accepted stream.
        :param handler: called with each complete request.
        """
        self._stream = stream
        self._handler = handler
        self._conn = h11.Connection(h11.SERVER)
        self._is_busy = False
        self._is_closing = False
        self._idle_scope = trio.CancelScope()

    async def serve(self) -> None:
        """Serve until either end closes; ``PEER_ERRORS`` are not raised."""
        try:
            with self._idle_scope:
                await self._serve_all()
        except PEER_ERRORS:
            return
        finally:
            await trio.aclose_forcefully(self._stream)

    def close_when_idle(self) -> None:
        """Close now if idle, else after the answer in progress."""
        self._is_closing = True
        if not self._is_busy:
            self._idle_scope.cancel()

    async def _serve_all(self) -> None:
        while not self._is_closing:
            req = await self._receive_request()
            self._is_busy = True
            answer = await self._run_handler(req)
            await self._send_answer(req, answer)
            self._is_busy = False
            if self._conn.states[h11.SERVER] is h11.MUST_CLOSE:
                return
            self._conn.start_next_cycle()

    async def _receive_request(self) -> WebRequest:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            raise ConnectionClosedError
        if self._conn.they_are_waiting_for_100_continue:
            await self._send_continue()
        chunks = []
        event = await self._next_event()
        while isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
            event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionClosedError
        return WebRequest(
            method=head.method.decode(),
            target=head.target.decode('latin-1'),
            headers=decode_headers(head.headers),
            body=b''.join(chunks),
        )

    async def _send_continue(self) -> None:
        blob = self._conn.send(
            h11.InformationalResponse(status_code=100, headers=[]),
        )
        await self._stream.send_all(blob)

    async def _next_event(self) -> object:
        return await next_event(self._conn, self._stream)

    async def _run_handler(self, req: WebRequest) -> WebAnswer:
        answer = WebAnswer(is_dropped=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_close, nursery.cancel_scope)
            answer = await self._handler(req)
            nursery.cancel_scope.cancel()
        return answer

    async def _cancel_on_close(self, scope: trio.CancelScope) -> None:
        is_open = True
        with suppress(trio.BrokenResourceError):
            while is_open:
                is_open = bool(await receive_into(self._conn, self._stream))
        scope.cancel()

    async def _send_answer(self, req: WebRequest, answer: WebAnswer) -> None:
        if answer.is_dropped:
            raise ConnectionClosedError
        await self._send(self._head_event(req, answer))
        body = answer.body
        if req.method == 'HEAD' or answer.status in {204, 304}:
            body = b''
        if answer.cut_after_bytes is not None:
            await self._send_body(body[: answer.cut_after_bytes])
            raise ConnectionClosedError
        await self._send_body(body)
        await self._send(h11.EndOfMessage())

    def _head_event(self, req: WebRequest, answer: WebAnswer) -> h11.Response:
        headers = list(answer.headers)
        if answer.chunked:
            headers.append(('transfer-encoding', 'chunked'))
        elif answer.status not in {204, 304}:
            headers.append(('content-length', str(len(answer.body))))
        return h11.Response(status_code=answer.status, headers=headers)

    async def _send_body(self, body: bytes) -> None:
        for start in range(0, len(body), CHUNK_BYTES):
            chunk = body[start : start + CHUNK_BYTES]
            await self._send(h11.Data(data=chunk))

    async def _send(self, event: h11.Event) -> None:
        blob = self._conn.send(event)
        if blob:
            await self._stream.send_all(blob)


class WebServer:
    """Serves connections of listening sockets, up to a limit."""

    def __init__(self, handler: WebHandler, max_connections: int) -> None:
        """Create a server.

        :param handler: called with each complete request.
        :param max_connections: open connections; further ones are closed.
        """
        self._handler = handler
        self._max_connections = max_connections
        self._open: set[ServerConnection] = set()
        self._connection_closed = trio.Event()

    async def close_when_idle(self) -> None:
        """Close every connection, after its answer in progress."""
        for conn in self._open:
            conn.close_when_idle()
        while self._open:
            await self._connection_closed.wait()

    async def listen(self, host: str, port: int) -> trio.SocketListener:
        """Open a listening socket.

        :param host: address to listen on.
        :param port: port to listen on; 0 for any.
        :raises BenchError: the address cannot be used.
        """
        try:
            return (await trio.open_tcp_listeners(port, host=host))[0]
        except OSError as exc:
            raise BenchError(f'listen on {host}:{port}: {exc}') from exc

    async def serve(self, listener: trio.SocketListener) -> None:
        """Serve a listening socket until cancelled.

        :param listener: the listening socket.
        """
        await trio.serve_listeners(self._serve_stream, [listener])

    async def _serve_stream(self, stream: trio.abc.Stream) -> None:
        if len(self._open) >= self._max_connections:
            await trio.aclose_forcefully(stream)
            return
        conn = ServerConnection(stream, self._handler)
        self._open.add(conn)
        try:
            await conn.serve()
        finally:
            self._remove(conn)

    def _remove(self, conn: ServerConnection) -> None:
        self._open.remove(conn)
        self._connection_closed.set()
        self._connection_closed = trio.Event()

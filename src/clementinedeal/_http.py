"""HTTP/1.1 over trio streams, both sides, by h11."""

import contextlib
import select
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, TypeAlias

import h11
import trio

from clementinedeal._errors import ProtocolError

READ_BYTES = 65536
_BAD_REQUEST = 400
_CONTENT_LENGTH = b'content-length'
_TRANSFER_ENCODING = b'transfer-encoding'
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        _TRANSFER_ENCODING,
        b'upgrade',
    )
)

_BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError)

Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]


class HttpError(ProtocolError):
    """The other side broke HTTP; ``status`` is the fitting answer."""

    def __init__(self, reason: str, *, status: int = _BAD_REQUEST) -> None:
        """Describe the breach.

        :param reason: what was wrong.
        :param status: answer for a caller.
        """
        super().__init__(reason)
        self.status = status


class ConnLostError(ProtocolError):
    """The connection ended before the message was complete."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpLimits:
    """Bounds on what the other side may send; times in seconds."""

    head_bytes: int = 16384
    head_timeout: float = 10.0
    idle_timeout: float = 60.0
    body_timeout: float = 30.0


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Start line and headers of a request; header names are lower case."""

    method: str
    path: str
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)

    @property
    def content_length(self) -> int | None:
        """Declared body length, 0 without a body, None when chunked."""
        if self.header(_TRANSFER_ENCODING) is not None:
            return None
        return int(self.header(_CONTENT_LENGTH) or 0)


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are lower case."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None.

    :param headers: lower-case names and values.
    :param name: lower-case name.
    """
    for key, text in headers:
        if key == name:
            return text
    return None


def end_to_end(headers: Headers) -> Headers:
    """Drop the headers that concern one connection only.

    :param headers: as received.
    """
    named = set(_HOP_BY_HOP)
    for key, text in headers:
        if key == b'connection':
            named.update(part.strip().lower() for part in text.split(b','))
    return tuple(pair for pair in headers if pair[0] not in named)


class _Wire:
    """A stream with an h11 state machine on top."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        role: Any,
        head_bytes: int,
    ) -> None:
        self.stream = stream
        self.h11 = h11.Connection(role, max_incomplete_event_size=head_bytes)

    async def send(self, event: h11.Event) -> None:
        blob = self.h11.send(event)
        if blob:
            await self._write(blob)

    async def send_all(self, *events: h11.Event) -> None:
        """Send several events in one write."""
        blobs = [self.h11.send(event) for event in events]
        await self._write(b''.join(blob for blob in blobs if blob))

    async def next_event(self) -> h11.Event | type[object]:
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            await self._read()

    def _parse(self) -> h11.Event | type[object]:
        try:
            return self.h11.next_event()
        except h11.RemoteProtocolError as exc:
            if self.h11.trailing_data[1]:
                raise ConnLostError(str(exc)) from exc
            raise HttpError(str(exc), status=exc.error_status_hint) from exc

    async def _read(self) -> None:
        try:
            blob = await self.stream.receive_some(READ_BYTES)
        except trio.BrokenResourceError as exc:
            raise ConnLostError('connection reset') from exc
        self.h11.receive_data(bytes(blob))

    async def _write(self, blob: bytes) -> None:
        try:
            await self.stream.send_all(blob)
        except _BROKEN as exc:
            raise ConnLostError('connection closed while writing') from exc


class ServerConn:
    """The serving side of one connection."""

    def __init__(self, stream: trio.abc.Stream, limits: HttpLimits) -> None:
        """Wrap an accepted stream.

        :param stream: the connection, owned from now on.
        :param limits: bounds on the other side.
        """
        self.limits = limits
        self.idle = True
        self._wire = _Wire(stream, h11.SERVER, limits.head_bytes)
        self._head_sent = False
        self._method = b''
        self._must_close = False

    async def next_request(self) -> RequestHead | None:
        """Wait for the next request; None when the connection is over.

        :raises HttpError: malformed, oversized or too slow a head.
        """
        self.idle = True
        self._head_sent = False
        if not await self._first_bytes():
            return None
        self.idle = False
        with trio.move_on_after(self.limits.head_timeout):
            return await self._read_head()
        raise HttpError('request head too slow', status=408)

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the request body in pieces.

        :raises HttpError: malformed or too slow.
        :raises ConnLostError: the sender went away.
        """
        if self._wire.h11.they_are_waiting_for_100_continue:
            await self._wire.send(
                h11.InformationalResponse(status_code=100, headers=[]),
            )
        while True:
            event = await self._body_event()
            if not isinstance(event, h11.Data):
                return
            yield bytes(event.data)

    async def respond(
        self,
        status: int,
        headers: Headers,
        body: bytes = b'',
    ) -> None:
        """Send a whole answer.

        :param status: HTTP status.
        :param headers: without length headers; they are added.
        :param body: the whole body.
        """
        length = (_CONTENT_LENGTH, b'%d' % len(body))
        known = find_header(headers, _CONTENT_LENGTH) is not None
        if not known and status not in {204, 304}:
            headers = (*headers, length)
        self._head_sent = True
        events: list[h11.Event] = [self._head(status, headers)]
        if body and self._method != b'HEAD':
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        await self._wire.send_all(*events)

    async def start_answer(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed answer.

        :param status: HTTP status.
        :param headers: end-to-end headers, length included if known.
        """
        self._head_sent = True
        await self._wire.send(self._head(status, headers))

    async def send_piece(self, piece: bytes) -> None:
        """Send one piece of a streamed answer."""
        if piece:
            await self._wire.send(h11.Data(data=piece))

    async def end_answer(self) -> None:
        """Mark a streamed answer as complete."""
        await self._wire.send(h11.EndOfMessage())

    @property
    def head_sent(self) -> bool:
        """Whether a byte of the answer may have reached the other side."""
        return self._head_sent

    def close_after_answer(self) -> None:
        """Announce and perform the close with the next answer."""
        self._must_close = True

    def ready_for_next(self) -> bool:
        """Prepare for another request; False when there can be none."""
        done = (
            self._wire.h11.our_state is h11.DONE
            and self._wire.h11.their_state is h11.DONE
        )
        if done:
            self._wire.h11.start_next_cycle()
        return done

    async def aclose(self) -> None:
        """Close the stream, gracefully for what was already sent."""
        await trio.aclose_forcefully(self._wire.stream)

    async def drain_close(self) -> None:
        """Send the end of stream, read a little, then close."""
        stream = self._wire.stream
        if isinstance(stream, trio.SocketStream):
            with trio.move_on_after(1), contextlib.suppress(*_BROKEN):
                await stream.send_eof()
                await _read_to_end(stream)
        await self.aclose()

    async def _first_bytes(self) -> bool:
        if self._wire.h11.trailing_data[0]:
            return True
        with trio.move_on_after(self.limits.idle_timeout):
            try:
                blob = await self._wire.stream.receive_some(READ_BYTES)
            except _BROKEN:
                return False
            self._wire.h11.receive_data(bytes(blob))
            return bool(blob)
        return False

    async def _read_head(self) -> RequestHead | None:
        event = await self._wire.next_event()
        if not isinstance(event, h11.Request):
            return None
        self._method = event.method
        headers = tuple(
            (bytes(key), bytes(text)) for key, text in event.headers
        )
        lengths = find_header(headers, _CONTENT_LENGTH) is not None
        if lengths and find_header(headers, _TRANSFER_ENCODING) is not None:
            raise HttpError('both content-length and transfer-encoding')
        return RequestHead(
            event.method.decode('ascii'),
            event.target.decode('ascii'),
            headers,
        )

    async def _body_event(self) -> h11.Event | type[object]:
        with trio.move_on_after(self.limits.body_timeout):
            return await self._wire.next_event()
        raise HttpError('request body too slow', status=408)

    def _head(self, status: int, headers: Headers) -> h11.Response:
        if self._must_close:
            headers = (*headers, (b'connection', b'close'))
        return h11.Response(status_code=status, headers=list(headers))


async def _read_to_end(stream: trio.SocketStream) -> None:
    received = True
    while received:
        received = bool(await stream.receive_some(READ_BYTES))


class ClientConn:
    """The calling side of one connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        """Wrap a connected stream.

        :param stream: the connection, owned from now on.
        """
        self.stream = stream
        self.idle_since = 0.0
        self._wire = _Wire(stream, h11.CLIENT, READ_BYTES)

    async def send_head(self, head: RequestHead, more: bytes = b'') -> None:
        """Send the request head and, when given, the whole body.

        :param head: with a length header or chunked encoding for a body.
        :param more: whole body, in the same write.
        :raises ConnLostError: the connection is gone.
        """
        request = h11.Request(
            method=head.method,
            target=head.path,
            headers=list(head.headers),
        )
        if more:
            await self._wire.send_all(request, h11.Data(data=more))
            return
        await self._wire.send(request)

    async def send_whole(self, head: RequestHead, body: bytes) -> None:
        """Send a request with its whole body in one write."""
        events: list[h11.Event] = [
            h11.Request(
                method=head.method,
                target=head.path,
                headers=list(head.headers),
            ),
        ]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        await self._wire.send_all(*events)

    async def send_piece(self, piece: bytes) -> None:
        """Send one piece of the request body."""
        if piece:
            await self._wire.send(h11.Data(data=piece))

    async def end_request(self) -> None:
        """Mark the request as complete."""
        await self._wire.send(h11.EndOfMessage())

    async def read_head(self) -> ResponseHead:
        """Wait for the response head; interim answers are passed over.

        :raises ConnLostError: the connection ended first.
        :raises HttpError: malformed answer.
        """
        while True:
            event = await self._wire.next_event()
            if isinstance(event, h11.Response):
                headers = tuple(
                    (bytes(key), bytes(text)) for key, text in event.headers
                )
                return ResponseHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnLostError('connection ended before the answer')

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the response body; ends only when it is whole.

        :raises ConnLostError: the body was cut short.
        :raises HttpError: malformed answer.
        """
        while True:
            event = await self._wire.next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ConnLostError('connection ended inside the answer')
            yield bytes(event.data)

    def reusable(self) -> bool:
        """Prepare for another request; False when there can be none."""
        wire = self._wire.h11
        if wire.our_state is not h11.DONE or wire.their_state is not h11.DONE:
            return False
        if wire.trailing_data[0]:
            return False
        wire.start_next_cycle()
        return True

    def stale(self) -> bool:
        """Whether the idle connection has been closed or written to."""
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def aclose(self) -> None:
        """Close the connection at once."""
        await trio.aclose_forcefully(self.stream)

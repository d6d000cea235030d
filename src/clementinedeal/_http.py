"""HTTP/1.1 messages over trio streams, parsed and serialized by h11."""

from dataclasses import dataclass
from typing import Any, TypeAlias, cast

import h11
import trio

from clementinedeal._errors import ProtocolError

READ_BYTES = 65536  # largest number of bytes in one read of a stream
# Larger messages are written in several writes, without a copy.
MAX_JOINED_BYTES = 65536
# h11 parses an event in about 6 us of CPU time, so other tasks wait at most
# 0.4 ms between two checkpoints.
MAX_EVENTS_PER_CHECKPOINT = 64
# Each event counts as at least this many bytes, because small chunks cost CPU
# time: 65,536 events fill a limit of 4 MiB and take 0.4 s of CPU time.
MIN_EVENT_BYTES = 64
_BAD_REQUEST = 400
_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431
CONTENT_LENGTH = b'content-length'
TRANSFER_ENCODING = b'transfer-encoding'
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        TRANSFER_ENCODING,
        b'upgrade',
    )
)

BROKEN_STREAM_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)

Body: TypeAlias = bytes | bytearray
Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]


class HttpError(ProtocolError):
    """The peer violated HTTP; ``status`` is the status to answer with."""

    def __init__(self, reason: str, *, status: int = _BAD_REQUEST) -> None:
        """Describe the violation.

        :param reason: the violation.
        :param status: HTTP status to answer with, if the peer is a caller.
        """
        super().__init__(reason)
        self.status = status


class TooLongError(HttpError):
    """The peer sent more than accepted; ``size`` and ``limit`` in bytes."""

    def __init__(
        self,
        *,
        size: int,
        limit: int,
        status: int = _TOO_LARGE,
    ) -> None:
        """Record how much was received and how much is accepted.

        :param size: bytes received; each event counts as at least
            ``MIN_EVENT_BYTES``.
        :param limit: maximum number of bytes accepted.
        :param status: HTTP status to answer with, if the peer is a caller.
        """
        super().__init__(
            f'received {size} bytes, limit is {limit} bytes', status=status
        )
        self.size = size
        self.limit = limit


class ConnLostError(ProtocolError):
    """The connection ended before the message was complete."""


class WriteLostError(ConnLostError):
    """The peer closed the connection while data was written to it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpLimits:
    """Limits on what the peer may send; timeouts in seconds.

    ``max_body_bytes`` limits a body that is buffered or discarded as a whole.
    Up to three copies of a body are in memory at a time; with the default
    that is half of the 200 MB of memory that the smallest host has.

    ``head_timeout`` limits the time from the first byte of a request to the
    end of its head, ``idle_timeout`` the wait for the next request, and
    ``body_timeout`` the wait for the next piece of a body.
    """

    max_head_bytes: int = 16384
    max_body_bytes: int = 32 << 20
    head_timeout: float = 10.0
    idle_timeout: float = 60.0
    body_timeout: float = 30.0


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers of a request; header names are lower case."""

    method: str
    path: str
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None.

        :param name: name of the header in lower case.
        """
        return find_header(self.headers, name)

    @property
    def content_length(self) -> int | None:
        """Declared body length, 0 without a body, None when chunked."""
        if self.header(TRANSFER_ENCODING) is not None:
            return None
        return int(self.header(CONTENT_LENGTH) or 0)


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are lower case."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None.

        :param name: name of the header in lower case.
        """
        return find_header(self.headers, name)


def decode_request_head(event: h11.Request) -> RequestHead:
    """Return the request line and headers of a parsed request.

    :param event: the request.
    """
    headers = tuple((bytes(key), bytes(text)) for key, text in event.headers)
    return RequestHead(
        event.method.decode('ascii'), event.target.decode('ascii'), headers
    )


def body_event(body: Body) -> h11.Data:
    """Return the event that sends a body without a copy.

    :param body: the whole body.
    """
    # h11 takes any object with a length
    return h11.Data(data=cast('bytes', body))


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, None without one.

    :param headers: lower-case names and values.
    :param name: lower-case name.
    """
    for key, text in headers:
        if key == name:
            return text
    return None


def strip_hop_by_hop_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones.

    Those that a ``connection`` header names are removed, too.

    :param headers: as received, with lower-case names.
    """
    connection_headers = set(_HOP_BY_HOP)
    for key, text in headers:
        if key == b'connection':
            connection_headers.update(
                part.strip().lower() for part in text.split(b',')
            )
    return tuple(pair for pair in headers if pair[0] not in connection_headers)


class H11Stream:
    """A byte stream and the h11 state machine that parses it.

    ``h11`` is that state machine. ``received_bytes`` counts the bytes read
    from the stream so far. Streams with the same ``parse_lock`` take turns if
    they have many events to parse, so that all of them together delay other
    tasks no more than one would.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        role: Any,
        max_head_bytes: int,
        parse_lock: trio.Lock | None = None,
    ) -> None:
        """Wrap a stream on which nothing was sent or received yet.

        :param stream: the connection.
        :param role: ``h11.CLIENT`` or ``h11.SERVER``.
        :param max_head_bytes: size of the largest head accepted.
        :param parse_lock: shared with other streams; None for a stream alone.
        """
        self._parse_lock = parse_lock or trio.Lock()
        self.stream = stream
        self.h11 = h11.Connection(
            role, max_incomplete_event_size=max_head_bytes
        )
        self.received_bytes = 0
        self._max_head_bytes = max_head_bytes
        self._events_since_checkpoint = 0

    async def send(self, event: h11.Event) -> None:
        """Send one event.

        :param event: part of an HTTP message.
        :raises ConnLostError: see ``send_all``.
        """
        await self.send_all(event)

    async def send_all(self, *events: h11.Event) -> None:
        """Send several events, in one write unless they are large.

        :param events: in the order in which they are sent.
        :raises ConnLostError: the connection is closed, or the body does not
            have its declared length.
        """
        blobs: list[bytes] = []
        try:
            for event in events:
                blobs.extend(self.h11.send_with_data_passthrough(event) or ())
        except h11.LocalProtocolError as exc:
            raise ConnLostError(f'cannot be sent: {exc}') from exc
        if sum(map(len, blobs)) <= MAX_JOINED_BYTES:
            await self._write(b''.join(blobs))
            return
        small_blobs: list[bytes] = []
        for blob in blobs:
            if len(blob) <= MAX_JOINED_BYTES:
                small_blobs.append(blob)
                continue
            await self._write(b''.join(small_blobs))
            small_blobs.clear()
            await self._write(blob)
        await self._write(b''.join(small_blobs))

    async def next_event(self) -> h11.Event | type[object]:
        """Return the next event, reading from the stream as needed.

        Other tasks can run after every ``MAX_EVENTS_PER_CHECKPOINT`` events,
        even if many events are already in the receive buffer.

        :raises HttpError: malformed input.
        :raises TooLongError: a head, or a line between chunks, is too long.
        :raises ConnLostError: the stream ended inside a message.
        """
        if self._events_since_checkpoint >= MAX_EVENTS_PER_CHECKPOINT:
            self._events_since_checkpoint = 0
            async with self._parse_lock:
                await trio.lowlevel.checkpoint()
        self._events_since_checkpoint += 1
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
            if exc.error_status_hint == _HEAD_TOO_LARGE:
                raise TooLongError(
                    size=len(self.h11.trailing_data[0]),
                    limit=self._max_head_bytes,
                    status=_HEAD_TOO_LARGE,
                ) from exc
            raise HttpError(str(exc), status=exc.error_status_hint) from exc

    async def _read(self) -> None:
        try:
            blob = await self.stream.receive_some(READ_BYTES)
        except trio.BrokenResourceError as exc:
            raise ConnLostError('connection reset') from exc
        self._events_since_checkpoint = 0
        self.received_bytes += len(blob)
        self.h11.receive_data(bytes(blob))

    async def _write(self, blob: bytes) -> None:
        try:
            await self.stream.send_all(blob)
        except BROKEN_STREAM_ERRORS as exc:
            raise WriteLostError('connection closed while writing') from exc


class SizeCounter:
    """Counts the bytes of one message and enforces a limit.

    The count is the larger of the bytes received, framing included, and of
    the events' content, each event taken as ``MIN_EVENT_BYTES`` or more.
    """

    def __init__(self, h11_stream: H11Stream, max_bytes: int) -> None:
        """Start to count.

        :param h11_stream: the stream that the message is read from.
        :param max_bytes: maximum number of bytes accepted.
        """
        self._h11_stream = h11_stream
        self._max_bytes = max_bytes
        self._start_bytes = h11_stream.received_bytes
        self._counted_bytes = 0

    def count(self, size: int = 0) -> None:
        """Count one event.

        :param size: size of the event's content in bytes.
        :raises TooLongError: the limit is exceeded.
        """
        self._counted_bytes += max(size, MIN_EVENT_BYTES)
        total = max(
            self._counted_bytes,
            self._h11_stream.received_bytes - self._start_bytes,
        )
        if total > self._max_bytes:
            raise TooLongError(size=total, limit=self._max_bytes)

"""HTTP/1.1 over trio streams, both sides, by h11."""

from dataclasses import dataclass
from typing import Any, TypeAlias

import h11
import trio

from clementinedeal._errors import ProtocolError

READ_BYTES = 65536
# Parsing an event takes some 6 us of a core: other tasks wait for 0.4 ms.
MAX_EVENTS_PER_CHECKPOINT = 64
# What an event costs at the least, as if it were so many bytes: 65,536 small
# ones in 4 MiB are 0.4 s of a core, while others get their turns.
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


class TooLongError(HttpError):
    """The other side sent more than is taken; ``size``, ``limit`` in bytes."""

    def __init__(
        self,
        *,
        size: int,
        limit: int,
        status: int = _TOO_LARGE,
    ) -> None:
        """Tell how much was sent.

        :param size: bytes received, small pieces counted as larger.
        :param limit: bytes taken at the most.
        :param status: answer for a caller.
        """
        super().__init__(f'{size} bytes, limit {limit}', status=status)
        self.size = size
        self.limit = limit


class ConnLostError(ProtocolError):
    """The connection ended before the message was complete."""


class WriteLostError(ConnLostError):
    """The other side closed the connection while it was written to."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpLimits:
    """Bounds on what the other side may send; times in seconds.

    ``body_bytes`` bounds a body that is kept or dropped whole. It is held up
    to three times on its way: half of the smallest machine's 200 MB.
    """

    max_head_bytes: int = 16384
    max_body_bytes: int = 32 << 20
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
        if self.header(TRANSFER_ENCODING) is not None:
            return None
        return int(self.header(CONTENT_LENGTH) or 0)


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


def strip_hop_by_hop_headers(headers: Headers) -> Headers:
    """Drop the headers that concern one connection only.

    :param headers: as received.
    """
    connection_headers = set(_HOP_BY_HOP)
    for key, text in headers:
        if key == b'connection':
            connection_headers.update(
                part.strip().lower() for part in text.split(b',')
            )
    return tuple(pair for pair in headers if pair[0] not in connection_headers)


class H11Stream:
    """A stream with an h11 state machine on top."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        role: Any,
        max_head_bytes: int,
    ) -> None:
        """Start on a fresh stream.

        :param stream: the connection.
        :param role: ``h11.CLIENT`` or ``h11.SERVER``.
        :param head_bytes: largest head accepted.
        """
        self.stream = stream
        self.h11 = h11.Connection(
            role, max_incomplete_event_size=max_head_bytes
        )
        self.received_bytes = 0
        self._max_head_bytes = max_head_bytes
        self._events_since_checkpoint = 0

    async def send(self, event: h11.Event) -> None:
        """Send one event."""
        await self.send_all(event)

    async def send_all(self, *events: h11.Event) -> None:
        """Send several events in one write.

        :raises ConnLostError: the connection is gone, or the body does not
            have its declared length.
        """
        try:
            blobs = [self.h11.send(event) for event in events]
        except h11.LocalProtocolError as exc:
            raise ConnLostError(f'cannot be sent: {exc}') from exc
        await self._write(b''.join(blob for blob in blobs if blob))

    async def next_event(self) -> h11.Event | type[object]:
        """Return the next event, reading as needed.

        Other tasks get their turn however much was received before.

        :raises HttpError: malformed input.
        :raises TooLongError: a head, or a line between chunks, is too long.
        :raises ConnLostError: the stream ended inside a message.
        """
        if self._events_since_checkpoint >= MAX_EVENTS_PER_CHECKPOINT:
            self._events_since_checkpoint = 0
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
    """Counts what comes over a wire, up to a limit."""

    def __init__(self, h11_stream: H11Stream, max_bytes: int) -> None:
        """Count from now on.

        :param wire: what the bytes come over, framing included.
        :param limit: bytes taken at the most.
        """
        self._h11_stream = h11_stream
        self._max_bytes = max_bytes
        self._start_bytes = h11_stream.received_bytes
        self._counted_bytes = 0

    def count(self, size: int = 0) -> None:
        """Count one event.

        :param size: of its content, in bytes.
        :raises TooLongError: the limit is passed.
        """
        self._counted_bytes += max(size, MIN_EVENT_BYTES)
        total = max(
            self._counted_bytes,
            self._h11_stream.received_bytes - self._start_bytes,
        )
        if total > self._max_bytes:
            raise TooLongError(size=total, limit=self._max_bytes)

"""The serving side of one HTTP connection."""

import contextlib
from collections.abc import AsyncIterator

import h11
import trio

from clementinedeal._http import (
    BROKEN_STREAM_ERRORS,
    CONTENT_LENGTH,
    READ_BYTES,
    TRANSFER_ENCODING,
    H11Stream,
    Headers,
    HttpError,
    HttpLimits,
    RequestHead,
    SizeCounter,
    find_header,
)

# A closed socket with unread bytes resets the connection and may take the
# answer with it; the other side gets one lost packet's time to read it.
CLOSE_TIMEOUT_SECONDS = 1.0
_PROCESSING = 102


class ServerConn:
    """The serving side of one connection."""

    def __init__(self, stream: trio.abc.Stream, limits: HttpLimits) -> None:
        """Wrap an accepted stream.

        :param stream: the connection, owned from now on.
        :param limits: bounds on the other side.
        """
        self.limits = limits
        self.is_idle = True
        self._h11_stream = H11Stream(stream, h11.SERVER, limits.max_head_bytes)
        # cancelled to close the connection while it waits for a request
        self.idle_scope = trio.CancelScope()
        # whether a byte of the answer may have reached the other side
        self.head_sent = False
        self._method = b''
        self._must_close = False

    def set_limits(self, limits: HttpLimits) -> None:
        """Bound the other side from now on; a rest may become longer.

        :param limits: the bounds.
        """
        extension = limits.idle_timeout - self.limits.idle_timeout
        self.limits = limits
        if self.is_idle and extension > 0:
            self.idle_scope.deadline += extension

    async def next_request(self) -> RequestHead | None:
        """Wait for the next request; None when the connection is over.

        :raises HttpError: malformed, oversized or too slow a head.
        """
        self.is_idle = True
        self.head_sent = False
        if not await self._wait_first_bytes():
            return None
        self.is_idle = False
        with trio.move_on_after(self.limits.head_timeout):
            return await self._read_head()
        raise HttpError('request head too slow', status=408)

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the request body in pieces.

        :raises HttpError: malformed or too slow.
        :raises ConnLostError: the sender went away.
        """
        if self._h11_stream.h11.they_are_waiting_for_100_continue:
            await self._h11_stream.send(
                h11.InformationalResponse(status_code=100, headers=[]),
            )
        while True:
            event = await self._next_body_event()
            if not isinstance(event, h11.Data):
                return
            yield bytes(event.data)

    async def read_whole(self) -> bytes:
        """Return the whole request body, within the limits.

        :raises TooLongError: it is larger.
        :raises HttpError: malformed or too slow.
        :raises ConnLostError: the sender went away.
        """
        size_counter = SizeCounter(self._h11_stream, self.limits.max_body_bytes)
        body = bytearray()
        async for piece in self.read_body():
            size_counter.count(len(piece))
            body += piece
        return bytes(body)

    async def discard_body(self) -> None:
        """Read the request body, within the limits, and drop it.

        :raises TooLongError: it is larger.
        """
        size_counter = SizeCounter(self._h11_stream, self.limits.max_body_bytes)
        while isinstance(await self._next_body_event(), h11.Data):
            size_counter.count()
            await trio.lowlevel.checkpoint_if_cancelled()

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
        length = (CONTENT_LENGTH, b'%d' % len(body))
        has_length = find_header(headers, CONTENT_LENGTH) is not None
        has_no_body = status in {204, 304} or self._method == b'HEAD'
        if not has_length and not has_no_body:
            headers = (*headers, length)
        self.head_sent = True
        events: list[h11.Event] = [
            _response_head(status, headers, must_close=self._must_close)
        ]
        if body and self._method != b'HEAD':
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        await self._h11_stream.send_all(*events)

    async def wait_disconnected(self) -> None:
        """Return when the other side has closed or broken the connection.

        Only while the request is being answered; what else arrives is kept
        for the next request.
        """
        received_bytes = 0
        while received_bytes < READ_BYTES:
            try:
                blob = await self._h11_stream.stream.receive_some(READ_BYTES)
            except BROKEN_STREAM_ERRORS:
                return
            self._h11_stream.h11.receive_data(bytes(blob))
            if not blob:
                return
            received_bytes += len(blob)
        await trio.sleep_forever()

    async def send_interim(self) -> None:
        """Tell the other side that its request was taken in."""
        await self._h11_stream.send(
            h11.InformationalResponse(status_code=_PROCESSING, headers=[]),
        )

    async def start_answer(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed answer.

        :param status: HTTP status.
        :param headers: end-to-end headers, length included if known.
        """
        self.head_sent = True
        await self._h11_stream.send(
            _response_head(status, headers, must_close=self._must_close)
        )

    async def send_piece(self, piece: bytes) -> None:
        """Send one piece of a streamed answer."""
        if piece:
            await self._h11_stream.send(h11.Data(data=piece))

    async def end_answer(self) -> None:
        """Mark a streamed answer as complete."""
        await self._h11_stream.send(h11.EndOfMessage())

    def close_after_answer(self) -> None:
        """Announce and perform the close with the next answer."""
        self._must_close = True

    def close_unless_read(self) -> None:
        """Close after the answer if the request was not read to its end."""
        h11_conn = self._h11_stream.h11
        if h11_conn.their_state is h11.SEND_BODY:
            with contextlib.suppress(h11.RemoteProtocolError):
                h11_conn.next_event()
        if h11_conn.their_state is not h11.DONE:
            self._must_close = True

    def prepare_next(self) -> bool:
        """Prepare for another request; False when there can be none."""
        is_complete = (
            self._h11_stream.h11.our_state is h11.DONE
            and self._h11_stream.h11.their_state is h11.DONE
        )
        if is_complete:
            self._h11_stream.h11.start_next_cycle()
        return is_complete

    async def aclose(self) -> None:
        """Close the stream, gracefully for what was already sent."""
        await trio.aclose_forcefully(self._h11_stream.stream)

    async def close_gracefully(self) -> int:
        """Send the end of stream, read a little, then close.

        A cancelled task closes at once.

        :return: how many bytes came after the end was sent.
        """
        try:
            return await _end_stream(self._h11_stream.stream)
        finally:
            await self.aclose()

    async def _wait_first_bytes(self) -> bool:
        if self._h11_stream.h11.trailing_data[0]:
            return True
        deadline = trio.current_time() + self.limits.idle_timeout
        self.idle_scope = trio.CancelScope(deadline=deadline)
        with self.idle_scope:
            try:
                blob = await self._h11_stream.stream.receive_some(READ_BYTES)
            except BROKEN_STREAM_ERRORS:
                return False
            self._h11_stream.h11.receive_data(bytes(blob))
            return bool(blob)
        return False

    async def _read_head(self) -> RequestHead | None:
        event = await self._h11_stream.next_event()
        if not isinstance(event, h11.Request):
            return None
        self._method = event.method
        headers = tuple(
            (bytes(key), bytes(text)) for key, text in event.headers
        )
        has_length = find_header(headers, CONTENT_LENGTH) is not None
        if has_length and find_header(headers, TRANSFER_ENCODING) is not None:
            raise HttpError('both content-length and transfer-encoding')
        return RequestHead(
            event.method.decode('ascii'),
            event.target.decode('ascii'),
            headers,
        )

    async def _next_body_event(self) -> h11.Event | type[object]:
        with trio.move_on_after(self.limits.body_timeout):
            return await self._h11_stream.next_event()
        raise HttpError('request body too slow', status=408)


def _response_head(
    status: int, headers: Headers, *, must_close: bool
) -> h11.Response:
    if must_close:
        headers = (*headers, (b'connection', b'close'))
    return h11.Response(status_code=status, headers=list(headers))


async def _end_stream(stream: trio.abc.Stream) -> int:
    received_bytes = 0
    if not isinstance(stream, trio.SocketStream):
        return received_bytes
    with (
        trio.move_on_after(CLOSE_TIMEOUT_SECONDS),
        contextlib.suppress(*BROKEN_STREAM_ERRORS),
    ):
        await stream.send_eof()
        while blob := await stream.receive_some(READ_BYTES):
            received_bytes += len(blob)
    return received_bytes

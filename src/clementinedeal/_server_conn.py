"""The serving side of one HTTP connection."""

import contextlib
from collections.abc import AsyncIterator

import h11
import trio

from clementinedeal._http import (
    BROKEN_ERRORS,
    CONTENT_LENGTH,
    READ_BYTES,
    TRANSFER_ENCODING,
    Headers,
    HttpError,
    HttpLimits,
    RequestHead,
    SizeBound,
    Wire,
    find_header,
)

# A closed socket with unread bytes resets the connection and may take the
# answer with it; the other side gets one lost packet's time to read it.
CLOSE_SECONDS = 1.0
_PROCESSING = 102


class ServerConn:
    """The serving side of one connection."""

    def __init__(self, stream: trio.abc.Stream, limits: HttpLimits) -> None:
        """Wrap an accepted stream.

        :param stream: the connection, owned from now on.
        :param limits: bounds on the other side.
        """
        self.limits = limits
        self.idle = True
        self._wire = Wire(stream, h11.SERVER, limits.head_bytes)
        # cancelled to close the connection while it waits for a request
        self.resting = trio.CancelScope()
        # whether a byte of the answer may have reached the other side
        self.head_sent = False
        self._method = b''
        self._must_close = False

    def take_limits(self, limits: HttpLimits) -> None:
        """Bound the other side from now on; a rest may become longer.

        :param limits: the bounds.
        """
        longer = limits.idle_timeout - self.limits.idle_timeout
        self.limits = limits
        if self.idle and longer > 0:
            self.resting.deadline += longer

    async def next_request(self) -> RequestHead | None:
        """Wait for the next request; None when the connection is over.

        :raises HttpError: malformed, oversized or too slow a head.
        """
        self.idle = True
        self.head_sent = False
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

    async def read_whole(self) -> bytes:
        """Return the whole request body, within the limits.

        :raises TooLongError: it is larger.
        :raises HttpError: malformed or too slow.
        :raises ConnLostError: the sender went away.
        """
        bound = SizeBound(self._wire, self.limits.body_bytes)
        whole = bytearray()
        async for piece in self.read_body():
            bound.count(len(piece))
            whole += piece
        return bytes(whole)

    async def skip_body(self) -> None:
        """Read the request body, within the limits, and drop it.

        :raises TooLongError: it is larger.
        """
        bound = SizeBound(self._wire, self.limits.body_bytes)
        while isinstance(await self._body_event(), h11.Data):
            bound.count()
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
        known = find_header(headers, CONTENT_LENGTH) is not None
        bodiless = status in {204, 304} or self._method == b'HEAD'
        if not known and not bodiless:
            headers = (*headers, length)
        self.head_sent = True
        events: list[h11.Event] = [
            _head(status, headers, closing=self._must_close)
        ]
        if body and self._method != b'HEAD':
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        await self._wire.send_all(*events)

    async def wait_left(self) -> None:
        """Return when the other side has closed or broken the connection.

        Only while the request is being answered; what else arrives is kept
        for the next request.
        """
        received = 0
        while received < READ_BYTES:
            try:
                blob = await self._wire.stream.receive_some(READ_BYTES)
            except BROKEN_ERRORS:
                return
            self._wire.h11.receive_data(bytes(blob))
            if not blob:
                return
            received += len(blob)
        await trio.sleep_forever()

    async def send_interim(self) -> None:
        """Tell the other side that its request was taken in."""
        await self._wire.send(
            h11.InformationalResponse(status_code=_PROCESSING, headers=[]),
        )

    async def start_answer(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed answer.

        :param status: HTTP status.
        :param headers: end-to-end headers, length included if known.
        """
        self.head_sent = True
        await self._wire.send(_head(status, headers, closing=self._must_close))

    async def send_piece(self, piece: bytes) -> None:
        """Send one piece of a streamed answer."""
        if piece:
            await self._wire.send(h11.Data(data=piece))

    async def end_answer(self) -> None:
        """Mark a streamed answer as complete."""
        await self._wire.send(h11.EndOfMessage())

    def close_after_answer(self) -> None:
        """Announce and perform the close with the next answer."""
        self._must_close = True

    def close_unless_read(self) -> None:
        """Close after the answer if the request was not read to its end."""
        wire = self._wire.h11
        if wire.their_state is h11.SEND_BODY:
            with contextlib.suppress(h11.RemoteProtocolError):
                wire.next_event()
        if wire.their_state is not h11.DONE:
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

    async def drain_close(self) -> int:
        """Send the end of stream, read a little, then close.

        A cancelled task closes at once.

        :return: how many bytes came after the end was sent.
        """
        try:
            return await _end_stream(self._wire.stream)
        finally:
            await self.aclose()

    async def _first_bytes(self) -> bool:
        if self._wire.h11.trailing_data[0]:
            return True
        limit = trio.current_time() + self.limits.idle_timeout
        self.resting = trio.CancelScope(deadline=limit)
        with self.resting:
            try:
                blob = await self._wire.stream.receive_some(READ_BYTES)
            except BROKEN_ERRORS:
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
        lengths = find_header(headers, CONTENT_LENGTH) is not None
        if lengths and find_header(headers, TRANSFER_ENCODING) is not None:
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


def _head(status: int, headers: Headers, *, closing: bool) -> h11.Response:
    if closing:
        headers = (*headers, (b'connection', b'close'))
    return h11.Response(status_code=status, headers=list(headers))


async def _end_stream(stream: trio.abc.Stream) -> int:
    received = 0
    if not isinstance(stream, trio.SocketStream):
        return received
    with (
        trio.move_on_after(CLOSE_SECONDS),
        contextlib.suppress(*BROKEN_ERRORS),
    ):
        await stream.send_eof()
        while blob := await stream.receive_some(READ_BYTES):
            received += len(blob)
    return received

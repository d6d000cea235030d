"""The server end of one HTTP connection."""

import contextlib
import socket
from collections.abc import AsyncIterator

import h11
import trio

from clementinedeal._body_reader import BodyLimits, BodyReader
from clementinedeal._body_writer import send_cuttable
from clementinedeal._byte_budget import ByteBudget, HeldBytes
from clementinedeal._http import (
    BROKEN_STREAM_ERRORS,
    CONTENT_LENGTH,
    MAX_JOINED_BYTES,
    READ_BYTES,
    TRANSFER_ENCODING,
    Body,
    H11Stream,
    Headers,
    HttpError,
    HttpLimits,
    RequestHead,
    SizeCounter,
    body_event,
    decode_request_head,
    find_header,
)
from clementinedeal._read_ahead import EarlyRequest, EarlyRunner, ReadAhead
from clementinedeal._timers import MonotonicClock

# Closing a socket that has unread bytes resets the connection, and the client
# may lose the answer. The server keeps reading for this long, enough for one
# lost packet to be sent again.
CLOSE_TIMEOUT_SECONDS = 1.0
# How often a connection that reads no more is checked for its end.
END_POLL_SECONDS = 0.25
# States of a TCP connection whose peer has closed it, see linux/tcp.h.
_ENDED_TCP_STATES = frozenset((7, 8))
# Data that is read while a request is answered, to notice its caller's end.
READ_AHEAD_BYTES = 16384
_PROCESSING = 102
_UNREAD_STATES = frozenset((h11.IDLE, h11.SEND_BODY, h11.ERROR))


class ServerConn:
    """The server end of one connection; answers one request at a time.

    ``is_idle`` is true between requests. Cancelling ``idle_scope`` closes the
    connection if it waits for a request. ``head_sent`` is true once a byte of
    the current answer may have reached the client. ``read_ahead`` holds the
    requests behind the current one that run already; ``early_request`` is the
    current one, if it does. ``state_since`` is when it began to wait for a
    request or to receive one, in monotonic seconds.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        limits: HttpLimits,
        budget: ByteBudget | None = None,
        parse_lock: trio.Lock | None = None,
    ) -> None:
        """Wrap an accepted stream.

        :param stream: the connection, owned from now on.
        :param limits: limits on what the client may send.
        :param budget: counts the bodies; unlimited if none is given.
        :param parse_lock: shared by the connections that parse in turns.
        """
        self.limits = limits
        self._budget = budget or ByteBudget(MonotonicClock())
        self.state_since = self._budget.clock.now()
        self._announced_bytes = 0
        self.is_idle = True
        self._h11_stream = H11Stream(
            stream, h11.SERVER, limits.max_head_bytes, parse_lock
        )
        self._body_reader = BodyReader(self._h11_stream, self._budget)
        self.idle_scope = trio.CancelScope()
        self.head_sent = False
        self._method = b''
        self._must_close = False
        self.read_ahead = ReadAhead()
        self.early_request: EarlyRequest | None = None

    @property
    def is_received(self) -> bool:
        """Whether a request was read to its end and is not answered yet.

        One that runs early counts before its turn, too.
        """
        has_early = self.read_ahead.count or self.early_request is not None
        return bool(
            has_early or self._h11_stream.h11.their_state not in _UNREAD_STATES
        )

    def set_limits(self, limits: HttpLimits) -> None:
        """Replace the limits.

        A raised idle timeout also holds for a wait that has begun; a lowered
        one holds from the next wait on.

        :param limits: limits on what the client may send.
        """
        extension = limits.idle_timeout - self.limits.idle_timeout
        self.limits = limits
        if self.is_idle and extension > 0:
            self.idle_scope.deadline += extension

    async def next_request(self) -> RequestHead | None:
        """Wait for the next request and return its head.

        :return: None if the connection ended or was idle for too long.
        :raises HttpError: the head is malformed, too large or too slow.
        """
        self.is_idle = True
        self.state_since = self._budget.clock.now()
        self.head_sent = False
        if not await self._wait_first_bytes():
            return None
        self.is_idle = False
        self.state_since = self._budget.clock.now()
        with trio.move_on_after(self.limits.head_timeout):
            return await self._read_head()
        raise HttpError('request head not complete in time', status=408)

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the request body in pieces.

        :raises HttpError: malformed or too slow.
        :raises ConnLostError: the client closed the connection.
        """
        await self._body_reader.send_continue()
        while True:
            event = await self._body_reader.next_event(self.limits.body_timeout)
            if not isinstance(event, h11.Data):
                return
            yield bytes(event.data)

    async def read_whole(self, max_bytes: int | None = None) -> Body:
        """Return the whole request body.

        :param max_bytes: size of the largest body accepted, however it is
            framed. By default ``limits.max_body_bytes``, toward which the
            framing counts.
        :raises TooLongError: the body is larger; a size that the head
            announces is refused before it is read.
        :raises BudgetSpentError: there is no memory for it.
        :raises HttpError: malformed or too slow.
        :raises ConnLostError: the client closed the connection.
        """
        size_counter = SizeCounter(self._h11_stream, self.limits.max_body_bytes)
        body_limits = BodyLimits(
            announced_bytes=self._announced_bytes,
            max_bytes=self.limits.max_body_bytes
            if max_bytes is None
            else max_bytes,
            timeout=self.limits.body_timeout,
            count=size_counter.count if max_bytes is None else None,
        )
        return await self._body_reader.read(body_limits)

    async def discard_body(self) -> None:
        """Read the request body, up to the limit, and discard it.

        :raises TooLongError: the body is larger.
        """
        size_counter = SizeCounter(self._h11_stream, self.limits.max_body_bytes)
        while isinstance(
            await self._body_reader.next_event(self.limits.body_timeout),
            h11.Data,
        ):
            size_counter.count()
            await trio.lowlevel.checkpoint_if_cancelled()

    async def respond(
        self,
        status: int,
        headers: Headers,
        body: Body = b'',
    ) -> None:
        """Send a whole answer.

        :param status: HTTP status.
        :param headers: end-to-end headers; a missing ``content-length`` is
            added, except for ``HEAD`` and statuses without a body.
        :param body: the whole body; not sent in answer to ``HEAD``.
        :raises ConnLostError: the connection is closed.
        """
        length = (CONTENT_LENGTH, b'%d' % len(body))
        has_length = find_header(headers, CONTENT_LENGTH) is not None
        has_no_body = status in {204, 304} or self._method == b'HEAD'
        if not has_length and not has_no_body:
            headers = (*headers, length)
        self.head_sent = True
        events: list[h11.Event] = [
            _response_head(
                status,
                headers,
                must_close=self._must_close and not self.read_ahead.count,
            )
        ]
        if body and self._method != b'HEAD':
            events.append(body_event(body))
        events.append(h11.EndOfMessage())
        if isinstance(body, HeldBytes) and len(body) > MAX_JOINED_BYTES:
            await send_cuttable(self._h11_stream, self._budget, body, events)
            return
        await self._h11_stream.send_all(*events)

    async def wait_disconnected(
        self, runner: EarlyRunner | None = None
    ) -> None:
        """Return when the client has closed or reset the connection.

        To be used only while a request is being answered. Data that arrives
        meanwhile, up to ``READ_AHEAD_BYTES``, is kept for the next requests.
        Behind more the end of the connection is polled for.

        :param runner: starts requests that have arrived before their turn;
            None if none may start.
        """
        h11_conn = self._h11_stream.h11
        unread = h11_conn.trailing_data[0]
        if runner is not None and not self._must_close:
            self.read_ahead.restart(runner, unread)
        unread_bytes = len(unread)
        while unread_bytes < READ_AHEAD_BYTES:
            self.read_ahead.start_found(self.limits.max_head_bytes)
            try:
                blob = await self._h11_stream.stream.receive_some(
                    READ_AHEAD_BYTES
                )
            except BROKEN_STREAM_ERRORS:
                return
            h11_conn.receive_data(bytes(blob))
            if not blob:
                return
            self.read_ahead.receive(bytes(blob))
            unread_bytes += len(blob)
        self.read_ahead.start_found(self.limits.max_head_bytes)
        await _wait_ended(self._h11_stream.stream)

    async def send_interim(self) -> None:
        """Send ``102 Processing``: the request was accepted."""
        await self._h11_stream.send(
            h11.InformationalResponse(status_code=_PROCESSING, headers=[]),
        )

    async def start_answer(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed answer.

        :param status: HTTP status.
        :param headers: end-to-end headers; the body is chunked unless they
            hold its length.
        """
        self.head_sent = True
        await self._h11_stream.send(
            _response_head(
                status,
                headers,
                must_close=self._must_close and not self.read_ahead.count,
            )
        )

    async def send_piece(self, piece: bytes) -> None:
        """Send one piece of a streamed answer.

        :param piece: the bytes; nothing is sent if it is empty.
        """
        if piece:
            await self._h11_stream.send(h11.Data(data=piece))

    async def end_answer(self) -> None:
        """Mark a streamed answer as complete."""
        await self._h11_stream.send(h11.EndOfMessage())

    def close_after_answer(self) -> None:
        """Close after the next answer, which says ``connection: close``.

        Requests that run early are answered before.
        """
        self._must_close = True
        self.read_ahead.stop()

    def close_unless_read(self) -> None:
        """Close after the answer if the request was not read to its end."""
        h11_conn = self._h11_stream.h11
        if h11_conn.their_state is h11.SEND_BODY:
            with contextlib.suppress(h11.RemoteProtocolError):
                h11_conn.next_event()
        if h11_conn.their_state is not h11.DONE:
            self._must_close = True

    def prepare_next(self) -> bool:
        """Prepare for the next request.

        :return: False if the last request or its answer is incomplete.
        """
        is_complete = (
            self._h11_stream.h11.our_state is h11.DONE
            and self._h11_stream.h11.their_state is h11.DONE
        )
        if is_complete:
            self.early_request = None
            self._h11_stream.h11.start_next_cycle()
        return is_complete

    async def aclose(self) -> None:
        """Close the stream without waiting; cancel what runs early."""
        self.read_ahead.cancel_all()
        await trio.aclose_forcefully(self._h11_stream.stream)

    async def close_gracefully(self) -> int:
        """Send the end of stream, keep reading for a short time, then close.

        This lets the client read an answer that is still in transit. If the
        task is cancelled, the stream is closed at once.

        :return: number of bytes received after the end was sent.
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
        self.early_request = self.read_ahead.take_turn()
        head = decode_request_head(event)
        has_length = head.header(CONTENT_LENGTH) is not None
        if has_length and head.header(TRANSFER_ENCODING) is not None:
            raise HttpError('both content-length and transfer-encoding')
        self._announced_bytes = head.content_length or 0
        return head


def _response_head(
    status: int, headers: Headers, *, must_close: bool
) -> h11.Response:
    if must_close:
        headers = (*headers, (b'connection', b'close'))
    return h11.Response(status_code=status, headers=list(headers))


async def _wait_ended(stream: trio.abc.Stream) -> None:
    """Return when the peer has ended a stream that is not read."""
    while True:
        if _has_ended(stream):
            return
        await trio.sleep(END_POLL_SECONDS)


def _has_ended(stream: trio.abc.Stream) -> bool:
    """Whether the peer has closed a connection, behind unread data too."""
    if not isinstance(stream, trio.SocketStream):
        return False
    try:
        state = stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        # not every kernel tells the state; writing the answer will fail then
        return False
    return bytes(state)[0] in _ENDED_TCP_STATES


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

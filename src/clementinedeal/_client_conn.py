"""The client end of one HTTP connection."""

import collections
import select
from collections.abc import AsyncIterator, Callable

import h11
import trio

from clementinedeal._byte_budget import (
    BudgetSpentError,
    ByteBudget,
    HeldBytes,
)
from clementinedeal._http import (
    READ_BYTES,
    Body,
    ConnLostError,
    RequestHead,
    ResponseHead,
    SizeCounter,
    TooLongError,
    body_event,
)
from clementinedeal._response_stream import ResponseStream
from clementinedeal._timers import MonotonicClock

# A target that answers a request twice sends the extra answer soon after, so
# it carries the id of one of the latest requests.
MAX_ANSWERED_IDS = 4
# Allows about 4,000 small interim answers: one every 4 ms for a request that
# takes 15 s.
MAX_INTERIM_BYTES = 4 * READ_BYTES


class ClientConn:
    """The client end of one connection; one request at a time.

    ``idle_since`` and ``idle_until`` are monotonic times in seconds, set by
    the pool. ``idle_seconds`` is how long the connection was idle before its
    current use, None if it is new. ``answered_ids`` holds the ids of the
    latest requests that were answered on it.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        budget: ByteBudget | None = None,
    ) -> None:
        """Wrap a connected stream.

        :param stream: the connection, owned from now on.
        :param budget: counts the bodies of answers; unlimited if None.
        """
        self._budget = budget or ByteBudget(MonotonicClock())
        self.stream = stream
        self.idle_until = 0.0
        self.idle_since = 0.0
        self.idle_seconds: float | None = None
        self.answered_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_ANSWERED_IDS,
        )
        self._is_closed = False
        self._method = b'GET'
        self._h11_stream = ResponseStream(stream)

    @property
    def has_ended(self) -> bool:
        """Whether the end of the connection was received.

        An answer without a length ends with its connection.
        """
        return self._h11_stream.has_ended

    @property
    def was_reset(self) -> bool:
        """Whether the end that was received may have been a reset."""
        return self._h11_stream.was_reset

    @property
    def received_bytes(self) -> int:
        """Number of bytes received so far, of all answers."""
        return self._h11_stream.received_bytes

    async def send_head(self, head: RequestHead, body: bytes = b'') -> None:
        """Send the request head and, if given, the whole body.

        The end of the request is sent by ``end_request``.

        :param head: request line and headers; a body needs a length header or
            chunked encoding.
        :param body: the whole body, sent in the same write.
        :raises ConnLostError: the connection is closed.
        """
        request = h11.Request(
            method=head.method,
            target=head.path,
            headers=list(head.headers),
        )
        if body:
            await self._h11_stream.send_all(request, h11.Data(data=body))
            return
        await self._h11_stream.send(request)

    async def send_whole(self, head: RequestHead, body: Body) -> None:
        """Send a request with its whole body.

        :param head: request line and headers; a body needs a length header or
            chunked encoding.
        :param body: the whole body.
        :raises ConnLostError: the connection is closed.
        """
        self._method = head.method.encode('ascii')
        events: list[h11.Event] = [
            h11.Request(
                method=head.method,
                target=head.path,
                headers=list(head.headers),
            ),
        ]
        if body:
            events.append(body_event(body))
        events.append(h11.EndOfMessage())
        await self._h11_stream.send_all(*events)

    async def send_piece(self, piece: bytes) -> None:
        """Send one piece of the request body.

        :param piece: the bytes; nothing is sent if it is empty.
        :raises ConnLostError: the connection is closed, or the body is longer
            than declared.
        """
        if piece:
            await self._h11_stream.send(h11.Data(data=piece))

    async def end_request(self) -> None:
        """Send the end of the request.

        :raises ConnLostError: the connection is closed, or the body is shorter
            than declared.
        """
        await self._h11_stream.send(h11.EndOfMessage())

    async def read_head(
        self,
        on_interim: Callable[[], None] | None = None,
    ) -> ResponseHead:
        """Wait for the response head and skip interim (1xx) answers.

        :param on_interim: called at each interim answer.
        :raises TooLongError: more than ``MAX_INTERIM_BYTES`` of interim
            answers.
        :raises ConnLostError: the connection ended before the head.
        :raises HttpError: malformed answer.
        """
        size_counter = SizeCounter(self._h11_stream, MAX_INTERIM_BYTES)
        while True:
            event = await self._h11_stream.next_event()
            if isinstance(event, h11.Response):
                headers = tuple(
                    (bytes(key), bytes(text)) for key, text in event.headers
                )
                return ResponseHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnLostError('connection ended before the answer')
            size_counter.count()
            if on_interim is not None:
                on_interim()

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the response body in pieces; return only after the last one.

        :raises ConnLostError: the body was cut short.
        :raises HttpError: malformed answer.
        """
        while True:
            event = await self._h11_stream.next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ConnLostError('connection ended inside the answer')
            yield bytes(event.data)

    async def read_whole(
        self,
        max_bytes: int,
        on_piece: Callable[[], None] | None = None,
    ) -> Body:
        """Return the whole response body.

        :param max_bytes: maximum number of bytes accepted, framing included.
        :param on_piece: called at each piece of the body.
        :raises TooLongError: the body is longer; the connection is closed.
        :raises BudgetSpentError: there is no memory for the body; the
            connection is closed.
        :raises ConnLostError: the body was cut short.
        :raises HttpError: malformed answer.
        """
        size_counter = SizeCounter(self._h11_stream, max_bytes)
        body = HeldBytes(self._budget, is_answer=True)
        try:
            async for piece in self.read_body():
                size_counter.count(len(piece))
                body.add(piece)
                if on_piece is not None:
                    on_piece()
        except (TooLongError, BudgetSpentError):
            self.abort()
            body.discard()
            raise
        return body

    def discard_answer(self) -> None:
        """Discard the answer just read, so that another one can be read.

        Used if a target sent an answer that belongs to an earlier request.
        The request must have been sent by ``send_whole`` and the whole answer
        been read.
        """
        unparsed = self._h11_stream.h11.trailing_data[0]
        h11_conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=READ_BYTES
        )
        h11_conn.send(
            h11.Request(
                method=self._method, target='/', headers=[('host', '')]
            ),
        )
        h11_conn.send(h11.EndOfMessage())
        if unparsed:  # h11 takes an empty chunk as the end of the stream
            h11_conn.receive_data(unparsed)
        self._h11_stream.h11 = h11_conn

    def prepare_next(self) -> bool:
        """Prepare for the next request.

        :return: False if the connection can't be used again, since the last
            exchange is incomplete or more was received than its answer.
        """
        h11_conn = self._h11_stream.h11
        if self._is_closed:
            return False
        if (
            h11_conn.our_state is not h11.DONE
            or h11_conn.their_state is not h11.DONE
        ):
            return False
        if h11_conn.trailing_data[0]:
            return False
        h11_conn.start_next_cycle()
        return True

    def is_stale(self) -> bool:
        """Return whether the peer closed the idle connection or wrote to it."""
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def abort(self) -> None:
        """Close the socket at once; unlike ``aclose`` never waits."""
        self._is_closed = True
        self.stream.socket.close()

    async def aclose(self) -> None:
        """Close the connection without waiting for unsent data."""
        self._is_closed = True
        await trio.aclose_forcefully(self.stream)

"""The calling side of one HTTP connection."""

import collections
import select
from collections.abc import AsyncIterator, Callable

import h11
import trio

from clementinedeal._http import (
    READ_BYTES,
    ConnLostError,
    RequestHead,
    ResponseHead,
    SizeBound,
    TooLongError,
    Wire,
)

# An extra answer belongs to the request before, or to one not long before it.
MOST_ANSWERED = 4
# Some 4,000 small interim answers, one each 4 ms of a request's 15 s.
MOST_INTERIM_BYTES = 4 * READ_BYTES


class ClientConn:
    """The calling side of one connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        """Wrap a connected stream.

        :param stream: the connection, owned from now on.
        """
        self.stream = stream
        self.idle_until = 0.0
        self.idle_since = 0.0
        # seconds it was idle before it was lent again; None when it is new
        self.rested: float | None = None
        # ids of the latest requests that were answered on it
        self.answered: collections.deque[str] = collections.deque(
            maxlen=MOST_ANSWERED,
        )
        self._closed = False
        self._method = b'GET'
        self._wire = Wire(stream, h11.CLIENT, READ_BYTES)

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
        self._method = head.method.encode('ascii')
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

    async def read_head(
        self,
        on_interim: Callable[[], None] | None = None,
    ) -> ResponseHead:
        """Wait for the response head; interim answers are passed over.

        :param on_interim: called at each interim answer.
        :raises TooLongError: too many interim answers.
        :raises ConnLostError: the connection ended first.
        :raises HttpError: malformed answer.
        """
        bound = SizeBound(self._wire, MOST_INTERIM_BYTES)
        while True:
            event = await self._wire.next_event()
            if isinstance(event, h11.Response):
                headers = tuple(
                    (bytes(key), bytes(text)) for key, text in event.headers
                )
                return ResponseHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnLostError('connection ended before the answer')
            bound.count()
            if on_interim is not None:
                on_interim()

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

    async def read_whole(self, limit: int) -> bytes:
        """Return the whole response body; one beyond the limit is cut.

        :param limit: bytes taken at the most, the body's framing included.
        :raises TooLongError: there is more; the connection is closed.
        :raises ConnLostError: the body was cut short.
        :raises HttpError: malformed answer.
        """
        bound = SizeBound(self._wire, limit)
        whole = bytearray()
        try:
            async for piece in self.read_body():
                bound.count(len(piece))
                whole += piece
        except TooLongError:
            self.abort()
            raise
        return bytes(whole)

    def skip_answer(self) -> None:
        """Take the answer read so far for another request's, await the next.

        Only after the whole request was sent and the whole answer read.
        """
        excess = self._wire.h11.trailing_data[0]
        fresh = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ_BYTES)
        fresh.send(
            h11.Request(
                method=self._method, target='/', headers=[('host', '')]
            ),
        )
        fresh.send(h11.EndOfMessage())
        if excess:  # no bytes would mean the end of the stream
            fresh.receive_data(excess)
        self._wire.h11 = fresh

    def reusable(self) -> bool:
        """Prepare for another request; False when there can be none."""
        wire = self._wire.h11
        if self._closed:
            return False
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

    def abort(self) -> None:
        """Close the connection at once, without waiting."""
        self._closed = True
        self.stream.socket.close()

    async def aclose(self) -> None:
        """Close the connection at once."""
        self._closed = True
        await trio.aclose_forcefully(self.stream)

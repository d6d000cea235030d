"""Finds requests that a client sends before it has been answered.

They may run side by side with the request whose answer is due; answers are
still sent in order.
"""

import collections
from typing import Protocol

import h11

from clementinedeal._http import RequestHead, decode_request_head

# How many requests of one connection may run before their turn.
MAX_EARLY_REQUESTS = 4


class EarlyRequest(Protocol):
    """A request that runs before its turn to be answered."""

    def cancel(self) -> None:
        """End it: nobody waits for its answer any more."""
        ...


class EarlyRunner(Protocol):
    """Runs requests before their turn."""

    def may_run_early(self, head: RequestHead) -> bool:
        """Whether a request without a body may run before its turn.

        :param head: its request line and headers.
        """
        ...

    def start_early(self, head: RequestHead) -> EarlyRequest:
        """Start a request before its turn.

        :param head: its request line and headers.
        """
        ...


class ReadAhead:
    """The early requests of one connection, in order.

    The connection's own parser reads each of them again in its turn. A request
    that must not run early stops the search until its turn has come.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._unparsed = b''
        self._runner: EarlyRunner | None = None
        self._early: collections.deque[EarlyRequest] = collections.deque()

    @property
    def count(self) -> int:
        """Number of requests that run early."""
        return len(self._early)

    def take_turn(self) -> EarlyRequest | None:
        """Return the early request whose turn has come, None if it is new."""
        if self._early:
            return self._early.popleft()
        self.stop()
        return None

    def restart(self, runner: EarlyRunner, unread: bytes) -> None:
        """Search behind the request whose turn it is, unless some run early.

        :param runner: starts what is found.
        :param unread: what has been received behind that request.
        """
        if not self._early:
            self._runner = runner
            self._unparsed = unread

    def receive(self, blob: bytes) -> None:
        """Add bytes that the connection has received.

        :param blob: the bytes.
        """
        if self._runner is not None:
            self._unparsed += blob

    def start_found(self, max_head_bytes: int) -> None:
        """Start the requests that have arrived and may run early.

        :param max_head_bytes: size of the largest head accepted.
        """
        while self._runner and self._unparsed and self._has_room():
            head = self._parse_head(max_head_bytes)
            if head is None:
                return
            if head.content_length != 0 or not self._runner.may_run_early(head):
                self.stop()
                return
            self._early.append(self._runner.start_early(head))

    def cancel_all(self) -> None:
        """Cancel the early requests: their connection has ended."""
        for early in self._early:
            early.cancel()
        self._early.clear()
        self.stop()

    def stop(self) -> None:
        """Start no more; those that run early go on."""
        self._runner = None
        self._unparsed = b''

    def _has_room(self) -> bool:
        return len(self._early) < MAX_EARLY_REQUESTS

    def _parse_head(self, max_head_bytes: int) -> RequestHead | None:
        """Parse a whole request without a body; None if there is none."""
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max_head_bytes
        )
        parser.receive_data(self._unparsed)
        try:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                return None
            end = parser.next_event()
        except h11.RemoteProtocolError:
            # the connection's own parser reports the error in its turn
            self.stop()
            return None
        # nothing may follow a request that closes the connection
        is_reusable = parser.their_state is h11.DONE
        if isinstance(event, h11.Request) and is_reusable and _ends(end):
            self._unparsed = parser.trailing_data[0]
            return decode_request_head(event)
        self.stop()
        return None


def _ends(event: h11.Event | type[object]) -> bool:
    return isinstance(event, h11.EndOfMessage)

"""Reads the body of one request within the budget of the process."""

import functools
from collections.abc import Callable
from dataclasses import dataclass

import h11
import trio

from clementinedeal._byte_budget import (
    BudgetSpentError,
    ByteBudget,
    HeldBytes,
)
from clementinedeal._http import Body, H11Stream, HttpError, TooLongError


@dataclass(frozen=True, slots=True, kw_only=True)
class BodyLimits:
    """Limits of one body.

    ``announced_bytes`` is what its head announces, 0 without a length.
    ``count`` is called with the size of each piece and may raise.
    ``timeout`` limits the wait for the next piece, in seconds.
    """

    announced_bytes: int
    max_bytes: int
    timeout: float
    count: Callable[[int], None] | None = None


class BodyReader:
    """Reads the bodies of one connection, one after the other."""

    def __init__(self, h11_stream: H11Stream, budget: ByteBudget) -> None:
        """Create a reader.

        :param h11_stream: the connection.
        :param budget: counts the bodies.
        """
        self._h11_stream = h11_stream
        self._budget = budget
        self._wait_scope = trio.CancelScope()
        self._is_cut = False

    async def read(self, limits: BodyLimits) -> Body:
        """Return a whole body.

        :param limits: its limits.
        :raises TooLongError: the body is larger; a size that the head
            announces is refused before it is read.
        :raises BudgetSpentError: there is no memory for it.
        :raises HttpError: malformed or too slow.
        :raises ConnLostError: the client closed the connection.
        """
        announced_bytes = limits.announced_bytes
        if announced_bytes > limits.max_bytes:
            raise TooLongError(size=announced_bytes, limit=limits.max_bytes)
        self._budget.check_announced(announced_bytes)
        await self.send_continue()
        event = await self.next_event(limits.timeout)
        if not isinstance(event, h11.Data):
            return b''
        body = HeldBytes(self._budget)
        cut = functools.partial(self._cut, body)
        try:
            with self._budget.cuttable(body, cut):
                while isinstance(event, h11.Data):
                    _add_piece(body, event.data, limits)
                    event = await self.next_event(limits.timeout)
        except BaseException:
            # the traceback refers to the body until the error is answered
            body.discard()
            raise
        return body

    async def next_event(self, timeout: float) -> h11.Event | type[object]:
        """Return the next event of a body.

        :param timeout: limit of the wait in seconds.
        :raises BudgetSpentError: the body was cut.
        :raises HttpError: malformed or too slow.
        :raises ConnLostError: the client closed the connection.
        """
        self._wait_scope = trio.CancelScope(
            deadline=trio.current_time() + timeout
        )
        event: h11.Event | type[object] | None = None
        with self._wait_scope:
            event = await self._h11_stream.next_event()
        if self._is_cut:
            raise BudgetSpentError
        if event is None:
            raise HttpError('request body not received in time', status=408)
        return event

    async def send_continue(self) -> None:
        """Send ``100 Continue`` to a client that waits for it."""
        if self._h11_stream.h11.they_are_waiting_for_100_continue:
            await self._h11_stream.send(
                h11.InformationalResponse(status_code=100, headers=[]),
            )

    def _cut(self, body: HeldBytes) -> None:
        self._is_cut = True
        self._wait_scope.cancel()
        body.discard()


def _add_piece(body: HeldBytes, piece: bytes, limits: BodyLimits) -> None:
    if limits.count is not None:
        limits.count(len(piece))
    size = len(body) + len(piece)
    if size > limits.max_bytes:
        raise TooLongError(size=size, limit=limits.max_bytes)
    body.add(piece)

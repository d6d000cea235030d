"""Cancelling attempts at other daemons, and answering their cancels."""

from collections.abc import Callable, Iterable
from typing import Any

import trio

from clementinedeal._cancel_messages import (
    CancelAnswer,
    CancelExecution,
    ExecutionCancelled,
)
from clementinedeal._dispatch import Waiters
from clementinedeal._messages import Send

CANCEL_TIMEOUT_SECONDS = 0.4
CANCEL_RESEND_SECONDS = 0.1


class CancelMessenger:
    """Both sides of the cancel exchange of one daemon."""

    def __init__(
        self,
        send: Callable[[Send], None],
        cancel_locally: Callable[[CancelExecution], CancelAnswer],
    ) -> None:
        """Create without pending cancels.

        :param send: hands a message to another instance.
        :param cancel_here: cancels an attempt at this owner.
        """
        self._send = send
        self._cancel_locally = cancel_locally
        self._waiters: Waiters[CancelAnswer] = Waiters()

    async def cancel(
        self, owner: str, cancel_request: CancelExecution
    ) -> CancelAnswer:
        """Ask an owner; UNKNOWN when it does not answer in time.

        A lost message is sent again; the owner's answer never changes back.

        :param owner: instance that the attempt was sent to.
        :param wish: names the attempt.
        """
        self._waiters.expect(cancel_request.req_id)
        with trio.move_on_after(CANCEL_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_repeatedly, owner, cancel_request)
                answer = await self._waiters.wait(cancel_request.req_id)
                nursery.cancel_scope.cancel()
            return answer
        return CancelAnswer.UNKNOWN

    def on_message(self, sender: str, body: Any, now: float) -> Iterable[Send]:
        """Take in a cancel or the answer to one.

        :param sender: the instance it came from.
        :param body: the message; others are ignored.
        :param now: monotonic time in seconds.
        """
        if isinstance(body, CancelExecution):
            answer = self._cancel_locally(body)
            return (Send(sender, ExecutionCancelled(body.req_id, answer)),)
        if isinstance(body, ExecutionCancelled):
            self._waiters.resolve(body.req_id, body.answer)
        return ()

    async def _send_repeatedly(
        self, owner: str, cancel_request: CancelExecution
    ) -> None:
        while True:
            self._send(Send(owner, cancel_request))
            await trio.sleep(CANCEL_RESEND_SECONDS)

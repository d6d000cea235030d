"""Cancels attempts at other daemons and answers their cancels."""

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

# How long an entry waits for the answer to a cancel, and how often it sends
# the cancel again in that time.
CANCEL_TIMEOUT_SECONDS = 0.4
CANCEL_RESEND_SECONDS = 0.1


class CancelMessenger:
    """Exchanges cancel messages with the other daemons.

    As an entry it sends cancels and awaits their answers; as an owner it
    answers those of other entries.
    """

    def __init__(
        self,
        send: Callable[[Send], None],
        cancel_locally: Callable[[CancelExecution], CancelAnswer],
    ) -> None:
        """Create a messenger without pending cancels.

        :param send: sends a message to another instance.
        :param cancel_locally: cancels an attempt at this daemon's owner.
        """
        self._send = send
        self._cancel_locally = cancel_locally
        self._waiters: Waiters[CancelAnswer] = Waiters()

    async def cancel(
        self, owner: str, cancel_request: CancelExecution
    ) -> CancelAnswer:
        """Cancel an attempt at another daemon and return how far it came.

        The cancel is sent again until it is answered, as messages may be
        lost. This is safe: an owner that has answered ``NEVER_STARTED`` never
        starts the attempt.

        :param owner: instance that the attempt was sent to.
        :param cancel_request: names the attempt.
        :returns: the owner's answer, ``UNKNOWN`` if there is none within
            ``CANCEL_TIMEOUT_SECONDS``.
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
        """Handle a cancel or the answer to one.

        :param sender: instance that sent the message.
        :param body: the message; other types are ignored.
        :param now: current monotonic time in seconds.
        :returns: messages to send.
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

"""Cancels between an entry and an owner when messages are lost."""

import trio

from clementinedeal._cancel_messages import (
    CancelAnswer,
    CancelExecution,
    ExecutionCancelled,
)
from clementinedeal._cancel_messenger import (
    CANCEL_RESEND_SECONDS,
    CANCEL_TIMEOUT_SECONDS,
    CancelMessenger,
)
from clementinedeal._messages import Send

CANCEL_REQUEST = CancelExecution('r/0', 'i')


class LossyPair:
    """An entry and an owner; the first messages to the owner are lost."""

    def __init__(self, losses: int) -> None:
        self.losses = losses
        self.sent: list[Send] = []
        self.entry = CancelMessenger(
            self.send, lambda cancel_request: CancelAnswer.UNKNOWN
        )
        self.owner = CancelMessenger(
            self.send, lambda cancel_request: CancelAnswer.NEVER_STARTED
        )

    def send(self, action: Send) -> None:
        self.sent.append(action)
        if len(self.sent) <= self.losses:
            return
        for answer in self.owner.on_message('a', action.body, 0):
            self.entry.on_message('b', answer.body, 0)


async def test_a_lost_cancel_is_sent_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    pair = LossyPair(losses=2)
    started = trio.current_time()
    answer = await pair.entry.cancel('b', CANCEL_REQUEST)
    assert answer is CancelAnswer.NEVER_STARTED
    assert pair.sent == [Send('b', CANCEL_REQUEST)] * 3
    assert trio.current_time() - started == 2 * CANCEL_RESEND_SECONDS


async def test_a_silent_owner_gives_unknown_after_the_timeout(
    autojump_clock: trio.testing.MockClock,
) -> None:
    pair = LossyPair(losses=100)
    started = trio.current_time()
    assert await pair.entry.cancel('b', CANCEL_REQUEST) is CancelAnswer.UNKNOWN
    assert trio.current_time() - started == CANCEL_TIMEOUT_SECONDS


def test_an_answer_to_no_pending_cancel_is_ignored() -> None:
    unexpected = ExecutionCancelled('gone', CancelAnswer.FINISHED)
    assert list(LossyPair(losses=0).entry.on_message('b', unexpected, 0)) == []

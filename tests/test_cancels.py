import trio

from clementinedeal._cancel_messages import (
    CancelAnswer,
    CancelExecution,
    ExecutionCancelled,
)
from clementinedeal._cancels import CANCEL_SECONDS, RESEND_SECONDS, Cancels
from clementinedeal._messages import Send

WISH = CancelExecution('r/0', 'i')


class Pair:
    """An entry whose first messages to the owner are lost."""

    def __init__(self, losses: int) -> None:
        self.losses = losses
        self.sent: list[Send] = []
        self.entry = Cancels(self.send, lambda wish: CancelAnswer.UNKNOWN)
        self.owner = Cancels(self.send, lambda wish: CancelAnswer.NEVER_STARTED)

    def send(self, action: Send) -> None:
        self.sent.append(action)
        if len(self.sent) <= self.losses:
            return
        for answer in self.owner.on_message('a', action.body, 0):
            self.entry.on_message('b', answer.body, 0)


async def test_a_lost_cancel_is_sent_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    pair = Pair(losses=2)
    started = trio.current_time()
    answer = await pair.entry.cancel('b', WISH)
    assert answer is CancelAnswer.NEVER_STARTED
    assert pair.sent == [Send('b', WISH)] * 3
    assert trio.current_time() - started == 2 * RESEND_SECONDS


async def test_an_owner_that_is_silent_proves_nothing(
    autojump_clock: trio.testing.MockClock,
) -> None:
    pair = Pair(losses=100)
    started = trio.current_time()
    assert await pair.entry.cancel('b', WISH) is CancelAnswer.UNKNOWN
    assert trio.current_time() - started == CANCEL_SECONDS


def test_an_answer_that_nobody_awaits_is_ignored() -> None:
    late = ExecutionCancelled('gone', CancelAnswer.FINISHED)
    assert list(Pair(losses=0).entry.on_message('b', late, 0)) == []

"""Runs the attempts of one request until the caller has its answer."""

import contextlib
import math
from dataclasses import dataclass
from typing import Protocol

import trio

from clementinedeal._attempt_events import (
    AnswerComplete,
    AnswerHead,
    AnswerIncomplete,
    AttemptAction,
    AttemptEvent,
    AttemptFailed,
    BodyNotReplayable,
    CallerLeft,
    Cancel,
    CancelAnswered,
    ConnectionLost,
    CutStream,
    Forward,
    GiveUp,
    Reply,
    Timeout,
)
from clementinedeal._attempts import Actions, AttemptPlan
from clementinedeal._cancel_messages import CancelAnswer
from clementinedeal._digest import AnswerWrongError
from clementinedeal._http import ConnLostError, HttpError, WriteLostError
from clementinedeal._replies import Answered, Refused
from clementinedeal._replies import Reply as AttemptReply
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict


class CallerLeftError(WriteLostError):
    """The caller's connection broke while it was answered."""


class AttemptRunner(Protocol):
    """Carries out what a plan decides for one request."""

    def attempt(
        self,
        attempt_id: str,
        target: str,
        *,
        admitted: bool,
    ) -> contextlib.AbstractAsyncContextManager[AttemptReply]:
        """Send the request to the owner of a target.

        :raises ConnLostError: the connection ended after the first byte.
        """
        ...

    async def cancel(self, attempt_id: str, target: str) -> CancelAnswer:
        """Ask the owner how far the attempt came; it won't start any more."""
        ...

    async def reply(self, answer: Answered) -> None:
        """Pass an answer to the caller.

        :raises CallerLeftError: the caller's connection broke.
        :raises ConnLostError: the answer broke off.
        """
        ...


@dataclass(frozen=True, slots=True)
class Finished:
    """How a request ended.

    ``refusal`` is None after an answer; ``cut`` tells that the caller's
    stream must end visibly broken; ``answer`` is what the caller got.
    """

    refusal: GiveUp | None = None
    cut: bool = False
    answer: Answered | None = None
    target: str = ''


UNDECIDED = Finished(GiveUp(Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED))


class Exchange:
    """One request that is tried at one owner at a time."""

    def __init__(
        self,
        plan: AttemptPlan,
        runner: AttemptRunner,
        clock: Clock,
    ) -> None:
        """Create an exchange.

        :param plan: decides; it must not hedge.
        :param runner: carries out.
        :param clock: the plan's time.
        """
        self._plan = plan
        self._runner = runner
        self._clock = clock
        self._admitted = False
        self._finished = UNDECIDED

    async def run(self, *, replayable: bool) -> Finished:
        """Run the request to its end.

        :param replayable: whether its body can be sent again.
        """
        if not replayable:
            self._tell(BodyNotReplayable())
        actions = self._plan.start(self._clock.now())
        while actions:
            following: list[AttemptAction] = []
            for action in actions:
                following.extend(await self._carry_out(action))
            actions = tuple(following)
        return self._finished

    async def _carry_out(self, action: AttemptAction) -> Actions:
        match action:
            case Forward():
                return await self._attempt(action)
            case Cancel():
                answer = await self._runner.cancel(
                    action.attempt_id,
                    action.target,
                )
                return self._tell(CancelAnswered(action.attempt_id, answer))
            case GiveUp():
                self._finished = Finished(action)
            case CutStream():
                failure = GiveUp(action.verdict, action.reason)
                self._finished = Finished(failure, cut=True)
        return ()

    async def _attempt(self, forward: Forward) -> Actions:
        wait = max(0, self._plan.due() - self._clock.now())
        scope = trio.CancelScope(deadline=trio.current_time() + wait)
        with scope:
            try:
                return await self._converse(forward, scope)
            except CallerLeftError:
                self._tell(CallerLeft())
                return ()
            except (ConnLostError, HttpError):
                return self._tell(ConnectionLost(forward.attempt_id))
        return self._tell(Timeout())

    async def _converse(
        self,
        forward: Forward,
        scope: trio.CancelScope,
    ) -> Actions:
        attempt_id = forward.attempt_id
        async with self._runner.attempt(
            attempt_id,
            forward.target,
            admitted=self._admitted,
        ) as reply:
            self._admitted = self._admitted or reply.admitted
            if isinstance(reply, Refused):
                return self._tell(failure_event(attempt_id, reply))
            actions = self._tell(AnswerHead(attempt_id, reply.head.status))
            if actions != (Reply(attempt_id),):
                return tuple(
                    action
                    for action in actions
                    if not isinstance(action, Cancel)
                )
            scope.deadline = math.inf
            return await self._pass_on(forward, reply)

    async def _pass_on(self, forward: Forward, reply: Answered) -> Actions:
        attempt_id = forward.attempt_id
        try:
            await self._runner.reply(reply)
        except CallerLeftError:
            self._finished = left_unread(reply, forward.target)
            raise
        except AnswerWrongError:
            reason = Reason.ANSWER_WRONG
            broken = AnswerIncomplete(attempt_id, sent=True, reason=reason)
            return self._tell(broken)
        except (ConnLostError, HttpError):
            return self._tell(AnswerIncomplete(attempt_id, sent=True))
        self._finished = Finished(answer=reply, target=forward.target)
        return self._tell(AnswerComplete(attempt_id))

    def _tell(self, event: AttemptEvent) -> Actions:
        return self._plan.on_event(event, self._clock.now())


def left_unread(reply: Answered, target: str) -> Finished:
    """Return the end of a request whose caller left before its answer's end.

    :param reply: the answer; it can still be stored for a repeat.
    :param target: where the request ran.
    """
    failure = GiveUp(Verdict.RAN, Reason.CANCELLED)
    return Finished(failure, cut=True, answer=reply, target=target)


def failure_event(attempt_id: str, reply: Refused) -> AttemptEvent:
    incomplete = reply.reason in {
        Reason.ANSWER_INCOMPLETE,
        Reason.ANSWER_WRONG,
    }
    if incomplete:
        return AnswerIncomplete(attempt_id, sent=False, reason=reply.reason)
    return AttemptFailed(
        attempt_id,
        reply.verdict,
        reply.reason,
        reply.retry_after,
    )

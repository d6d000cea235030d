"""Carries out the plan of one request, one attempt at a time.

``HedgedExchange`` is the counterpart for plans with concurrent attempts.
"""

import contextlib
import math
from dataclasses import dataclass
from typing import Protocol

import trio

from clementinedeal._answer_checks import AnswerWrongError
from clementinedeal._attempt_events import (
    AbortStream,
    AnswerComplete,
    AnswerHead,
    AnswerIncomplete,
    AttemptAction,
    AttemptEvent,
    AttemptFailed,
    BodyNotReplayable,
    CallerLeft,
    CancelAnswered,
    CancelAttempt,
    ConnectionLost,
    RefuseRequest,
    RelayAnswer,
    SendAttempt,
    Timeout,
)
from clementinedeal._attempt_plan import AttemptActions, AttemptPlan
from clementinedeal._cancel_messages import CancelAnswer
from clementinedeal._http import ConnLostError, HttpError, WriteLostError
from clementinedeal._replies import AttemptRefusal, AttemptReply, TargetAnswer
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict


class CallerLeftError(WriteLostError):
    """The caller's connection broke while an answer was sent to it."""


class AttemptRunner(Protocol):
    """Performs the network operations that a plan asks for."""

    def attempt(
        self,
        attempt_id: str,
        target: str,
        *,
        admitted: bool,
    ) -> contextlib.AbstractAsyncContextManager[AttemptReply]:
        """Send the request to the owner of a target.

        The body of the reply must be read inside the context.

        :param attempt_id: id of the attempt.
        :param target: name of the target.
        :param admitted: whether an earlier attempt has taken the account's
            token.
        :raises ConnLostError: the connection broke after the first byte.
        """
        ...

    async def cancel(self, attempt_id: str, target: str) -> CancelAnswer:
        """Cancel an attempt at its owner and return how far it came.

        An attempt that has not started won't start any more.

        :param attempt_id: id of the attempt.
        :param target: name of the target that it was sent to.
        """
        ...

    async def reply(self, answer: TargetAnswer) -> None:
        """Send an answer to the caller.

        :param answer: the target's answer.
        :raises CallerLeftError: the caller's connection broke.
        :raises ConnLostError: the answer ended early.
        """
        ...


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """How a request ended.

    :param refusal: why it failed, None if it was answered.
    :param must_abort: whether the caller's connection must be broken because
        a part of an answer was sent.
    :param answer: the answer that was sent to the caller, in full or in part.
    :param target: name of the target that sent the answer.
    """

    refusal: RefuseRequest | None = None
    must_abort: bool = False
    answer: TargetAnswer | None = None
    target: str = ''


# Result of an exchange that ends without a decision of its plan.
UNKNOWN_RESULT = ExchangeResult(
    RefuseRequest(Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED)
)


class Exchange:
    """Runs a request whose plan has at most one open attempt."""

    def __init__(
        self,
        plan: AttemptPlan,
        runner: AttemptRunner,
        clock: Clock,
    ) -> None:
        """Create an exchange.

        :param plan: decides on the attempts; it must not hedge.
        :param runner: performs the plan's network operations.
        :param clock: clock of the plan.
        """
        self._plan = plan
        self._runner = runner
        self._clock = clock
        self._admitted = False
        self._result = UNKNOWN_RESULT

    async def run(self, *, replayable: bool) -> ExchangeResult:
        """Run the request until it is answered, refused or aborted.

        :param replayable: whether its body can be sent again.
        """
        if not replayable:
            self._report(BodyNotReplayable())
        actions = self._plan.start(self._clock.now())
        while actions:
            next_actions: list[AttemptAction] = []
            for action in actions:
                next_actions.extend(await self._perform(action))
            actions = tuple(next_actions)
        return self._result

    async def _perform(self, action: AttemptAction) -> AttemptActions:
        match action:
            case SendAttempt():
                return await self._run_attempt(action)
            case CancelAttempt():
                answer = await self._runner.cancel(
                    action.attempt_id,
                    action.target,
                )
                return self._report(CancelAnswered(action.attempt_id, answer))
            case RefuseRequest():
                self._result = ExchangeResult(action)
            case AbortStream():
                failure = RefuseRequest(action.verdict, action.reason)
                self._result = ExchangeResult(failure, must_abort=True)
        return ()

    async def _run_attempt(self, send: SendAttempt) -> AttemptActions:
        wait = max(0, self._plan.next_timeout() - self._clock.now())
        scope = trio.CancelScope(deadline=trio.current_time() + wait)
        with scope:
            try:
                return await self._handle_reply(send, scope)
            except CallerLeftError:
                self._report(CallerLeft())
                return ()
            except (ConnLostError, HttpError):
                return self._report(ConnectionLost(send.attempt_id))
        return self._report(Timeout())

    async def _handle_reply(
        self,
        send: SendAttempt,
        scope: trio.CancelScope,
    ) -> AttemptActions:
        attempt_id = send.attempt_id
        async with self._runner.attempt(
            attempt_id,
            send.target,
            admitted=self._admitted,
        ) as reply:
            self._admitted = self._admitted or reply.admitted
            if isinstance(reply, AttemptRefusal):
                return self._report(failure_event(attempt_id, reply))
            actions = self._report(AnswerHead(attempt_id, reply.head.status))
            if actions != (RelayAnswer(attempt_id),):
                # The attempt was answered, so that it needs no cancel.
                return tuple(
                    action
                    for action in actions
                    if not isinstance(action, CancelAttempt)
                )
            # The deadline is for the head of the answer, not for its body.
            scope.deadline = math.inf
            return await self._relay(send, reply)

    async def _relay(
        self, send: SendAttempt, answer: TargetAnswer
    ) -> AttemptActions:
        attempt_id = send.attempt_id
        try:
            await self._runner.reply(answer)
        except CallerLeftError:
            self._result = result_of_caller_left(answer, send.target)
            raise
        except AnswerWrongError:
            reason = Reason.ANSWER_WRONG
            incomplete = AnswerIncomplete(
                attempt_id, is_partly_sent=True, reason=reason
            )
            return self._report(incomplete)
        except (ConnLostError, HttpError):
            return self._report(
                AnswerIncomplete(attempt_id, is_partly_sent=True)
            )
        self._result = ExchangeResult(answer=answer, target=send.target)
        return self._report(AnswerComplete(attempt_id))

    def _report(self, event: AttemptEvent) -> AttemptActions:
        return self._plan.on_event(event, self._clock.now())


def result_of_caller_left(answer: TargetAnswer, target: str) -> ExchangeResult:
    """Return the result of a request whose caller left during its answer.

    :param answer: the answer; it is kept for a repeat with the same
        idempotency key.
    :param target: name of the target that sent the answer.
    """
    failure = RefuseRequest(Verdict.RAN, Reason.CANCELLED)
    return ExchangeResult(
        failure, must_abort=True, answer=answer, target=target
    )


def failure_event(attempt_id: str, refusal: AttemptRefusal) -> AttemptEvent:
    """Return the plan's event for an attempt that brought no answer.

    :param attempt_id: id of the attempt.
    :param refusal: the owner's refusal.
    """
    is_incomplete = refusal.reason in {
        Reason.ANSWER_INCOMPLETE,
        Reason.ANSWER_WRONG,
    }
    if is_incomplete:
        return AnswerIncomplete(
            attempt_id, is_partly_sent=False, reason=refusal.reason
        )
    return AttemptFailed(
        attempt_id,
        refusal.verdict,
        refusal.reason,
        refusal.retry_after,
    )

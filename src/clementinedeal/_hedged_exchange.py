"""Carries out the plan of one request that may have concurrent attempts."""

from dataclasses import dataclass, field

import trio

from clementinedeal._answer_checks import AnswerWrongError
from clementinedeal._attempt_events import (
    AbortStream,
    AnswerComplete,
    AnswerHead,
    AnswerIncomplete,
    AttemptAction,
    AttemptEvent,
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
from clementinedeal._attempt_plan import AttemptPlan
from clementinedeal._exchange import (
    UNKNOWN_RESULT,
    AttemptRunner,
    CallerLeftError,
    ExchangeResult,
    failure_event,
    result_of_caller_left,
)
from clementinedeal._http import ConnLostError, HttpError
from clementinedeal._replies import AttemptRefusal, TargetAnswer
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason

# Events that may wait for the plan. A request has few attempts and each of them
# reports few events, so the buffer never fills; reporting to a full one fails.
MAX_BUFFERED_EVENTS = 64


@dataclass(slots=True)
class _RunningAttempt:
    """An attempt's task.

    Cancelling ``scope`` ends it. ``chosen`` is set when the attempt's answer
    is to be sent to the caller.
    """

    target: str
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    chosen: trio.Event = field(default_factory=trio.Event)


class HedgedExchange:
    """Runs a request whose plan may have several open attempts.

    Each attempt runs in a task of its own and reports its events to the loop
    in ``run``, which alone calls the plan.
    """

    def __init__(
        self,
        plan: AttemptPlan,
        runner: AttemptRunner,
        clock: Clock,
    ) -> None:
        """Create an exchange.

        :param plan: decides on the attempts.
        :param runner: performs the plan's network operations.
        :param clock: clock of the plan.
        """
        self._plan = plan
        self._runner = runner
        self._clock = clock
        self._running: dict[str, _RunningAttempt] = {}
        channel = trio.open_memory_channel[AttemptEvent](MAX_BUFFERED_EVENTS)
        self._event_sender = channel[0]
        self._event_receiver = channel[1]
        self._admitted = False
        self._result = UNKNOWN_RESULT

    async def run(self, *, replayable: bool) -> ExchangeResult:
        """Run the request until it is answered, refused or aborted.

        :param replayable: whether its body can be sent again.
        """
        async with (
            self._event_sender,
            self._event_receiver,
            trio.open_nursery() as nursery,
        ):
            if not replayable:
                self._plan.on_event(BodyNotReplayable(), self._clock.now())
            self._perform(self._plan.start(self._clock.now()), nursery)
            while not self._plan.finished:
                event = await self._next_event()
                now = self._clock.now()
                self._perform(self._plan.on_event(event, now), nursery)
            nursery.cancel_scope.cancel()
        return self._result

    async def _next_event(self) -> AttemptEvent:
        wait = max(0, self._plan.next_timeout() - self._clock.now())
        with trio.move_on_after(wait):
            return await self._event_receiver.receive()
        return Timeout()

    def _perform(
        self,
        actions: tuple[AttemptAction, ...],
        nursery: trio.Nursery,
    ) -> None:
        for action in actions:
            match action:
                case SendAttempt():
                    running = _RunningAttempt(action.target)
                    self._running[action.attempt_id] = running
                    nursery.start_soon(self._run_attempt, action, running)
                case CancelAttempt():
                    self._running[action.attempt_id].scope.cancel()
                    nursery.start_soon(self._cancel, action)
                case RelayAnswer():
                    self._running[action.attempt_id].chosen.set()
                case RefuseRequest():
                    self._result = ExchangeResult(action)
                case AbortStream():
                    failure = RefuseRequest(action.verdict, action.reason)
                    self._result = ExchangeResult(failure, must_abort=True)

    async def _run_attempt(
        self, send: SendAttempt, running: _RunningAttempt
    ) -> None:
        with running.scope:
            try:
                await self._handle_reply(send, running)
            except CallerLeftError:
                self._report(CallerLeft())
            except (ConnLostError, HttpError):
                self._report(ConnectionLost(send.attempt_id))

    async def _handle_reply(
        self, send: SendAttempt, running: _RunningAttempt
    ) -> None:
        admitted = self._admitted
        async with self._runner.attempt(
            send.attempt_id,
            send.target,
            admitted=admitted,
        ) as reply:
            self._admitted = self._admitted or reply.admitted
            if isinstance(reply, AttemptRefusal):
                self._report(failure_event(send.attempt_id, reply))
                return
            self._report(AnswerHead(send.attempt_id, reply.head.status))
            await running.chosen.wait()
            await self._relay(send, reply)

    async def _relay(self, send: SendAttempt, answer: TargetAnswer) -> None:
        attempt_id = send.attempt_id
        try:
            await self._runner.reply(answer)
        except AnswerWrongError:
            reason = Reason.ANSWER_WRONG
            self._report(
                AnswerIncomplete(attempt_id, is_partly_sent=True, reason=reason)
            )
        except CallerLeftError:
            self._result = result_of_caller_left(answer, send.target)
            raise
        except (ConnLostError, HttpError):
            self._report(AnswerIncomplete(attempt_id, is_partly_sent=True))
        else:
            self._result = ExchangeResult(answer=answer, target=send.target)
            self._report(AnswerComplete(attempt_id))

    async def _cancel(self, action: CancelAttempt) -> None:
        answer = await self._runner.cancel(action.attempt_id, action.target)
        self._report(CancelAnswered(action.attempt_id, answer))

    def _report(self, event: AttemptEvent) -> None:
        self._event_sender.send_nowait(event)

"""Runs a request whose plan may make attempts side by side."""

from dataclasses import dataclass, field

import trio

from clementinedeal._attempt_events import (
    AnswerComplete,
    AnswerHead,
    AnswerIncomplete,
    AttemptAction,
    AttemptEvent,
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
from clementinedeal._attempts import AttemptPlan
from clementinedeal._digest import AnswerWrongError
from clementinedeal._exchange import (
    UNDECIDED,
    AttemptRunner,
    CallerLeftError,
    Finished,
    failure_event,
    left_unread,
)
from clementinedeal._http import ConnLostError, HttpError
from clementinedeal._replies import Answered, Refused
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason

EVENT_BUFFER = 64


@dataclass(slots=True)
class _Running:
    target: str
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    chosen: trio.Event = field(default_factory=trio.Event)


class HedgedExchange:
    """One request that may be tried at several owners at once."""

    def __init__(
        self,
        plan: AttemptPlan,
        runner: AttemptRunner,
        clock: Clock,
    ) -> None:
        """Create an exchange.

        :param plan: decides.
        :param runner: carries out.
        :param clock: the plan's time.
        """
        self._plan = plan
        self._runner = runner
        self._clock = clock
        self._running: dict[str, _Running] = {}
        channel = trio.open_memory_channel[AttemptEvent](EVENT_BUFFER)
        self._events_in = channel[0]
        self._events_out = channel[1]
        self._admitted = False
        self._finished = UNDECIDED

    async def run(self, *, replayable: bool) -> Finished:
        """Run the request to its end.

        :param replayable: whether its body can be sent again.
        """
        async with (
            self._events_in,
            self._events_out,
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
        return self._finished

    async def _next_event(self) -> AttemptEvent:
        wait = max(0, self._plan.due() - self._clock.now())
        with trio.move_on_after(wait):
            return await self._events_out.receive()
        return Timeout()

    def _perform(
        self,
        actions: tuple[AttemptAction, ...],
        nursery: trio.Nursery,
    ) -> None:
        for action in actions:
            match action:
                case Forward():
                    running = _Running(action.target)
                    self._running[action.attempt_id] = running
                    nursery.start_soon(self._attempt, action, running)
                case Cancel():
                    self._running[action.attempt_id].scope.cancel()
                    nursery.start_soon(self._cancel, action)
                case Reply():
                    self._running[action.attempt_id].chosen.set()
                case GiveUp():
                    self._finished = Finished(action)
                case CutStream():
                    failure = GiveUp(action.verdict, action.reason)
                    self._finished = Finished(failure, cut=True)

    async def _attempt(self, forward: Forward, running: _Running) -> None:
        with running.scope:
            try:
                await self._converse(forward, running)
            except CallerLeftError:
                self._post(CallerLeft())
            except (ConnLostError, HttpError):
                self._post(ConnectionLost(forward.attempt_id))

    async def _converse(self, forward: Forward, running: _Running) -> None:
        admitted = self._admitted
        async with self._runner.attempt(
            forward.attempt_id,
            forward.target,
            admitted=admitted,
        ) as reply:
            self._admitted = self._admitted or reply.admitted
            if isinstance(reply, Refused):
                self._post(failure_event(forward.attempt_id, reply))
                return
            self._post(AnswerHead(forward.attempt_id, reply.head.status))
            await running.chosen.wait()
            await self._pass_on(forward, reply)

    async def _pass_on(self, forward: Forward, reply: Answered) -> None:
        attempt_id = forward.attempt_id
        try:
            await self._runner.reply(reply)
        except AnswerWrongError:
            reason = Reason.ANSWER_WRONG
            self._post(AnswerIncomplete(attempt_id, sent=True, reason=reason))
        except CallerLeftError:
            self._finished = left_unread(reply, forward.target)
            raise
        except (ConnLostError, HttpError):
            self._post(AnswerIncomplete(attempt_id, sent=True))
        else:
            self._finished = Finished(answer=reply, target=forward.target)
            self._post(AnswerComplete(attempt_id))

    async def _cancel(self, action: Cancel) -> None:
        answer = await self._runner.cancel(action.attempt_id, action.target)
        self._post(CancelAnswered(action.attempt_id, answer))

    def _post(self, event: AttemptEvent) -> None:
        self._events_in.send_nowait(event)

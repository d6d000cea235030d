"""Answers for the one target beside this daemon."""

from dataclasses import dataclass

import trio

from clementinedeal._events import EventLog, log
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._calls import CallFailures
from clementinedeal.mesh._contracts import Stamp
from clementinedeal.mesh._executions import Execution, ExecutionTable
from clementinedeal.mesh._origin import Message, Origin
from clementinedeal.mesh._outcomes import Attempt, Outcome, State, not_run
from clementinedeal.mesh._slots import Rank, SlotQueue
from clementinedeal.mesh._suspicion import Suspicion
from clementinedeal.mesh._tally import Tally
from clementinedeal.mesh._types import Target

# A refused connection means a target that is down; asked again after this.
DOWN_SECONDS = 0.3
# A forward whose connection broke is kept this long for the entry to ask.
ABANDON_SECONDS = 0.25
# An entry sends the body of a request at once when it is wanted.
BODY_SECONDS = 0.3
DEFAULT_SLOTS = 7
_FAILURE_STATUS = 500


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerParts:
    """What an owner works with."""

    clock: Clock
    events: EventLog
    origin: Origin
    calls: CallFailures
    tally: Tally
    nursery: trio.Nursery


class Owner:
    """Admits, runs and remembers attempts at one target."""

    def __init__(self, parts: OwnerParts) -> None:
        """Start without a target.

        :param parts: its collaborators.
        """
        self._parts = parts
        self.target: Target | None = None
        self._stopping = False
        self._live: set[Execution] = set()
        self._queuing: set[trio.CancelScope] = set()
        self.suspicion = Suspicion(parts.clock, parts.events, parts.calls)
        self.slots = SlotQueue(DEFAULT_SLOTS)
        self.executions = ExecutionTable(parts.clock)
        self._down_until = 0.0
        self._running: list[Rank] = []

    @property
    def busy(self) -> bool:
        """Whether an attempt waits or runs, connected to its entry or not."""
        return bool(self._live)

    @property
    def most_urgent(self) -> Rank | None:
        """Rank of the most urgent request that the target works on."""
        return min(self._running, default=None)

    def take_target(self, target: Target | None) -> None:
        """Believe what is listed of the target from now on.

        :param target: None if there is none, or it is gone.
        """
        former = self.target
        self.target = target
        if target is None:
            return
        same = former is not None and (
            (former.name, former.started_ms) == (target.name, target.started_ms)
        )
        if not same:
            self.suspicion.renew(target.name)
            self._down_until = 0
        self.slots.slots = target.slots
        self.slots.admit()

    def stop(self) -> None:
        """Begin nothing any more, and send elsewhere what waits here."""
        self._stopping = True
        self._empty_queue()

    def end(self) -> None:
        """Give up what still runs, so that its entries hear of it."""
        for execution in self._live:
            execution.scope.cancel()

    def state(self) -> State:
        """Return what entries should know of the target."""
        slots = self.slots
        return State(
            risk=round(self.suspicion.risk, 3),
            running=slots.running,
            waiting=slots.waiting,
            slots=slots.slots,
            wait=round(slots.expected_wait((0, 0)), 3),
        )

    def submit(
        self,
        attempt: Attempt,
        message: Message | None,
    ) -> Execution | None:
        """Start an attempt; None if one of its name was here before.

        :param attempt: what the entry asks for.
        :param message: the request; None if it is sent when wanted.
        """
        execution = Execution(
            attempt,
            message,
            self._parts.clock.now() + attempt.left,
        )
        if not self.executions.open(execution):
            return None
        self._live.add(execution)
        self._parts.nursery.start_soon(self._run, execution)
        return execution

    def abandon(self, execution: Execution) -> None:
        """Give up what nobody waits for, unless it must run to its end.

        :param execution: the attempt.
        """
        if execution.attempt.idempotent or not execution.reached:
            execution.scope.cancel()

    async def abandon_later(self, execution: Execution) -> None:
        """Give up an attempt unless its entry asks for it again.

        :param execution: the attempt whose connection broke.
        """
        await trio.sleep(ABANDON_SECONDS)
        if not execution.readers:
            self.abandon(execution)

    async def _run(self, execution: Execution) -> None:
        try:
            with execution.scope:
                execution.outcome = await self._admit(execution)
        except Exception:
            # the other attempts of the process go on
            log.exception(
                'event=attempt-failed req=%s',
                execution.attempt.req_id,
            )
        self._live.remove(execution)
        if execution.outcome is None:
            verdict = (
                Verdict.MAY_HAVE_RUN if execution.reached else Verdict.NOT_RUN
            )
            execution.outcome = Outcome(
                verdict=verdict,
                reason=Reason.DRAINING if self._stopping else Reason.CANCELLED,
                reached=execution.reached,
            )
        execution.wanted.set()
        execution.done.set()
        self.executions.close(execution.attempt.attempt)
        self._log(execution, execution.outcome)

    async def _admit(self, execution: Execution) -> Outcome:
        attempt = execution.attempt
        passes = attempt.insist or self.suspicion.take_trial(attempt)
        refusal = self._refusal(attempt, passes=passes)
        if refusal is not None:
            return not_run(refusal, self.state())
        if self.slots.expected_wait(attempt.rank) > attempt.wait:
            return not_run(Reason.QUEUE_FULL, self.state())
        if not await self._queue(attempt):
            refusal = self._refusal(attempt, passes=passes)
            return not_run(refusal or Reason.QUEUE_FULL, self.state())
        started = self._parts.clock.now()
        try:
            refusal = self._refusal(attempt, passes=passes)
            if refusal is not None:
                return not_run(refusal, self.state())
            self._running.append(attempt.rank)
            try:
                outcome = await self._call(execution)
            finally:
                self._running.remove(attempt.rank)
        finally:
            spent = self._parts.clock.now() - started
            self.slots.release(spent if execution.reached else None)
        return Outcome(
            verdict=outcome.verdict,
            reason=outcome.reason,
            reached=outcome.reached,
            retry_after=outcome.retry_after,
            status=outcome.status,
            headers=outcome.headers,
            body=outcome.body,
            state=self.state(),
        )

    async def _queue(self, attempt: Attempt) -> bool:
        """Wait for a slot; False if there was none in time."""
        acquired = False
        queued = self._parts.clock.now()
        with trio.move_on_after(attempt.wait) as scope:
            self._queuing.add(scope)
            try:
                await self.slots.acquire(attempt.rank)
            finally:
                self._queuing.remove(scope)
            acquired = True
            spent = self._parts.clock.now() - queued
            self._parts.tally.time('queue_seconds', spent)
        return acquired

    def _empty_queue(self) -> None:
        for scope in self._queuing:
            scope.cancel()

    def _refusal(self, attempt: Attempt, *, passes: bool) -> Reason | None:
        """Return why an attempt may not start now, if it may not.

        :param attempt: what the entry asks for.
        :param passes: whether it goes to a suspect target all the same.
        """
        target = self.target
        if self._stopping or (target is not None and target.draining):
            return Reason.DRAINING
        if target is None or self._parts.clock.now() < self._down_until:
            return Reason.NO_TARGET
        if attempt.target != target.name:
            return Reason.WRONG_INCARNATION
        trusted = passes or self.suspicion.is_trusted
        return None if trusted else Reason.TARGET_EJECTED

    async def _call(self, execution: Execution) -> Outcome:
        attempt = execution.attempt
        if execution.message is None:
            execution.wanted.set()
            with trio.move_on_after(BODY_SECONDS):
                await execution.sent.wait()
        started = self._parts.clock.now()
        left = execution.deadline - started
        if left <= 0 or execution.message is None:
            return not_run(Reason.DEADLINE, self.state())
        stamp = Stamp(
            req_id=attempt.req_id,
            left=left,
            target=attempt.target,
            account=attempt.account,
            caller=attempt.caller,
        )
        execution.reached = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.suspicion.watch, attempt)
            outcome = await self._parts.origin.call(execution.message, stamp)
            nursery.cancel_scope.cancel()
        if not outcome.reached:
            execution.reached = False
            self._down_until = self._parts.clock.now() + DOWN_SECONDS
        spent = self._parts.clock.now() - started
        self._parts.tally.time('target_seconds', spent)
        self.suspicion.learn(outcome, spent)
        return outcome

    def _log(self, execution: Execution, outcome: Outcome) -> None:
        attempt = execution.attempt
        reason = outcome.reason.value if outcome.reason else 'answered'
        self._parts.tally.count('attempts', outcome.verdict.value, reason)
        self._parts.events.emit(
            'attempt-ended',
            req=attempt.req_id,
            attempt=attempt.attempt,
            target=attempt.target,
            verdict=outcome.verdict.value,
            reason=reason,
            status=outcome.status,
            risk=f'{self.suspicion.risk:.3f}',
            running=self.slots.running,
            waiting=self.slots.waiting,
        )

"""The owner of the target on this daemon's instance."""

import math
from dataclasses import dataclass

import trio

from clementinedeal._byte_budget import ByteBudget
from clementinedeal._events import EventLog, log
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._call_failures import CallFailures
from clementinedeal.mesh._call_ranks import CallRanks
from clementinedeal.mesh._contracts import CallContext, TargetStatement
from clementinedeal.mesh._crashes import CrashDetector
from clementinedeal.mesh._evacuations import EvacuationTracker
from clementinedeal.mesh._executions import Execution, MeshExecutionTable
from clementinedeal.mesh._health_tracker import HealthTracker
from clementinedeal.mesh._metrics import DaemonMetrics
from clementinedeal.mesh._outcomes import (
    MeshAttempt,
    MeshOutcome,
    TargetCondition,
    not_run,
)
from clementinedeal.mesh._slots import SlotQueue
from clementinedeal.mesh._target_client import BufferedRequest, TargetClient
from clementinedeal.mesh._target_limit import TargetLimit
from clementinedeal.mesh._types import Target

# A refused connection means that the target is down; it is tried again after
# this time.
DOWN_RETRY_SECONDS = 0.3
# An attempt whose connection broke keeps running for this long, so that its
# entry can ask for the outcome on a new connection.
RECONNECT_SECONDS = 0.25
# How long an owner that has a slot waits for the body. An entry sends it at
# once, so that a body that takes longer is lost.
BODY_TIMEOUT_SECONDS = 0.3
# Slots assumed until the target is listed.
DEFAULT_SLOTS = 7
_FAILURE_STATUS = 500


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshOwnerParts:
    """Collaborators of an owner.

    ``target_client`` calls the target, ``call_failures`` are those of calls
    that the target itself made, ``evacuations`` the evacuated zones;
    ``nursery`` runs the attempts, ``budget`` counts bodies.
    """

    clock: Clock
    events: EventLog
    target_client: TargetClient
    call_failures: CallFailures
    evacuations: EvacuationTracker
    metrics: DaemonMetrics
    nursery: trio.Nursery
    budget: ByteBudget | None = None


class MeshOwner:
    """Accepts, runs and remembers the attempts at one target.

    The owner is the daemon on the target's instance and the only one that calls
    it. An attempt may wait in the owner's queue for a slot. An attempt that the
    owner cannot run is refused with a reason, and its entry then tries another
    target.
    """

    def __init__(self, parts: MeshOwnerParts) -> None:
        """Create an owner without a target.

        :param parts: its collaborators.
        """
        self._parts = parts
        self.target: Target | None = None
        self._is_stopping = False
        self._live_executions: set[Execution] = set()
        self._queue_scopes: set[trio.CancelScope] = set()
        self.health = HealthTracker(
            parts.clock, parts.events, parts.call_failures
        )
        self.crash_detector = CrashDetector(parts.target_client, parts.events)
        self.limit = TargetLimit(parts.clock, parts.events)
        parts.target_client.on_statement.append(self._on_statement)
        parts.evacuations.on_change.append(lambda _: self._cancel_refused())
        self.slot_queue = SlotQueue(DEFAULT_SLOTS, self.limit)
        self.executions = MeshExecutionTable(parts.clock, parts.budget)
        self._down_until = 0.0
        self.call_ranks = CallRanks()

    @property
    def is_busy(self) -> bool:
        """Whether an attempt waits or runs, even if its connection broke."""
        return bool(self._live_executions)

    @property
    def accepted_target(self) -> str:
        """Name of the target that accepts requests, empty if there is none."""
        target = self.target
        is_down = self._parts.clock.now() < self._down_until
        if target is None or self._is_leaving() or is_down:
            return ''
        return target.name

    def set_target(self, target: Target | None) -> None:
        """Replace what is known of the target.

        :param target: the listed target, None if there is none.
        """
        self.target = target
        if target is None:
            return
        if self.limit.set_target(target):
            self.health.reset(target.name)
            self._down_until = 0
        self.slot_queue.slots = target.slots
        self.slot_queue.fill_free_slots()

    def stop_admitting(self) -> None:
        """Refuse new and queued attempts; their entries try other targets."""
        self._is_stopping = True
        self._cancel_refused()

    def cancel_running(self) -> None:
        """Cancel the running attempts, so that their entries get outcomes."""
        for execution in self._live_executions:
            execution.cancel_scope.cancel()

    def target_condition(self) -> TargetCondition:
        """Return the target's condition, for entries."""
        slot_queue = self.slot_queue
        limit = self.limit.limit
        rate = self.limit.rate
        slots = slot_queue.slots
        if rate is not None:
            # as many slots as requests run at once at that rate
            usable = math.ceil(rate * slot_queue.mean_service_seconds)
            slots = max(1, min(slots, usable))
        return TargetCondition(
            risk=round(self.health.risk, 3),
            running=slot_queue.running,
            waiting=slot_queue.waiting,
            slots=slots,
            wait=round(slot_queue.expected_wait((0, 0)), 3),
            limit=limit,
            limit_known=limit is not None or self.limit.has_answered,
            pause=round(self.limit.seconds_until_open(), 3),
            leaving_ms=self.limit.leaving_ms,
        )

    def submit(
        self,
        attempt: MeshAttempt,
        request: BufferedRequest | None,
    ) -> Execution | None:
        """Start an attempt.

        :param attempt: describes the attempt.
        :param request: the request, None if the entry sends it when there is
            a slot.
        :return: the started attempt, None if its id is known already.
        """
        execution = Execution(
            attempt,
            request,
            self._parts.clock.now() + attempt.left,
        )
        if not self.executions.add(execution):
            return None
        is_for_target = self.target and attempt.target == self.target.name
        if attempt.limit is not None and is_for_target:
            self.limit.on_reported(attempt.limit)
        self._live_executions.add(execution)
        self._parts.nursery.start_soon(self._run, execution)
        return execution

    def abandon(self, execution: Execution) -> None:
        """Cancel an attempt that nobody waits for.

        A request that is not idempotent and has reached the target is not
        cancelled.

        :param execution: the attempt.
        """
        if execution.attempt.idempotent or not execution.reached:
            execution.cancel_scope.cancel()

    async def abandon_later(self, execution: Execution) -> None:
        """Cancel an attempt, unless its entry asks for it again in time.

        :param execution: the attempt whose connection broke.
        """
        await trio.sleep(RECONNECT_SECONDS)
        if not execution.reader_count:
            self.abandon(execution)

    async def _run(self, execution: Execution) -> None:
        """Run an attempt to its end, then set its outcome and log it."""
        try:
            with execution.cancel_scope:
                execution.outcome = await self._execute(execution)
        except Exception:
            # one attempt's failure must not end the others of the process
            log.exception(
                'event=attempt-failed req=%s',
                execution.attempt.req_id,
            )
        self._live_executions.remove(execution)
        if execution.outcome is None:
            verdict = (
                Verdict.MAY_HAVE_RUN if execution.reached else Verdict.NOT_RUN
            )
            execution.outcome = MeshOutcome(
                verdict=verdict,
                reason=Reason.DRAINING
                if self._is_stopping
                else Reason.CANCELLED,
                reached=execution.reached,
            )
        execution.body_wanted.set()
        execution.done.set()
        self._record_end(execution, execution.outcome)
        self.executions.keep_outcome(execution)

    async def _execute(self, execution: Execution) -> MeshOutcome:
        """Refuse an attempt, or wait for a slot and call the target."""
        attempt = execution.attempt
        ignore_risk = attempt.insist or self.health.claim_trial(attempt)
        refusal = self._refusal_reason(attempt, ignore_risk=ignore_risk)
        if refusal is not None:
            return not_run(refusal, self.target_condition())
        may_wait = self.slot_queue.expected_wait(attempt.rank) <= attempt.wait
        if not (may_wait and await self._wait_for_slot(attempt)):
            refusal = self._refusal_reason(attempt, ignore_risk=ignore_risk)
            return not_run(
                refusal or self.slot_queue.full_reason(),
                self.target_condition(),
            )
        started = self._parts.clock.now()
        try:
            refusal = self._refusal_reason(attempt, ignore_risk=ignore_risk)
            if refusal is not None:
                return not_run(refusal, self.target_condition())
            running = self.call_ranks.add(attempt.rank, execution.deadline)
            try:
                outcome = await self._call_target(execution)
            finally:
                self.call_ranks.discard(running)
        finally:
            elapsed = self._parts.clock.now() - started
            self.slot_queue.release(elapsed if execution.reached else None)
        return MeshOutcome(
            verdict=outcome.verdict,
            reason=outcome.reason,
            reached=outcome.reached,
            retry_after=outcome.retry_after,
            status=outcome.status,
            headers=outcome.headers,
            body=outcome.body,
            state=self.target_condition(),
        )

    async def _wait_for_slot(self, attempt: MeshAttempt) -> bool:
        """Wait for a slot; False if there is none within ``attempt.wait``."""
        acquired = False
        queued_at = self._parts.clock.now()
        with trio.move_on_after(attempt.wait) as scope:
            self._queue_scopes.add(scope)
            try:
                await self.slot_queue.acquire(attempt.rank)
            finally:
                self._queue_scopes.remove(scope)
            acquired = True
            elapsed = self._parts.clock.now() - queued_at
            self._parts.metrics.observe('queue_seconds', elapsed)
        return acquired

    def _on_statement(
        self, statement: TargetStatement, sent_at: float | None
    ) -> None:
        """Apply what the target says in an answer."""
        self.limit.on_statement(statement, sent_at)
        if self.limit.is_leaving:
            self._cancel_refused()
        self.slot_queue.fill_free_slots()

    def _is_leaving(self) -> bool:
        """Whether the target, or this daemon, accepts no more requests."""
        is_draining = self.target is not None and self.target.draining
        return (
            self._is_stopping
            or is_draining
            or self.limit.is_leaving
            or self._parts.evacuations.includes(self.target)
        )

    def _is_end_planned(self, target: Target) -> bool:
        """Whether a target that was sent a request leaves or was taken away."""
        listed = self.target
        return (
            listed is None
            or listed.name != target.name
            or listed.draining
            or self.limit.is_leaving
        )

    def _cancel_refused(self) -> None:
        """Cancel queued attempts if they may no longer be sent."""
        if self._is_leaving():
            for scope in self._queue_scopes:
                scope.cancel()

    def _refusal_reason(
        self, attempt: MeshAttempt, *, ignore_risk: bool
    ) -> Reason | None:
        """Return why an attempt may not start now, None if it may.

        :param attempt: describes the attempt.
        :param ignore_risk: whether it may go to a suspect target.
        """
        target = self.target
        if self._parts.evacuations.includes(target):
            return Reason.ZONE_EVACUATED
        if self._is_leaving():
            return Reason.DRAINING
        if target is None or self._parts.clock.now() < self._down_until:
            return Reason.NO_TARGET
        if attempt.target != target.name:
            return Reason.WRONG_INCARNATION
        if not self.limit.accepts(idempotent=attempt.idempotent):
            return Reason.TARGET_LIMITED
        is_allowed = ignore_risk or self.health.is_trusted
        return None if is_allowed else Reason.TARGET_EJECTED

    async def _call_target(self, execution: Execution) -> MeshOutcome:
        """Wait for the body if it is missing, then call the target."""
        attempt = execution.attempt
        if execution.request is None:
            execution.body_wanted.set()
            with trio.move_on_after(BODY_TIMEOUT_SECONDS):
                await execution.body_received.wait()
        if execution.request is None and execution.is_body_arriving:
            seconds_left = execution.deadline - self._parts.clock.now()
            with trio.move_on_after(max(0, seconds_left)):
                await execution.body_received.wait()
        started = self._parts.clock.now()
        seconds_left = execution.deadline - started
        if seconds_left <= 0 or execution.request is None:
            return not_run(Reason.DEADLINE, self.target_condition())
        context = CallContext(
            req_id=attempt.req_id,
            seconds_left=seconds_left,
            target=attempt.target,
            account=attempt.account,
            caller_service=attempt.caller,
        )
        execution.reached = True
        # another process may be listed by the time that this one is lost
        target = self.target
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.health.observe_progress, attempt)
            outcome = await self._parts.target_client.call(
                execution.request, context
            )
            nursery.cancel_scope.cancel()
        execution.reached = outcome.reached
        elapsed = self._parts.clock.now() - started
        self._parts.metrics.observe('target_seconds', elapsed)
        if target is not None and not self._is_end_planned(target):
            outcome = await self.crash_detector.check(
                attempt, execution.request, target, outcome, elapsed
            )
        if not outcome.reached or outcome.reason is Reason.TARGET_CRASHED:
            self._down_until = self._parts.clock.now() + DOWN_RETRY_SECONDS
            self.limit.warmup.on_down()
        is_limited = self.limit.rate is not None
        if not (is_limited and outcome.reason is Reason.QUEUE_FULL):
            # a rejection by a limited target is no sign of sickness
            self.health.on_outcome(outcome, elapsed)
        return outcome

    def _record_end(self, execution: Execution, outcome: MeshOutcome) -> None:
        attempt = execution.attempt
        reason = outcome.reason.value if outcome.reason else 'answered'
        self._parts.metrics.count('attempts', outcome.verdict.value, reason)
        self._parts.events.emit(
            'attempt-ended',
            req=attempt.req_id,
            attempt=attempt.attempt,
            target=attempt.target,
            verdict=outcome.verdict.value,
            reason=reason,
            status=outcome.status,
            risk=f'{self.health.risk:.3f}',
            running=self.slot_queue.running,
            waiting=self.slot_queue.waiting,
        )

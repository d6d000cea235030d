"""Sends requests to targets, one attempt after the other as planned."""

import functools
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import trio

from clementinedeal._events import EventLog
from clementinedeal._incoming_request import new_request_id
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._admission import AdmittedRequest
from clementinedeal.mesh._allowed_zones import (
    EVERY_ZONE,
    AllowedZones,
    ZoneRules,
)
from clementinedeal.mesh._balancer import Balancer
from clementinedeal.mesh._condition_probe import ConditionProbe
from clementinedeal.mesh._crash_records import (
    CrashRecords,
    fingerprint_request,
)
from clementinedeal.mesh._outcomes import (
    MeshAttempt,
    MeshOutcome,
    PendingAttempt,
    not_run,
)
from clementinedeal.mesh._owner import MeshOwner
from clementinedeal.mesh._peer_client import MeshPeerClient
from clementinedeal.mesh._plan import FinishStep, PauseStep, Plan, SendStep
from clementinedeal.mesh._retry_tokens import RetryTokenBucket
from clementinedeal.mesh._return_schedule import ReturnSchedule
from clementinedeal.mesh._settings import MeshDaemonSettings
from clementinedeal.mesh._slots import Rank
from clementinedeal.mesh._target_client import BufferedRequest
from clementinedeal.mesh._types import Target

# Added to the time limit of an attempt: the owner answers no later than at the
# deadline, and this is the time in which its answer arrives.
ANSWER_GRACE_SECONDS = 0.12
# Shortest pause between two searches for a target that takes over from an
# overdue attempt.
OVERDUE_POLL_SECONDS = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class SenderParts:
    """The collaborators of a sender.

    ``settings`` returns those in force; they may change while it runs.
    """

    settings: Callable[[], MeshDaemonSettings]
    clock: Clock
    events: EventLog
    balancer: Balancer
    condition_probe: ConditionProbe
    owner: MeshOwner
    peer_client: MeshPeerClient
    zone_rules: ZoneRules
    crash_records: CrashRecords


@dataclass(slots=True)
class Takeover:
    """The attempt that takes over from an overdue one, if there is one.

    ``step`` is set once its owner has granted a slot, ``outcome`` at its end.
    """

    step: SendStep | None = None
    outcome: MeshOutcome | None = None


class Sender:
    """Sends requests to targets.

    The target beside this daemon is called through this daemon's owner, any
    other through the daemon that owns it. ``daemon_count`` is the number of
    daemons that share the fleet's retry budget.
    """

    def __init__(self, parts: SenderParts) -> None:
        """Create a sender.

        :param parts: the collaborators.
        """
        self._parts = parts
        self._retry_buckets: dict[str, RetryTokenBucket] = {}
        self._running_attempts: set[PendingAttempt] = set()
        self._keeps_overdue = False
        self._is_closing = False
        self._return_schedule = ReturnSchedule(parts.clock)
        self.daemon_count = 1

    @property
    def retry_count(self) -> int:
        """Retries sent since the start, over all services."""
        return sum(
            bucket.retries_taken for bucket in self._retry_buckets.values()
        )

    def keep_overdue(self) -> None:
        """Let no more attempts take over from overdue ones.

        During a graceful stop a retry might not end before the process does.
        """
        self._keeps_overdue = True

    def cancel_unsent(self) -> None:
        """Start no more attempts and cancel those that have not been sent.

        Requests that wait for a target are refused as draining.
        """
        self._is_closing = True
        for pending in self._running_attempts:
            if not pending.sent:
                pending.cancel_scope.cancel()

    def cancel_all(self) -> None:
        """Cancel all attempts: the time for the graceful stop is over."""
        self._is_closing = True
        for pending in self._running_attempts:
            pending.cancel_scope.cancel()

    async def send(self, admitted: AdmittedRequest) -> MeshOutcome:
        """Run a request to its end and return the outcome.

        :param admitted: the request.
        """
        parts = self._parts
        fingerprint = fingerprint_request(admitted.request)
        refused = parts.crash_records.seconds_refused(fingerprint)
        if refused:
            return MeshOutcome(
                verdict=Verdict.NOT_RUN,
                reason=Reason.CRASHES_TARGETS,
                retry_after=refused,
            )
        outcome = await self._run_plan(admitted)
        if outcome.succeeded:
            await parts.crash_records.on_answered(fingerprint)
        return outcome

    async def _run_plan(self, admitted: AdmittedRequest) -> MeshOutcome:
        """Make attempts until the request has an outcome."""
        parts = self._parts
        retry_bucket = self._find_retry_bucket(admitted.service)
        retry_bucket.add_request()
        find_zones = functools.partial(
            parts.zone_rules.find_allowed, admitted.route, admitted.account
        )
        plan = Plan(
            admitted.route,
            admitted.service,
            parts.balancer,
            retry_bucket,
            admitted.deadline,
            find_zones,
        )
        attempt_numbers = itertools.count(1)
        while True:
            while targets := plan.targets_to_ask():
                await parts.condition_probe.ask(targets)
            match plan.next_step(parts.clock.now()):
                case FinishStep(outcome=outcome):
                    return self._schedule_return(
                        admitted, outcome, find_zones()
                    )
                case _ if self._is_closing:
                    return plan.conclude(Reason.DRAINING)
                case PauseStep(seconds=seconds):
                    await trio.sleep(seconds)
                case SendStep() as step:
                    await self._run_step(admitted, plan, step, attempt_numbers)

    async def _run_step(
        self,
        admitted: AdmittedRequest,
        plan: Plan,
        step: SendStep,
        attempt_numbers: Iterator[int],
    ) -> None:
        """Run an attempt, or the one that takes over from it, to its end."""
        pending = self._start_pending(admitted, step)
        takeover = Takeover()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._take_over_when_overdue,
                admitted,
                plan,
                attempt_numbers,
                pending,
                takeover,
            )
            outcome = await self._run_attempt(
                admitted, step, next(attempt_numbers), pending
            )
            has_moved = takeover.step is not None and not outcome.succeeded
            if not has_moved:
                nursery.cancel_scope.cancel()
        plan.on_outcome(step.target.name, outcome)
        if has_moved and takeover.step is not None and takeover.outcome:
            plan.on_outcome(takeover.step.target.name, takeover.outcome)

    async def _take_over_when_overdue(
        self,
        admitted: AdmittedRequest,
        plan: Plan,
        attempt_numbers: Iterator[int],
        overdue: PendingAttempt,
        takeover: Takeover,
    ) -> None:
        """Move the request to another target once it is overdue.

        The overdue attempt is cancelled only when another owner has granted
        a slot: its target may still answer, and the others may be full.
        """
        while not self._keeps_overdue:
            now = self._parts.clock.now()
            seconds = max(OVERDUE_POLL_SECONDS, overdue.overdue_at - now)
            await trio.sleep(seconds)
            step = plan.takeover_step(self._parts.clock.now())
            if step is None or self._keeps_overdue:
                continue
            pending = self._start_pending(admitted, step)
            pending.on_granted = functools.partial(
                self._on_takeover_granted, overdue, pending, takeover, step
            )
            outcome = await self._run_attempt(
                admitted, step, next(attempt_numbers), pending
            )
            if takeover.step is not None:
                takeover.outcome = outcome
                return
            plan.on_takeover_refused(step.target.name)

    def _on_takeover_granted(
        self,
        overdue: PendingAttempt,
        pending: PendingAttempt,
        takeover: Takeover,
        step: SendStep,
    ) -> None:
        if self._keeps_overdue:
            pending.cancel_scope.cancel()
            return
        takeover.step = step
        overdue.cancel_scope.cancel()

    def _start_pending(
        self, admitted: AdmittedRequest, step: SendStep
    ) -> PendingAttempt:
        now = self._parts.clock.now()
        limit = max(0, admitted.deadline - now) + ANSWER_GRACE_SECONDS
        return PendingAttempt(
            trio.CancelScope(deadline=trio.current_time() + limit),
            now + step.overdue_after,
        )

    async def _run_attempt(
        self,
        admitted: AdmittedRequest,
        step: SendStep,
        attempt_number: int,
        pending: PendingAttempt,
    ) -> MeshOutcome:
        parts = self._parts
        target = step.target
        attempt = self._build_attempt(admitted, step, attempt_number)
        started = parts.clock.now()
        outcome: MeshOutcome | None = None
        self._running_attempts.add(pending)
        parts.balancer.on_attempt_started(target.name)
        try:
            with pending.cancel_scope:
                outcome = await self._send_attempt(
                    target,
                    attempt,
                    admitted.request,
                    pending,
                )
        except trio.Cancelled:
            parts.events.emit(
                'attempt-cut',
                req=admitted.req_id,
                attempt=attempt.attempt,
                target=target.name,
                wait=f'{step.wait:.2f}',
                insist=step.insist,
            )
            raise
        finally:
            self._running_attempts.remove(pending)
            parts.balancer.on_attempt_ended(target.name, outcome)
        if outcome is None:
            outcome = self._unanswered_outcome(pending)
        if outcome.succeeded:
            parts.balancer.on_answer(
                target.service,
                len(admitted.request.body) + len(outcome.body),
                None if step.wait else parts.clock.now() - started,
            )
        parts.events.emit(
            'attempt-tried',
            req=admitted.req_id,
            attempt=attempt.attempt,
            target=target.name,
            service=target.service,
            wait=f'{step.wait:.2f}',
            insist=step.insist,
            scout=step.scout,
            verdict=outcome.verdict.value,
            reason=outcome.reason.value if outcome.reason else 'answered',
        )
        return outcome

    def _unanswered_outcome(self, pending: PendingAttempt) -> MeshOutcome:
        """Return the outcome of an attempt that was cancelled or timed out."""
        reason = Reason.DRAINING if self._is_closing else Reason.DEADLINE
        if not pending.sent:
            return not_run(reason)
        return MeshOutcome(
            verdict=Verdict.MAY_HAVE_RUN,
            reason=reason,
            reached=True,
        )

    async def _send_attempt(
        self,
        target: Target,
        attempt: MeshAttempt,
        request: BufferedRequest,
        pending: PendingAttempt,
    ) -> MeshOutcome:
        settings = self._parts.settings()
        if target.address != settings.target_address:
            port = settings.peer_address.rpartition(':')[2]
            return await self._parts.peer_client.send_attempt(
                f'{target.host}:{port}',
                attempt,
                request,
                pending,
            )
        needs_slot = pending.on_granted is not None
        execution = self._parts.owner.submit(
            attempt, None if needs_slot else request
        )
        assert execution is not None
        pending.sent = not needs_slot
        try:
            if pending.on_granted is not None:
                await execution.body_wanted.wait()
                if not execution.done.is_set():
                    pending.sent = True
                    pending.on_granted()
                    execution.request = request
                    execution.body_received.set()
            await execution.done.wait()
        except trio.Cancelled:
            self._parts.owner.abandon(execution)
            pending.sent = execution.reached
            raise
        assert execution.outcome is not None
        return execution.outcome

    def _build_attempt(
        self, admitted: AdmittedRequest, step: SendStep, attempt_number: int
    ) -> MeshAttempt:
        parts = self._parts
        return MeshAttempt(
            attempt=f'{new_request_id()[:12]}.{attempt_number}',
            req_id=admitted.req_id,
            target=step.target.name,
            left=round(admitted.deadline - parts.clock.now(), 3),
            objective=admitted.route.objective,
            idempotent=admitted.route.idempotent,
            account=admitted.account.name if admitted.account else '',
            caller=parts.settings().service,
            rank=self._rank(admitted),
            wait=round(step.wait, 3),
            insist=step.insist,
            scout=step.scout,
            spare=step.spare,
            limit=parts.balancer.known_limit(step.target),
        )

    def _schedule_return(
        self,
        admitted: AdmittedRequest,
        outcome: MeshOutcome,
        allowed: AllowedZones = EVERY_ZONE,
    ) -> MeshOutcome:
        """Set when a caller refused for the targets' limits should return."""
        if outcome.reason is not Reason.TARGET_LIMITED:
            return outcome
        service = admitted.service
        limit = self._parts.balancer.total_limit(service, allowed)
        if limit is None:
            return outcome
        retry_after = self._return_schedule.add(
            service, limit, self.daemon_count, admitted.route.timeout
        )
        return replace(outcome, retry_after=retry_after)

    def _rank(self, admitted: AdmittedRequest) -> Rank:
        """Return the rank of a request in queues.

        A request without an account may be a call that the own target makes
        for a request which it runs, and ranks as that.
        """
        if admitted.account is not None:
            return admitted.account.priority, admitted.route.priority
        return self._parts.owner.call_ranks.rank_call(
            admitted.deadline, admitted.route.priority
        )

    def _find_retry_bucket(self, service: str) -> RetryTokenBucket:
        bucket = self._retry_buckets.get(service)
        if bucket is None:
            bounds = self._parts.settings().bounds
            bucket = RetryTokenBucket(bounds, self._parts.clock)
            self._retry_buckets[service] = bucket
        bucket.daemon_count = self.daemon_count
        return bucket

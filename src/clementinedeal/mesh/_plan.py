"""Decides the attempts of one request, without input or output of its own.

The sender carries out the steps of a plan and reports their outcomes to it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._allowed_zones import EVERY_ZONE, AllowedZones
from clementinedeal.mesh._balancer import Balancer
from clementinedeal.mesh._outcomes import MeshOutcome
from clementinedeal.mesh._types import RouteRule, Target
from clementinedeal.mesh._zone_plan import ZonePlan

# Each refusal by an owner costs a round trip. After this many, the request
# queues at a busy target or insists on a suspect one.
MAX_REFUSALS = 8
# How often owners are asked for their target's condition before an attempt.
MAX_ASK_ROUNDS = 2
# Total time in queues, as a fraction of the latency objective: the time left
# must suffice for the work. A request that moves to another queue starts at its
# end.
MAX_QUEUE_FRACTION = 1.0
MIN_QUEUE_SECONDS = 0.1
# An idempotent request without an answer after this fraction of its objective
# is abandoned for another target, if at least the second fraction remains for
# the second attempt.
OVERDUE_FRACTION = 1.3
MIN_SECOND_ATTEMPT_FRACTION = 0.7
# How many targets a request may queue at, one after the other.
MAX_QUEUES = 3
# No retry is started with less than this fraction of the objective left.
MIN_RETRY_TIME_FRACTION = 0.15
# A request that no target accepts is held for this fraction of its objective,
# then refused: an early refusal costs the caller less than a long wait.
HOLD_FRACTION = 0.12
HOLD_PAUSE_SECONDS = 0.1
# Retry-After for refused callers, as a fraction of the objective.
RETRY_AFTER_FRACTION = 0.4


def _allow_every_zone() -> AllowedZones:
    return EVERY_ZONE


class RetryTokens(Protocol):
    """Limits how many retries this daemon sends."""

    def take(self) -> bool:
        """Take a token for one retry; False if there is none."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class SendStep:
    """Send the request to a target.

    Without an answer after ``overdue_after`` seconds the attempt is abandoned,
    if a retry is possible. ``wait`` is how long it may queue at the target, in
    seconds. ``insist``, ``scout`` and ``spare`` have the meaning that
    ``MeshAttempt`` describes.
    """

    target: Target
    overdue_after: float
    wait: float = 0.0
    insist: bool = False
    scout: bool = False
    spare: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PauseStep:
    """Wait for some seconds, then ask the plan for the next step."""

    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class FinishStep:
    """End the request with this outcome."""

    outcome: MeshOutcome


Step: TypeAlias = SendStep | PauseStep | FinishStep


class Plan:
    """State machine of one request at its entry.

    ``next_step`` and ``on_outcome`` alternate until a ``FinishStep``. A target
    that received the request is not tried again. A request that has run or may
    have run is retried only if its route is idempotent. A new attempt costs a
    retry token if a target has received the request, but none after refusals by
    owners alone.
    """

    def __init__(
        self,
        route: RouteRule,
        service: str,
        balancer: Balancer,
        retry_tokens: RetryTokens,
        deadline: float,
        allowed_zones: Callable[[], AllowedZones] = _allow_every_zone,
    ) -> None:
        """Create a plan without attempts.

        :param route: the rule that the request matched.
        :param service: the service that it goes to.
        :param balancer: ranks the targets of the service.
        :param retry_tokens: limits retries.
        :param deadline: when the answer is due, monotonic seconds.
        :param allowed_zones: returns the zones in which the request may run.
        """
        self._route = route
        self._service = service
        self._balancer = balancer
        self._retry_tokens = retry_tokens
        self._deadline = deadline
        self._allowed_zones = allowed_zones
        self._reached_targets: set[str] = set()
        self._refusals: dict[str, Reason] = {}
        self._last_outcome: MeshOutcome | None = None
        self._hold_until: float | None = None
        self._queued_targets: set[str] = set()
        self._has_insisted = False
        self._has_scouted = False
        self._takeover_refusals: set[str] = set()
        self._zone_plan = ZonePlan(route, service, deadline, balancer.zones)
        self._candidates = balancer.choose_candidates(service, allowed_zones())
        self._ask_rounds = 0
        self._has_token = True
        self._has_reserved_token = False
        self._current_target = ''
        self._queue_until: float | None = None

    def targets_to_ask(self) -> list[Target]:
        """Return the targets whose owners should be asked before an attempt.

        None are asked once the best target is known to be well and free, nor
        after a refusal, whose owner has told its target's condition. Those of
        other zones are asked only once some of the own zone are known and the
        request should leave all the same.
        """
        if self._ask_rounds >= MAX_ASK_ROUNDS or self._refusals:
            return []
        self._ask_rounds += 1
        asked: list[Target] = []
        if self._ask_rounds == 1:
            asked = self._balancer.choose_asked(self._rank(own_zone_only=True))
        return asked or self._balancer.choose_asked(self._rank())

    def _rank(self, *, own_zone_only: bool = False) -> list[Target]:
        """Return the candidates, the best for the next attempt first.

        A target that may fail is avoided if there is no retry after it. Those
        of other zones are left out unless the request should leave its zone.

        :param own_zone_only: leave them out unless there are no others.
        """
        avoid_risk = not self._route.idempotent or bool(self._reached_targets)
        ranked = self._balancer.rank_targets(
            filter(self._allowed_zones().allow, self._candidates),
            self._reached_targets,
            avoid_risk=avoid_risk,
        )
        if own_zone_only:
            return self._balancer.zones.keep_own(ranked) or ranked
        return self._zone_plan.choose(ranked, avoid_risk=avoid_risk)

    def next_step(self, now: float) -> Step:
        """Return the next step.

        :param now: monotonic time in seconds.
        """
        if self._last_outcome is not None and self._is_final(
            self._last_outcome
        ):
            return FinishStep(outcome=self._last_outcome)
        seconds_left = self._deadline - now
        if seconds_left <= 0:
            return FinishStep(outcome=self.conclude(Reason.DEADLINE))
        if self._reached_targets and not self._may_retry(seconds_left):
            return FinishStep(
                outcome=self._last_outcome or self.conclude(Reason.NO_TARGET)
            )
        step = self._choose_step(now, seconds_left)
        if isinstance(step, SendStep):
            self._current_target = step.target.name
        return step

    def on_outcome(self, target: str, outcome: MeshOutcome) -> None:
        """Record the outcome of the last attempt.

        :param target: name of its target.
        :param outcome: how it ended.
        """
        if outcome.reached:
            self._reached_targets.add(target)
            self._has_token = self._has_reserved_token
            self._has_reserved_token = False
            self._refusals.clear()
            self._renew_candidates()
            self._takeover_refusals.clear()
            self._queued_targets.clear()
            self._has_insisted = False
            self._has_scouted = False
        elif outcome.reason is not None:
            self._refusals[target] = outcome.reason
            self._zone_plan.on_refused(target)
        if outcome.verdict is not Verdict.NOT_RUN:
            self._last_outcome = outcome
        elif not self._may_have_run():
            self._last_outcome = outcome if outcome.reached else None

    def reserve_retry(self, now: float) -> bool:
        """Take a retry token so that the running attempt may be abandoned.

        The token is taken once per attempt, and only if enough time is left
        and another target is expected to have a free slot.

        :param now: monotonic time in seconds.
        :return: whether the attempt may be abandoned.
        """
        seconds_left = self._deadline - now
        if seconds_left < MIN_RETRY_TIME_FRACTION * self._route.objective:
            return False
        if not self._balancer.has_room(
            self._service, self._taken_targets(), self._allowed_zones()
        ):
            return False
        if not self._has_reserved_token:
            self._has_reserved_token = self._retry_tokens.take()
        return self._has_reserved_token

    def takeover_step(self, now: float) -> SendStep | None:
        """Return an attempt that may take over from the running one, if any.

        The running attempt goes on until the new one has a slot.

        :param now: monotonic time in seconds.
        """
        if not (self._route.idempotent and self.reserve_retry(now)):
            return None
        ranked = self._balancer.rank_targets(
            self._balancer.choose_candidates(
                self._service, self._allowed_zones()
            ),
            self._taken_targets(),
            avoid_risk=True,
        )
        ranked = self._zone_plan.choose_takeover(ranked)
        if not ranked:
            return None
        return SendStep(target=ranked[0], overdue_after=self._deadline - now)

    def on_takeover_refused(self, target: str) -> None:
        """Record that a target granted no slot to take over.

        :param target: its name; it is not asked again for this attempt.
        """
        self._takeover_refusals.add(target)

    def _renew_candidates(self) -> None:
        """Choose candidates anew, and ask before the next attempt."""
        self._candidates = self._balancer.choose_candidates(
            self._service, self._allowed_zones()
        )
        self._ask_rounds = 0

    def _taken_targets(self) -> set[str]:
        """Return the targets that cannot take over from the running attempt."""
        return (
            self._reached_targets
            | self._takeover_refusals
            | {self._current_target}
        )

    def conclude(self, reason: Reason) -> MeshOutcome:
        """Return the outcome of the request if it is not tried again.

        :param reason: why it is refused, for a request that has not run.
        """
        if self._last_outcome is not None and self._may_have_run():
            return self._last_outcome
        return MeshOutcome(
            verdict=Verdict.NOT_RUN,
            reason=reason,
            retry_after=self._route.objective * RETRY_AFTER_FRACTION,
        )

    def _may_have_run(self) -> bool:
        last = self._last_outcome
        return last is not None and last.verdict is not Verdict.NOT_RUN

    def _is_final(self, outcome: MeshOutcome) -> bool:
        if outcome.succeeded or outcome.reason is Reason.TARGET_CRASHED:
            return True
        if outcome.verdict is Verdict.NOT_RUN:
            return False
        return not self._route.idempotent

    def _may_retry(self, seconds_left: float) -> bool:
        """Whether a retry may be sent; takes its token once."""
        if len(self._reached_targets) >= self._route.max_targets:
            return False
        if seconds_left < MIN_RETRY_TIME_FRACTION * self._route.objective:
            return False
        if not self._has_token:
            self._has_token = self._retry_tokens.take()
        return self._has_token

    def _choose_step(self, now: float, seconds_left: float) -> Step:
        ranked = self._rank()
        fresh = [one for one in ranked if one.name not in self._refusals]
        untried = self._zone_plan.find_untried(
            fresh,
            has_suspect=Reason.TARGET_EJECTED in self._refusals.values(),
        )
        if untried and len(self._refusals) < MAX_REFUSALS:
            return SendStep(
                target=untried[0],
                overdue_after=self._overdue_after(seconds_left),
                spare=self._route.idempotent
                and not self._reached_targets
                and self._route.max_targets > 1,
            )
        return self._choose_fallback(ranked, now, seconds_left)

    def _choose_fallback(
        self, ranked: list[Target], now: float, seconds_left: float
    ) -> Step:
        """Return the step for a request that no target accepts at once.

        A suspect target is tried once as a trial, then the request queues at
        busy targets, then it insists on a suspect one. Targets of other zones
        are tried before a suspect one.
        """
        suspect = [
            one
            for one in ranked
            if self._refusals.get(one.name) is Reason.TARGET_EJECTED
        ]
        escapes = self._zone_plan.find_escapes(self._refusals)
        if len(self._refusals) >= MAX_REFUSALS:
            escapes = []
        busy = self._zone_plan.find_queues(
            ranked, self._refusals, self._queued_targets
        )
        if suspect and not (busy or escapes):
            # a queue in another zone is better than a suspect target
            busy = self._zone_plan.find_queues(
                self._zone_plan.others, self._refusals, self._queued_targets
            )
        if busy and suspect and not (escapes or self._has_scouted):
            # the other targets are full, so the suspect's slots are needed:
            # its owner accepts one request per interval as a trial
            self._has_scouted = True
            overdue_after = self._overdue_after(seconds_left)
            return SendStep(
                target=suspect[0], overdue_after=overdue_after, scout=True
            )
        wait = min(seconds_left / 2, self._queue_seconds(now))
        may_queue = (
            wait > MIN_QUEUE_SECONDS and len(self._queued_targets) < MAX_QUEUES
        )
        if busy and may_queue:
            target = self._balancer.find_shortest_queue(
                busy, self._zone_plan.risk_seconds
            )
            self._queued_targets.add(target.name)
            overdue_after = self._overdue_after(seconds_left) + wait
            return SendStep(
                target=target, overdue_after=overdue_after, wait=wait
            )
        if escapes:
            overdue_after = self._overdue_after(seconds_left)
            return SendStep(target=escapes[0], overdue_after=overdue_after)
        if suspect and not self._has_insisted:
            self._has_insisted = True
            target = self._balancer.find_least_risk(suspect)
            return SendStep(
                target=target,
                overdue_after=seconds_left,
                wait=seconds_left / 2,
                insist=True,
            )
        return self._hold(now)

    def _queue_seconds(self, now: float) -> float:
        """Return how long the request may still queue, in seconds."""
        if self._queue_until is None:
            self._queue_until = now + MAX_QUEUE_FRACTION * self._route.objective
        return self._queue_until - now

    def _overdue_after(self, seconds_left: float) -> float:
        """Return after how many seconds an attempt is overdue."""
        may_retry = len(self._reached_targets) + 1 < self._route.max_targets
        if not (self._route.idempotent and may_retry):
            return seconds_left
        overdue_after = OVERDUE_FRACTION * self._route.objective
        second_attempt_seconds = (
            MIN_SECOND_ATTEMPT_FRACTION * self._route.objective
        )
        return (
            overdue_after
            if seconds_left - overdue_after > second_attempt_seconds
            else seconds_left
        )

    def _hold(self, now: float) -> Step:
        """Return a pause before another round, or the end of the request."""
        zones = self._allowed_zones()
        refusal = zones.find_refusal(
            self._balancer.available_targets(self._service)
        )
        if refusal is not None:
            return FinishStep(outcome=self.conclude(refusal))
        is_limited = set(self._refusals.values()) == {Reason.TARGET_LIMITED}
        limit = self._balancer.total_limit(self._service, zones)
        if is_limited and limit is not None:
            return FinishStep(outcome=self.conclude(Reason.TARGET_LIMITED))
        if self._hold_until is None:
            hold = HOLD_FRACTION * self._route.objective
            self._hold_until = min(now + hold, self._deadline)
        if now >= self._hold_until:
            reason = next(iter(self._refusals.values()), Reason.NO_TARGET)
            return FinishStep(outcome=self.conclude(reason))
        self._refusals.clear()
        self._renew_candidates()
        self._queued_targets.clear()
        return PauseStep(seconds=HOLD_PAUSE_SECONDS)

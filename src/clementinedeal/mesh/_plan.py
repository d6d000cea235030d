"""Decides the attempts of one request, without sockets or clocks."""

from dataclasses import dataclass
from typing import Protocol, TypeAlias

from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._balancer import Balancer
from clementinedeal.mesh._outcomes import MeshOutcome
from clementinedeal.mesh._types import RouteRule, Target

# Refusals after which the request queues or insists; each is a round trip.
MAX_REFUSALS = 8
# A request queues for no longer than its objective in all: what is left must
# suffice for the work, and who leaves a queue for another loses its place.
MAX_QUEUE_FRACTION = 1.0
MIN_QUEUE_SECONDS = 0.1
# An idempotent request that has no answer after this share of its objective
# is given up for another target, if enough time is left there.
OVERDUE_FRACTION = 1.3
MIN_SECOND_ATTEMPT_FRACTION = 0.7
# Targets that a request is queued at, one after the other.
MAX_QUEUES = 3
# With less time left than this share of the objective no repeat is begun.
MIN_RETRY_TIME_FRACTION = 0.15
# A request that no target takes is held for this share of its objective: a
# caller that is refused sooner loses less than by waiting.
HOLD_FRACTION = 0.12
HOLD_PAUSE_SECONDS = 0.1
# Callers are told to come back after this share of the objective.
RETRY_AFTER_FRACTION = 0.4


class RetryTokens(Protocol):
    """Bounds repeats."""

    def take(self) -> bool:
        """Spend one repeat if there is one."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class SendStep:
    """Send the request to a target.

    ``wait`` is how long it may queue there, in seconds; ``insist``, ``scout``
    and ``spare`` as in an attempt. Without an answer after ``patience``
    seconds the attempt is given up if another may follow.
    """

    target: Target
    overdue_after: float
    wait: float = 0.0
    insist: bool = False
    scout: bool = False
    spare: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PauseStep:
    """Wait, then ask for the next step."""

    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class FinishStep:
    """The request ends with this outcome."""

    outcome: MeshOutcome


Step: TypeAlias = SendStep | PauseStep | FinishStep


class Plan:
    """One request's way to an answer."""

    def __init__(
        self,
        route: RouteRule,
        service: str,
        balancer: Balancer,
        retry_tokens: RetryTokens,
        deadline: float,
    ) -> None:
        """Begin a request.

        :param route: its rule.
        :param service: the part of the route that it goes to.
        :param balancer: orders targets.
        :param budget: bounds repeats.
        :param deadline: when its answer is due, monotonic seconds.
        """
        self._route = route
        self._service = service
        self._balancer = balancer
        self._retry_tokens = retry_tokens
        self._deadline = deadline
        self._reached_targets: set[str] = set()
        self._refusals: dict[str, Reason] = {}
        self._last_outcome: MeshOutcome | None = None
        self._hold_until: float | None = None
        self._queued_targets: set[str] = set()
        self._has_insisted = False
        self._has_scouted = False
        self._has_token = True
        self._has_reserved_token = False
        self._current_target = ''
        self._queue_until: float | None = None

    def next_step(self, now: float) -> Step:
        """Return what to do next.

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
        """Take in how an attempt ended.

        :param target: its target.
        :param outcome: its outcome.
        """
        if outcome.reached:
            self._reached_targets.add(target)
            self._has_token = self._has_reserved_token
            self._has_reserved_token = False
            self._refusals.clear()
            self._queued_targets.clear()
            self._has_insisted = False
            self._has_scouted = False
        elif outcome.reason is not None:
            self._refusals[target] = outcome.reason
        if outcome.verdict is not Verdict.NOT_RUN:
            self._last_outcome = outcome
        elif not self._may_have_run():
            self._last_outcome = outcome if outcome.reached else None

    def reserve_retry(self, now: float) -> bool:
        """Whether the attempt under way may be left for another; pays for it.

        :param now: monotonic time in seconds.
        """
        seconds_left = self._deadline - now
        if seconds_left < MIN_RETRY_TIME_FRACTION * self._route.objective:
            return False
        excluded = self._reached_targets | {self._current_target}
        if not self._balancer.has_room(self._service, excluded):
            return False
        if not self._has_reserved_token:
            self._has_reserved_token = self._retry_tokens.take()
        return self._has_reserved_token

    def conclude(self, reason: Reason) -> MeshOutcome:
        """Return how the request ends if nothing more is tried.

        :param reason: why nothing is, for a request that has not run.
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
        if outcome.succeeded:
            return True
        if outcome.verdict is Verdict.NOT_RUN:
            return False
        return not self._route.idempotent

    def _may_retry(self, seconds_left: float) -> bool:
        """Whether another target may see the request; pays for it once."""
        if len(self._reached_targets) >= self._route.max_targets:
            return False
        if seconds_left < MIN_RETRY_TIME_FRACTION * self._route.objective:
            return False
        if not self._has_token:
            self._has_token = self._retry_tokens.take()
        return self._has_token

    def _choose_step(self, now: float, seconds_left: float) -> Step:
        avoid_risk = not self._route.idempotent or bool(self._reached_targets)
        ranked = self._balancer.rank_targets(
            self._service,
            self._reached_targets,
            avoid_risk=avoid_risk,
        )
        untried = [one for one in ranked if one.name not in self._refusals]
        if untried and len(self._refusals) < MAX_REFUSALS:
            return SendStep(
                target=untried[0],
                overdue_after=self._overdue_after(seconds_left),
                spare=not avoid_risk and self._route.max_targets > 1,
            )
        return self._choose_fallback(ranked, now, seconds_left)

    def _choose_fallback(
        self, ranked: list[Target], now: float, seconds_left: float
    ) -> Step:
        """Try a suspect target, queue at a busy one, else insist."""
        full = self._targets_refused_for(ranked, Reason.QUEUE_FULL)
        busy = [one for one in full if one.name not in self._queued_targets]
        suspect = self._targets_refused_for(ranked, Reason.TARGET_EJECTED)
        if busy and suspect and not self._has_scouted:
            # the suspect's slots are missed: whether it is well is worth one
            # request in each pause that its owner keeps between trials
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
            target = self._balancer.find_shortest_queue(busy)
            self._queued_targets.add(target.name)
            overdue_after = self._overdue_after(seconds_left) + wait
            return SendStep(
                target=target, overdue_after=overdue_after, wait=wait
            )
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
        """Return how long the request may still queue."""
        if self._queue_until is None:
            self._queue_until = now + MAX_QUEUE_FRACTION * self._route.objective
        return self._queue_until - now

    def _overdue_after(self, seconds_left: float) -> float:
        """Return how long to wait for one target, in seconds."""
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

    def _targets_refused_for(
        self, ranked: list[Target], reason: Reason
    ) -> list[Target]:
        return [one for one in ranked if self._refusals.get(one.name) is reason]

    def _hold(self, now: float) -> Step:
        """Begin again after a pause, for a while."""
        if self._hold_until is None:
            hold = HOLD_FRACTION * self._route.objective
            self._hold_until = min(now + hold, self._deadline)
        if now >= self._hold_until:
            reason = next(iter(self._refusals.values()), Reason.NO_TARGET)
            return FinishStep(outcome=self.conclude(reason))
        self._refusals.clear()
        self._queued_targets.clear()
        return PauseStep(seconds=HOLD_PAUSE_SECONDS)

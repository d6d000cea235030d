"""Decides the attempts of one request, without sockets or clocks."""

from dataclasses import dataclass
from typing import Protocol, TypeAlias

from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._balancer import Balancer
from clementinedeal.mesh._outcomes import Outcome
from clementinedeal.mesh._types import RouteRule, Target

# Refusals after which the request queues or insists; each is a round trip.
MOST_REFUSALS = 8
# A request queues for no longer than its objective in all: what is left must
# suffice for the work, and who leaves a queue for another loses its place.
QUEUE_SHARE = 1.0
LEAST_QUEUE_SECONDS = 0.1
# An idempotent request that has no answer after this share of its objective
# is given up for another target, if enough time is left there.
PATIENCE_SHARE = 1.3
LEAST_SECOND_SHARE = 0.7
# Targets that a request is queued at, one after the other.
MOST_QUEUES = 3
# With less time left than this share of the objective no repeat is begun.
LEAST_SHARE = 0.15
# A request that no target takes is held for this share of its objective: a
# caller that is refused sooner loses less than by waiting.
HOLD_SHARE = 0.12
HOLD_PAUSE_SECONDS = 0.1
# Callers are told to come back after this share of the objective.
RETRY_SHARE = 0.4


class Budget(Protocol):
    """Bounds repeats."""

    def take(self) -> bool:
        """Spend one repeat if there is one."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class Try:
    """Send the request to a target.

    ``wait`` is how long it may queue there, in seconds; ``insist``, ``scout``
    and ``spare`` as in an attempt. Without an answer after ``patience``
    seconds the attempt is given up if another may follow.
    """

    target: Target
    patience: float
    wait: float = 0.0
    insist: bool = False
    scout: bool = False
    spare: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Pause:
    """Wait, then ask for the next step."""

    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """The request ends with this outcome."""

    outcome: Outcome


Step: TypeAlias = Try | Pause | Finish


class Plan:
    """One request's way to an answer."""

    def __init__(
        self,
        route: RouteRule,
        service: str,
        balancer: Balancer,
        budget: Budget,
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
        self._budget = budget
        self._deadline = deadline
        self._reached: set[str] = set()
        self._refused: dict[str, Reason] = {}
        self._last: Outcome | None = None
        self._hold_until: float | None = None
        self._queued: set[str] = set()
        self._insisted = False
        self._offered = False
        self._paid = True
        self._prepaid = False
        self._under_way = ''
        self._queue_until: float | None = None

    def next_step(self, now: float) -> Step:
        """Return what to do next.

        :param now: monotonic time in seconds.
        """
        if self._last is not None and self._is_final(self._last):
            return Finish(outcome=self._last)
        left = self._deadline - now
        if left <= 0:
            return Finish(outcome=self.give_up(Reason.DEADLINE))
        if self._reached and not self._may_repeat(left):
            return Finish(outcome=self._last or self.give_up(Reason.NO_TARGET))
        step = self._choose(now, left)
        if isinstance(step, Try):
            self._under_way = step.target.name
        return step

    def on_outcome(self, target: str, outcome: Outcome) -> None:
        """Take in how an attempt ended.

        :param target: its target.
        :param outcome: its outcome.
        """
        if outcome.reached:
            self._reached.add(target)
            self._paid = self._prepaid
            self._prepaid = False
            self._refused.clear()
            self._queued.clear()
            self._insisted = False
            self._offered = False
        elif outcome.reason is not None:
            self._refused[target] = outcome.reason
        if outcome.verdict is not Verdict.NOT_RUN:
            self._last = outcome
        elif not self._may_have_run():
            self._last = outcome if outcome.reached else None

    def may_break_off(self, now: float) -> bool:
        """Whether the attempt under way may be left for another; pays for it.

        :param now: monotonic time in seconds.
        """
        left = self._deadline - now
        if left < LEAST_SHARE * self._route.objective:
            return False
        known = self._reached | {self._under_way}
        if not self._balancer.has_room(self._service, known):
            return False
        if not self._prepaid:
            self._prepaid = self._budget.take()
        return self._prepaid

    def give_up(self, reason: Reason) -> Outcome:
        """Return how the request ends if nothing more is tried.

        :param reason: why nothing is, for a request that has not run.
        """
        if self._last is not None and self._may_have_run():
            return self._last
        return Outcome(
            verdict=Verdict.NOT_RUN,
            reason=reason,
            retry_after=self._route.objective * RETRY_SHARE,
        )

    def _may_have_run(self) -> bool:
        last = self._last
        return last is not None and last.verdict is not Verdict.NOT_RUN

    def _is_final(self, outcome: Outcome) -> bool:
        if outcome.succeeded:
            return True
        if outcome.verdict is Verdict.NOT_RUN:
            return False
        return not self._route.idempotent

    def _may_repeat(self, left: float) -> bool:
        """Whether another target may see the request; pays for it once."""
        if len(self._reached) >= self._route.max_targets:
            return False
        if left < LEAST_SHARE * self._route.objective:
            return False
        if not self._paid:
            self._paid = self._budget.take()
        return self._paid

    def _choose(self, now: float, left: float) -> Step:
        careful = not self._route.idempotent or bool(self._reached)
        order = self._balancer.order(
            self._service,
            self._reached,
            careful=careful,
        )
        fresh = [one for one in order if one.name not in self._refused]
        if fresh and len(self._refused) < MOST_REFUSALS:
            return Try(
                target=fresh[0],
                patience=self._patience(left),
                spare=not careful and self._route.max_targets > 1,
            )
        return self._choose_last(order, now, left)

    def _choose_last(
        self, order: list[Target], now: float, left: float
    ) -> Step:
        """Try a suspect target, queue at a busy one, else insist."""
        full = self._refused_for(order, Reason.QUEUE_FULL)
        busy = [one for one in full if one.name not in self._queued]
        suspect = self._refused_for(order, Reason.TARGET_EJECTED)
        if busy and suspect and not self._offered:
            # the suspect's slots are missed: whether it is well is worth one
            # request in each pause that its owner keeps between trials
            self._offered = True
            patience = self._patience(left)
            return Try(target=suspect[0], patience=patience, scout=True)
        wait = min(left / 2, self._queue_seconds(now))
        queues = wait > LEAST_QUEUE_SECONDS and len(self._queued) < MOST_QUEUES
        if busy and queues:
            target = self._balancer.shortest_queue(busy)
            self._queued.add(target.name)
            patience = self._patience(left) + wait
            return Try(target=target, patience=patience, wait=wait)
        if suspect and not self._insisted:
            self._insisted = True
            target = self._balancer.least_risk(suspect)
            return Try(
                target=target,
                patience=left,
                wait=left / 2,
                insist=True,
            )
        return self._hold(now)

    def _queue_seconds(self, now: float) -> float:
        """Return how long the request may still queue."""
        if self._queue_until is None:
            self._queue_until = now + QUEUE_SHARE * self._route.objective
        return self._queue_until - now

    def _patience(self, left: float) -> float:
        """Return how long to wait for one target, in seconds."""
        again = len(self._reached) + 1 < self._route.max_targets
        if not (self._route.idempotent and again):
            return left
        patience = PATIENCE_SHARE * self._route.objective
        second = LEAST_SECOND_SHARE * self._route.objective
        return patience if left - patience > second else left

    def _refused_for(self, order: list[Target], reason: Reason) -> list[Target]:
        return [one for one in order if self._refused.get(one.name) is reason]

    def _hold(self, now: float) -> Step:
        """Begin again after a pause, for a while."""
        if self._hold_until is None:
            hold = HOLD_SHARE * self._route.objective
            self._hold_until = min(now + hold, self._deadline)
        if now >= self._hold_until:
            reason = next(iter(self._refused.values()), Reason.NO_TARGET)
            return Finish(outcome=self.give_up(reason))
        self._refused.clear()
        self._queued.clear()
        return Pause(seconds=HOLD_PAUSE_SECONDS)

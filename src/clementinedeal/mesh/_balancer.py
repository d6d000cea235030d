"""The entry's order of targets for one request."""

import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason
from clementinedeal.mesh._outcomes import MeshOutcome, TargetCondition
from clementinedeal.mesh._types import Target

# What was heard of a target loses half its weight in this time.
HALF_LIFE_SECONDS = 1.5
# Assumed of a target that nothing was heard of.
DEFAULT_LOAD = 0.4
DEFAULT_RISK = 0.25
# Costs are in shares of a target's slots. Bytes between zones are priced, a
# booking that fails loses many times that; a target that is nearly full makes
# requests wait.
OTHER_ZONE_COST = 0.45
OTHER_INSTANCE_COST = 0.1
RISK_COST = 3.0
NEARLY_FULL_COST = 2.0
NEARLY_FULL_LOAD = 0.8
WARMUP_COST = 0.5
AVOIDED_COST = 5.0
JITTER_COST = 0.15
# How long a target is passed over after it refused for a cause.
AVOID_SECONDS = {
    Reason.NO_TARGET: 1.0,
    Reason.DRAINING: 3.0,
    Reason.WRONG_INCARNATION: 1.0,
    Reason.TARGET_EJECTED: 1.2,
}


@dataclass(slots=True)
class TargetObservation:
    """What this entry last heard of a target, and when (seconds)."""

    load: float = DEFAULT_LOAD
    risk: float = DEFAULT_RISK
    wait: float = 0.0
    observed_at: float = float('-inf')
    avoid_until: float = float('-inf')
    in_flight: int = 0


class Balancer:
    """Orders targets by what is known of their load, risk and distance."""

    def __init__(
        self,
        host: str,
        zone: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start without targets.

        :param host: IP number of this instance.
        :param zone: its availability zone.
        :param clock: monotonic time.
        :param rng: breaks ties.
        """
        self._host = host
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._by_service: dict[str, list[Target]] = {}
        self._warmup_until: dict[str, float] = {}
        self._observations: dict[str, TargetObservation] = {}

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Choose among these targets from now on.

        :param targets: all that are listed.
        """
        now = self._clock.now()
        by_service: dict[str, list[Target]] = {}
        for target in targets:
            by_service.setdefault(target.service, []).append(target)
            if target.name not in self._observations:
                self._observations[target.name] = TargetObservation()
                self._warmup_until[target.name] = now + target.warmup_seconds
        self._by_service = by_service
        names = {one.name for group in by_service.values() for one in group}
        for name in self._observations.keys() - names:
            del self._observations[name]
            del self._warmup_until[name]

    def available_targets(self, service: str) -> list[Target]:
        """Return the targets of a service that take work."""
        return [
            one for one in self._by_service.get(service, ()) if not one.draining
        ]

    def rank_targets(
        self,
        service: str,
        excluded: Collection[str],
        *,
        avoid_risk: bool,
    ) -> list[Target]:
        """Return targets, the best first.

        :param service: name of the service.
        :param without: names of targets that are no choice.
        :param careful: whether a failure cannot be made good.
        """
        now = self._clock.now()
        costs = {
            one.name: self._estimate_cost(one, now, avoid_risk=avoid_risk)
            for one in self.available_targets(service)
            if one.name not in excluded
        }
        return sorted(
            (
                one
                for one in self.available_targets(service)
                if one.name in costs
            ),
            key=lambda one: costs[one.name],
        )

    def has_room(self, service: str, excluded: Collection[str]) -> bool:
        """Whether a target is believed to take one more request at once.

        :param service: name of the service.
        :param without: names of targets that are no choice.
        """
        now = self._clock.now()
        return any(
            self._estimate_load(one, now) < NEARLY_FULL_LOAD
            and now >= self._observation(one).avoid_until
            for one in self.available_targets(service)
            if one.name not in excluded
        )

    def find_shortest_queue(self, targets: Sequence[Target]) -> Target:
        """Return the target whose queue was the shortest when last heard of.

        :param targets: the choice.
        """
        return min(targets, key=lambda one: self._observation(one).wait)

    def find_least_risk(self, targets: Sequence[Target]) -> Target:
        """Return the target that was the least suspect when last heard of.

        :param targets: the choice.
        """
        return min(targets, key=lambda one: self._observation(one).risk)

    def on_attempt_started(self, name: str) -> None:
        """Count an attempt at a target."""
        observation = self._observations.get(name)
        if observation is not None:
            observation.in_flight += 1

    def on_attempt_ended(self, name: str, outcome: MeshOutcome | None) -> None:
        """Take in what an attempt showed of its target.

        :param name: the target.
        :param outcome: None if the attempt was given up.
        """
        observation = self._observations.get(name)
        if observation is None:
            return
        observation.in_flight = max(0, observation.in_flight - 1)
        if outcome is None:
            return
        now = self._clock.now()
        if outcome.state is not None:
            self._record_condition(observation, outcome.state, now)
        if outcome.reason is not None:
            pause = AVOID_SECONDS.get(outcome.reason, 0)
            observation.avoid_until = max(observation.avoid_until, now + pause)

    def _observation(self, target: Target) -> TargetObservation:
        return self._observations.get(target.name) or TargetObservation()

    def _record_condition(
        self, observation: TargetObservation, state: TargetCondition, now: float
    ) -> None:
        busy = state.running + state.waiting
        observation.load = busy / max(1, state.slots)
        observation.risk = state.risk
        observation.wait = state.wait
        observation.observed_at = now

    def _estimate_load(self, target: Target, now: float) -> float:
        """Return the load that a target is believed to have now."""
        observation = self._observation(target)
        load = DEFAULT_LOAD + (
            observation.load - DEFAULT_LOAD
        ) * _recency_weight(observation, now)
        return max(load, observation.in_flight / max(1, target.slots))

    def _estimate_cost(
        self, target: Target, now: float, *, avoid_risk: bool
    ) -> float:
        observation = self._observations[target.name]
        cost = self._estimate_load(target, now)
        cost += NEARLY_FULL_COST * max(0, cost - NEARLY_FULL_LOAD)
        cost += JITTER_COST * self._rng.random()
        if target.zone != self._zone:
            cost += OTHER_ZONE_COST
        elif target.host != self._host:
            cost += OTHER_INSTANCE_COST
        if avoid_risk:
            weight = _recency_weight(observation, now)
            risk = DEFAULT_RISK + (observation.risk - DEFAULT_RISK) * weight
            cost += RISK_COST * risk
        if now < self._warmup_until[target.name]:
            cost += WARMUP_COST
        if now < observation.avoid_until:
            cost += AVOIDED_COST
        return cost


def _recency_weight(observation: TargetObservation, now: float) -> float:
    weight: float = 0.5 ** ((now - observation.observed_at) / HALF_LIFE_SECONDS)
    return weight

"""Load balancing: the order in which an entry tries the targets of a service.

The entry knows a target only by the condition that its owner sends with each
outcome, and by the attempts that this entry has running there.
"""

import random
from collections.abc import Collection, Iterable, Sequence

from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason
from clementinedeal.mesh._absences import Absences
from clementinedeal.mesh._allowed_zones import EVERY_ZONE, AllowedZones
from clementinedeal.mesh._outcomes import MeshOutcome, TargetCondition
from clementinedeal.mesh._target_observation import TargetObservation
from clementinedeal.mesh._types import Target
from clementinedeal.mesh._zone_spill import ZoneSpill
from clementinedeal.mesh._zones import Zones

# Costs are in the unit of load: 1 is all slots of a target. Traffic between
# availability zones is charged for, but a failed request that cannot be retried
# costs many times as much. A nearly full target makes requests wait.
OTHER_ZONE_COST = 0.45
OTHER_ZONE_COST_PER_KILOBYTE = 0.02
OTHER_INSTANCE_COST = 0.1
RISK_COST = 20.0
NEARLY_FULL_COST = 2.0
NEARLY_FULL_LOAD = 0.8
WARMUP_COST = 0.5
AVOIDED_COST = 5.0
JITTER_COST = 0.15
# A known target with at most this risk is good enough to ask no others.
PROMISING_RISK = 0.08
# Targets observed within this time stay among the candidates, so that their
# condition is known well.
REMEMBERED_SECONDS = 10.0
# How many owners are asked at a time, in the own zone and elsewhere.
ASKED_IN_ZONE = 4
ASKED_ELSEWHERE = 2
# How many targets of a service one request chooses among: more cost time to
# rank and give no better choice.
MAX_CANDIDATES = 24
# How many of them are of other zones, if the own zone has enough.
CANDIDATES_ELSEWHERE = 8
# For how many seconds a target is avoided whose owner does not reply.
SILENT_SECONDS = 0.5
# For how many seconds a target is avoided after a refusal for this reason.
AVOID_SECONDS = {
    Reason.NO_TARGET: 1.0,
    Reason.DRAINING: 3.0,
    Reason.ZONE_EVACUATED: 1.0,
    Reason.WRONG_INCARNATION: 1.0,
    Reason.TARGET_EJECTED: 1.2,
}


class Balancer:
    """Ranks the targets of a service by load, risk and distance."""

    def __init__(
        self,
        host: str,
        zone: str,
        clock: Clock,
        rng: random.Random,
        spill: ZoneSpill | None = None,
    ) -> None:
        """Create a balancer without targets.

        :param host: IP address of this instance.
        :param zone: its availability zone.
        :param clock: monotonic time.
        :param rng: adds jitter, so that entries do not all choose one target.
        :param spill: decides which requests leave the zone.
        """
        self._host = host
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._by_service: dict[str, list[Target]] = {}
        self._names: frozenset[str] = frozenset()
        self._absences = Absences(clock)
        self._observations: dict[str, TargetObservation] = {}
        self.zones = Zones(
            zone, clock, spill or ZoneSpill(clock, rng), self._observations
        )

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Replace the targets to choose from.

        What is known of the others is kept for a while: they may be listed
        again.

        :param targets: all listed targets, of all services.
        """
        now = self._clock.now()
        targets = tuple(targets)
        self.zones.set_targets(targets)
        by_service: dict[str, list[Target]] = {}
        for target in targets:
            by_service.setdefault(target.service, []).append(target)
            observation = self._observations.get(target.name)
            if observation is None:
                observation = TargetObservation()
                self._observations[target.name] = observation
            observation.set_target(target, now)
        self._by_service = by_service
        self._names = frozenset(one.name for one in targets)
        for name in self._absences.update(self._names, self._observations):
            del self._observations[name]

    def available_targets(
        self, service: str, allowed: AllowedZones = EVERY_ZONE
    ) -> list[Target]:
        """Return the targets of a service that a request may go to.

        Those that leave accept none.

        :param service: name of the service.
        :param allowed: the zones in which the request may run.
        """
        return [
            one
            for one in self._by_service.get(service, ())
            if allowed.allow(one)
            and not (one.draining or self._observation(one).is_leaving())
        ]

    def known_limit(self, target: Target) -> float | None:
        """Return the request limit that a target names, None if none is known.

        :param target: the target.
        """
        return self._observation(target).limit

    def total_limit(
        self, service: str, allowed: AllowedZones = EVERY_ZONE
    ) -> float | None:
        """Return the sum of the targets' request limits, per second.

        :param service: name of the service.
        :param allowed: the zones in which the request may run.
        :return: None if it has no targets or one that names no limit.
        """
        limits = [
            self._observation(one).limit
            for one in self.available_targets(service, allowed)
        ]
        named = [limit for limit in limits if limit is not None]
        return sum(named) if named and len(named) == len(limits) else None

    def choose_candidates(
        self, service: str, allowed: AllowedZones = EVERY_ZONE
    ) -> list[Target]:
        """Return the targets that one request chooses among.

        In a large service these are a sample, most of the own zone and some of
        others, of each first the targets that were observed lately.

        :param service: name of the service.
        :param allowed: the zones in which the request may run.
        """
        available = self.available_targets(service, allowed)
        if len(available) <= MAX_CANDIDATES:
            return available
        self._rng.shuffle(available)
        since = self._clock.now() - REMEMBERED_SECONDS
        observations = self._observations
        available.sort(
            key=lambda one: observations[one.name].observed_at < since
        )
        inside = self.zones.keep_own(available)
        outside = self.zones.keep_others(available)
        elsewhere = max(CANDIDATES_ELSEWHERE, MAX_CANDIDATES - len(inside))
        chosen = inside[: MAX_CANDIDATES - min(elsewhere, len(outside))]
        return chosen + outside[: MAX_CANDIDATES - len(chosen)]

    def choose_asked(self, ranked: Sequence[Target]) -> list[Target]:
        """Return the targets to ask about: the best that are not known.

        None are asked if the best target is known to be well and free, and
        fewer of other zones, since traffic between zones is charged for.

        :param ranked: the candidates, the best first.
        """
        if ranked and self.is_promising(ranked[0]):
            return []
        unknown = [one for one in ranked if not self.is_known(one)]
        if unknown and unknown[0].zone != self._zone:
            return unknown[:ASKED_ELSEWHERE]
        return self.zones.keep_own(unknown)[:ASKED_IN_ZONE]

    def is_known(self, target: Target) -> bool:
        """Whether the condition of a target was observed just now.

        :param target: the target.
        """
        return self._observation(target).is_known(self._clock.now())

    def is_promising(self, target: Target) -> bool:
        """Whether a target is known to be well and to have a free slot.

        :param target: the target.
        """
        now = self._clock.now()
        observation = self._observation(target)
        return (
            self.is_known(target)
            and not observation.is_avoided(now)
            and observation.risk <= PROMISING_RISK
            and observation.estimate_load(now) < 1
        )

    def on_condition(self, name: str, state: TargetCondition) -> None:
        """Record a condition that an owner was asked for.

        :param name: name of the target; an unknown one is ignored.
        :param state: its condition.
        """
        observation = self._observations.get(name)
        if observation is not None:
            observation.record(state, self._clock.now())
            self.zones.on_condition(name)

    def on_silent(self, name: str) -> None:
        """Avoid a target whose owner did not reply.

        :param name: name of the target; an unknown one is ignored.
        """
        observation = self._observations.get(name)
        if observation is not None:
            observation.avoid_until = max(
                observation.avoid_until, self._clock.now() + SILENT_SECONDS
            )

    def rank_targets(
        self,
        candidates: Iterable[Target],
        excluded: Collection[str],
        *,
        avoid_risk: bool,
    ) -> list[Target]:
        """Return targets, the best first.

        :param candidates: the targets to rank.
        :param excluded: names of targets to leave out.
        :param avoid_risk: whether to prefer targets that are unlikely to
            fail, for a request that cannot be retried after a failure.
        """
        now = self._clock.now()
        ranked = [
            one
            for one in candidates
            if one.name not in excluded and one.name in self._names
        ]
        return sorted(
            ranked,
            key=lambda one: self._estimate_cost(
                one, now, avoid_risk=avoid_risk
            ),
        )

    def has_room(
        self,
        service: str,
        excluded: Collection[str],
        allowed: AllowedZones = EVERY_ZONE,
    ) -> bool:
        """Whether some target is expected to have a free slot.

        :param service: name of the service.
        :param excluded: names of targets to leave out.
        :param allowed: the zones in which the request may run.
        """
        now = self._clock.now()
        return any(
            self._observation(one).estimate_load(now) < NEARLY_FULL_LOAD
            and not self._observation(one).is_avoided(now)
            for one in self.available_targets(service, allowed)
            if one.name not in excluded
        )

    def find_shortest_queue(
        self, targets: Sequence[Target], risk_seconds: float = 0
    ) -> Target:
        """Return the target with the shortest last known wait.

        :param targets: the targets to choose from, not empty.
        :param risk_seconds: the wait that is as bad as a certain failure.
        """
        observations = [self._observation(one) for one in targets]
        costs = [one.wait + risk_seconds * one.risk for one in observations]
        return targets[costs.index(min(costs))]

    def find_least_risk(self, targets: Sequence[Target]) -> Target:
        """Return the target with the lowest last known risk.

        :param targets: the targets to choose from, not empty.
        """
        return min(targets, key=lambda one: self._observation(one).risk)

    def on_attempt_started(self, name: str) -> None:
        """Count an attempt that this entry sends.

        :param name: name of the target.
        """
        observation = self._observations.get(name)
        if observation is not None:
            observation.in_flight += 1
            self.zones.on_attempt_started(name)

    def on_attempt_ended(self, name: str, outcome: MeshOutcome | None) -> None:
        """Record what the end of an attempt shows of its target.

        :param name: name of the target.
        :param outcome: None if the attempt was abandoned.
        """
        observation = self._observations.get(name)
        if observation is None:
            return
        observation.in_flight = max(0, observation.in_flight - 1)
        self.zones.on_attempt_ended(name, outcome)
        if outcome is None:
            return
        now = self._clock.now()
        if outcome.state is not None:
            observation.record(outcome.state, now)
            self.zones.on_condition(name)
        if outcome.reason is not None:
            pause = AVOID_SECONDS.get(outcome.reason, 0)
            observation.avoid_until = max(observation.avoid_until, now + pause)

    def on_answer(
        self, service: str, size: int, seconds: float | None = None
    ) -> None:
        """Learn from an answer what requests to a service need.

        :param service: name of the service.
        :param size: size of the bodies of request and answer in bytes.
        :param seconds: time until the answer, None if it includes a wait.
        """
        self.zones.spill.on_answer(service, size, seconds)

    def _observation(self, target: Target) -> TargetObservation:
        return self._observations.get(target.name) or TargetObservation()

    def _estimate_cost(
        self, target: Target, now: float, *, avoid_risk: bool
    ) -> float:
        observation = self._observations[target.name]
        cost = observation.estimate_load(now)
        cost += NEARLY_FULL_COST * max(0, cost - NEARLY_FULL_LOAD)
        cost += JITTER_COST * self._rng.random()
        if target.zone != self._zone:
            cost += OTHER_ZONE_COST
            kilobytes = self.zones.spill.kilobytes(target.service)
            cost += OTHER_ZONE_COST_PER_KILOBYTE * kilobytes
        elif target.host != self._host:
            cost += OTHER_INSTANCE_COST
        if avoid_risk:
            cost += RISK_COST * observation.estimate_risk(now)
        if now < observation.warmup_until:
            cost += WARMUP_COST
        if observation.is_avoided(now):
            cost += AVOIDED_COST
        return cost

"""The entry's order of targets for one request."""

import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason
from clementinedeal.mesh._outcomes import Outcome, State
from clementinedeal.mesh._types import Target

# What was heard of a target loses half its weight in this time.
HALF_LIFE_SECONDS = 1.5
# Assumed of a target that nothing was heard of.
USUAL_LOAD = 0.4
USUAL_RISK = 0.25
# Costs are in shares of a target's slots. Bytes between zones are priced, a
# booking that fails loses many times that; a target that is nearly full makes
# requests wait.
OTHER_ZONE_COST = 0.45
OTHER_HOST_COST = 0.1
RISK_COST = 3.0
CROWD_COST = 2.0
CROWDED_LOAD = 0.8
COLD_COST = 0.5
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
class Heard:
    """What this entry last heard of a target, and when (seconds)."""

    load: float = USUAL_LOAD
    risk: float = USUAL_RISK
    wait: float = 0.0
    heard_at: float = float('-inf')
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
        self._cold_until: dict[str, float] = {}
        self._heard: dict[str, Heard] = {}

    def take_targets(self, targets: Iterable[Target]) -> None:
        """Choose among these targets from now on.

        :param targets: all that are listed.
        """
        now = self._clock.now()
        by_service: dict[str, list[Target]] = {}
        for target in targets:
            by_service.setdefault(target.service, []).append(target)
            if target.name not in self._heard:
                self._heard[target.name] = Heard()
                self._cold_until[target.name] = now + target.warmup
        self._by_service = by_service
        names = {one.name for group in by_service.values() for one in group}
        for name in self._heard.keys() - names:
            del self._heard[name]
            del self._cold_until[name]

    def targets(self, service: str) -> list[Target]:
        """Return the targets of a service that take work."""
        return [
            one for one in self._by_service.get(service, ()) if not one.draining
        ]

    def order(
        self,
        service: str,
        without: Collection[str],
        *,
        careful: bool,
    ) -> list[Target]:
        """Return targets, the best first.

        :param service: name of the service.
        :param without: names of targets that are no choice.
        :param careful: whether a failure cannot be made good.
        """
        now = self._clock.now()
        costs = {
            one.name: self._cost(one, now, careful=careful)
            for one in self.targets(service)
            if one.name not in without
        }
        return sorted(
            (one for one in self.targets(service) if one.name in costs),
            key=lambda one: costs[one.name],
        )

    def has_room(self, service: str, without: Collection[str]) -> bool:
        """Whether a target is believed to take one more request at once.

        :param service: name of the service.
        :param without: names of targets that are no choice.
        """
        now = self._clock.now()
        return any(
            self._load(one, now) < CROWDED_LOAD
            and now >= self._heard_of(one).avoid_until
            for one in self.targets(service)
            if one.name not in without
        )

    def shortest_queue(self, targets: Sequence[Target]) -> Target:
        """Return the target whose queue was the shortest when last heard of.

        :param targets: the choice.
        """
        return min(targets, key=lambda one: self._heard_of(one).wait)

    def least_risk(self, targets: Sequence[Target]) -> Target:
        """Return the target that was the least suspect when last heard of.

        :param targets: the choice.
        """
        return min(targets, key=lambda one: self._heard_of(one).risk)

    def start(self, name: str) -> None:
        """Count an attempt at a target."""
        heard = self._heard.get(name)
        if heard is not None:
            heard.in_flight += 1

    def end(self, name: str, outcome: Outcome | None) -> None:
        """Take in what an attempt showed of its target.

        :param name: the target.
        :param outcome: None if the attempt was given up.
        """
        heard = self._heard.get(name)
        if heard is None:
            return
        heard.in_flight = max(0, heard.in_flight - 1)
        if outcome is None:
            return
        now = self._clock.now()
        if outcome.state is not None:
            self._hear(heard, outcome.state, now)
        if outcome.reason is not None:
            pause = AVOID_SECONDS.get(outcome.reason, 0)
            heard.avoid_until = max(heard.avoid_until, now + pause)

    def _heard_of(self, target: Target) -> Heard:
        return self._heard.get(target.name) or Heard()

    def _hear(self, heard: Heard, state: State, now: float) -> None:
        busy = state.running + state.waiting
        heard.load = busy / max(1, state.slots)
        heard.risk = state.risk
        heard.wait = state.wait
        heard.heard_at = now

    def _load(self, target: Target, now: float) -> float:
        """Return the load that a target is believed to have now."""
        heard = self._heard_of(target)
        load = USUAL_LOAD + (heard.load - USUAL_LOAD) * _trust(heard, now)
        return max(load, heard.in_flight / max(1, target.slots))

    def _cost(self, target: Target, now: float, *, careful: bool) -> float:
        heard = self._heard[target.name]
        cost = self._load(target, now)
        cost += CROWD_COST * max(0, cost - CROWDED_LOAD)
        cost += JITTER_COST * self._rng.random()
        if target.zone != self._zone:
            cost += OTHER_ZONE_COST
        elif target.host != self._host:
            cost += OTHER_HOST_COST
        if careful:
            trust = _trust(heard, now)
            risk = USUAL_RISK + (heard.risk - USUAL_RISK) * trust
            cost += RISK_COST * risk
        if now < self._cold_until[target.name]:
            cost += COLD_COST
        if now < heard.avoid_until:
            cost += AVOIDED_COST
        return cost


def _trust(heard: Heard, now: float) -> float:
    trust: float = 0.5 ** ((now - heard.heard_at) / HALF_LIFE_SECONDS)
    return trust

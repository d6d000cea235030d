"""What an entry expects of a service's targets, by availability zone."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from clementinedeal._timers import Clock
from clementinedeal.mesh._target_observation import (
    DEFAULT_RISK,
    TargetObservation,
)

# The means learned of a zone lose half their weight in this time.
MEAN_HALF_LIFE_SECONDS = 2.0
# Weight of the newest condition in the means of a zone.
NEWEST_CONDITION_WEIGHT = 0.3
# Risk expected of a target while nothing is known of its zone. It is that of a
# target that is well: the owner is asked before a request leaves.
EXPECTED_RISK = 0.08


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneView:
    """What to expect of the best target, inside the zone or outside it.

    ``wait`` is the expected time until it has a free slot, in seconds, infinite
    if no target can be used. ``risk`` is the probability that it is sick.
    """

    wait: float
    risk: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RiskScale:
    """Times in seconds to weigh waits and risks of a request's targets by.

    ``work_seconds`` is the mean time that it takes, ``risk_seconds`` the wait
    that is as bad as a certain failure.
    """

    work_seconds: float
    risk_seconds: float


NO_TARGET = ZoneView(wait=math.inf, risk=1.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class _ZoneMeans:
    """Mean wait in seconds and mean risk of targets, at ``updated_at``."""

    wait: float = 0.0
    risk: float = EXPECTED_RISK
    updated_at: float = 0.0

    def decay(self, now: float) -> '_ZoneMeans':
        """Return the means on the way back to what is expected of any zone.

        :param now: monotonic time in seconds.
        """
        age = now - self.updated_at
        weight: float = 0.5 ** (age / MEAN_HALF_LIFE_SECONDS)
        return _ZoneMeans(
            wait=weight * self.wait,
            risk=EXPECTED_RISK + weight * (self.risk - EXPECTED_RISK),
            updated_at=now,
        )

    def add(self, wait: float, risk: float) -> '_ZoneMeans':
        """Return the means with one more condition.

        :param wait: the target's expected wait in seconds.
        :param risk: its risk.
        """
        return replace(
            self,
            wait=self.wait + NEWEST_CONDITION_WEIGHT * (wait - self.wait),
            risk=self.risk + NEWEST_CONDITION_WEIGHT * (risk - self.risk),
        )


class ZoneViews:
    """Means of a service's targets, learned inside and outside the zone.

    A target that was not observed lately is expected to be like those that
    were: if one target of a zone is full, the others probably are.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an object that knows of no targets.

        :param clock: monotonic time.
        """
        self._clock = clock
        self._means: dict[tuple[str, bool], _ZoneMeans] = {}

    def record(
        self,
        service: str,
        observation: TargetObservation,
        work_seconds: float,
        *,
        is_inside: bool,
    ) -> None:
        """Record the condition of one target.

        :param service: the target's service.
        :param observation: its condition, observed just now.
        :param work_seconds: mean time that a request to the service takes.
        :param is_inside: whether it is in the entry's zone.
        """
        now = self._clock.now()
        wait = observation.estimate_wait(now, 0, work_seconds)
        means = self._find_means(service, is_inside=is_inside)
        self._means[service, is_inside] = means.add(wait, observation.risk)

    def view(
        self,
        service: str,
        observations: Iterable[TargetObservation],
        scale: RiskScale,
        *,
        is_inside: bool,
    ) -> ZoneView:
        """Return what to expect of the best of some targets.

        :param service: their service.
        :param observations: what is known of them.
        :param scale: weighs waits and risks.
        :param is_inside: whether they are in the entry's zone.
        """
        now = self._clock.now()
        means = self._find_means(service, is_inside=is_inside)
        # the owners of the own zone have been asked before
        risk = DEFAULT_RISK if is_inside else means.risk
        views = [
            ZoneView(
                wait=one.estimate_wait(now, means.wait, scale.work_seconds),
                risk=one.estimate_risk(now, risk),
            )
            for one in observations
            if not one.is_avoided(now)
        ]
        return min(
            views,
            key=lambda view: view.wait + scale.risk_seconds * view.risk,
            default=NO_TARGET,
        )

    def _find_means(self, service: str, *, is_inside: bool) -> _ZoneMeans:
        means = self._means.get((service, is_inside), _ZoneMeans())
        return means.decay(self._clock.now())

"""What an entry expects of a service's targets, by availability zone."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from clementinedeal._timers import Clock
from clementinedeal.mesh._outcomes import TargetCondition
from clementinedeal.mesh._target_observation import TargetObservation

# The mean wait learned of a zone loses half its weight in this time.
WAIT_HALF_LIFE_SECONDS = 2.0
# Weight of the newest condition in the mean wait of a zone.
NEWEST_WAIT_WEIGHT = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneView:
    """What to expect of a service's targets, inside the zone or outside it.

    ``wait`` is the expected time until the best target has a free slot, in
    seconds, infinite if no target can be used. ``risk`` is the lowest
    probability that a target is sick.
    """

    wait: float
    risk: float


class ZoneWaits:
    """Mean wait at a service's targets, learned inside and outside the zone.

    A target that was not observed lately is expected to make requests wait as
    long as those that were: if one target of a zone is full, the others
    probably are.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an object that expects no waits.

        :param clock: monotonic time.
        """
        self._clock = clock
        self._means: dict[tuple[str, bool], float] = {}
        self._updated_at: dict[tuple[str, bool], float] = {}

    def record(
        self, service: str, state: TargetCondition, *, is_inside: bool
    ) -> None:
        """Record the condition of one target.

        :param service: the target's service.
        :param state: its condition.
        :param is_inside: whether it is in the entry's zone.
        """
        key = service, is_inside
        mean = self._mean(key)
        is_full = state.running + state.waiting >= state.slots
        wait = state.wait if is_full else 0.0
        self._means[key] = mean + NEWEST_WAIT_WEIGHT * (wait - mean)
        self._updated_at[key] = self._clock.now()

    def view(
        self,
        service: str,
        observations: Iterable[TargetObservation],
        *,
        is_inside: bool,
    ) -> ZoneView:
        """Return what to expect of some targets.

        :param service: their service.
        :param observations: what is known of them.
        :param is_inside: whether they are in the entry's zone.
        """
        now = self._clock.now()
        mean = self._mean((service, is_inside))
        usable = [one for one in observations if not one.is_avoided(now)]
        return ZoneView(
            wait=min(
                (one.estimate_wait(now, mean) for one in usable),
                default=math.inf,
            ),
            risk=min((one.estimate_risk(now) for one in usable), default=1.0),
        )

    def _mean(self, key: tuple[str, bool]) -> float:
        age = self._clock.now() - self._updated_at.get(key, 0.0)
        weight: float = 0.5 ** (age / WAIT_HALF_LIFE_SECONDS)
        return weight * self._means.get(key, 0.0)

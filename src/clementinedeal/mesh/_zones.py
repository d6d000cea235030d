"""What one entry knows of the targets, by availability zone."""

from collections.abc import Collection, Iterable, Mapping

from clementinedeal._timers import Clock
from clementinedeal.mesh._outcomes import MeshOutcome
from clementinedeal.mesh._target_observation import TargetObservation
from clementinedeal.mesh._types import Target
from clementinedeal.mesh._zone_spill import SpillRequest, ZoneSpill
from clementinedeal.mesh._zone_view import RiskScale, ZoneView, ZoneViews


class Zones:
    """What is known of the targets, by availability zone.

    ``has_several`` is set if targets are listed in more than one.
    """

    def __init__(
        self,
        zone: str,
        clock: Clock,
        spill: ZoneSpill,
        observations: Mapping[str, TargetObservation],
    ) -> None:
        """Create an object that knows of no targets.

        :param zone: the entry's zone.
        :param clock: monotonic time.
        :param spill: decides which requests leave the zone.
        :param observations: what the entry knows of targets, by their names.
        """
        self._zone = zone
        self._clock = clock
        self._observations = observations
        self._targets: dict[str, Target] = {}
        # listed ones and others that are still observed
        self._known: dict[str, Target] = {}
        self._views = ZoneViews(clock)
        self.spill = spill
        self.has_several = False

    def set_targets(self, targets: Collection[Target]) -> None:
        """Replace the listed targets.

        :param targets: all of them.
        """
        self._targets = {one.name: one for one in targets}
        self._known |= self._targets
        unlisted = self._known.keys() - self._targets.keys()
        for name in unlisted - self._observations.keys():
            del self._known[name]
        self.has_several = len({one.zone for one in targets}) > 1
        self.spill.set_targets(self._zone, targets)

    def keep_own(self, targets: Iterable[Target]) -> list[Target]:
        """Return those of some targets that are in the own zone, in order.

        :param targets: the targets.
        """
        return [one for one in targets if one.zone == self._zone]

    def keep_others(self, targets: Iterable[Target]) -> list[Target]:
        """Return those of some targets that are in other zones, in order.

        :param targets: the targets.
        """
        return [one for one in targets if one.zone != self._zone]

    def keep_usable(self, targets: Iterable[Target]) -> list[Target]:
        """Return those of some targets that are not avoided, in order.

        :param targets: the targets.
        """
        now = self._clock.now()
        return [
            one
            for one in targets
            if not self._observations[one.name].is_avoided(now)
        ]

    def is_outside(self, name: str) -> bool:
        """Whether a target is in another zone.

        :param name: its name.
        """
        target = self._known.get(name)
        return target is not None and target.zone != self._zone

    def listed(self, service: str) -> list[Target]:
        """Return the listed targets of a service, available or not.

        :param service: its name.
        """
        return [one for one in self._targets.values() if one.service == service]

    def observation(self, target: Target) -> TargetObservation:
        """Return what is known of a listed target.

        :param target: the target.
        """
        return self._observations[target.name]

    def is_full(self, target: Target) -> bool:
        """Whether a target was observed just now without a free slot.

        :param target: the target.
        """
        observation = self._observations[target.name]
        return observation.load >= 1 and (
            observation.is_known(self._clock.now())
        )

    def on_condition(self, name: str) -> None:
        """Learn from the condition of a target, observed just now.

        :param name: the target's name.
        """
        service = self._known[name].service
        self._views.record(
            service,
            self._observations[name],
            self.spill.work_seconds(service),
            is_inside=not self.is_outside(name),
        )

    def on_attempt_started(self, name: str) -> None:
        """Count an attempt that this entry sends.

        :param name: name of its target.
        """
        self.spill.on_attempt_started(
            self._known[name].service, is_inside=not self.is_outside(name)
        )

    def on_attempt_ended(self, name: str, outcome: MeshOutcome | None) -> None:
        """Learn from the end of an attempt.

        :param name: name of its target.
        :param outcome: None if the attempt was abandoned.
        """
        service = self._known[name].service
        self.spill.on_attempt_ended(service)
        if outcome is not None and self.is_outside(name):
            self.spill.on_crossing(service, was_taken=outcome.reached)

    def on_round_trip(self, name: str, seconds: float) -> None:
        """Learn how long a message to a target's owner and its reply took.

        :param name: the target's name.
        :param seconds: the time of the exchange.
        """
        if self.is_outside(name):
            self.spill.on_round_trip(seconds)

    def view(
        self,
        request: SpillRequest,
        targets: Iterable[Target],
        *,
        is_inside: bool,
    ) -> ZoneView:
        """Return what to expect of some targets of one service.

        :param request: the request that may go there.
        :param targets: the targets, all in the own zone or none.
        :param is_inside: whether they are in the own zone.
        """
        observations = [self._observations[one.name] for one in targets]
        return self._views.view(
            request.service,
            observations,
            RiskScale(
                work_seconds=self.spill.work_seconds(request.service),
                risk_seconds=request.risk_seconds,
            ),
            is_inside=is_inside,
        )

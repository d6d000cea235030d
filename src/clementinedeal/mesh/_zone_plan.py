"""The availability zones as one entry, and one of its requests, sees them."""

from collections.abc import Collection, Iterable, Mapping

from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason
from clementinedeal.mesh._outcomes import MeshOutcome
from clementinedeal.mesh._target_observation import TargetObservation
from clementinedeal.mesh._types import RouteRule, Target
from clementinedeal.mesh._zone_spill import (
    LEAVING,
    SpillRequest,
    ZoneReason,
    ZoneSpill,
)
from clementinedeal.mesh._zone_view import RiskScale, ZoneView, ZoneViews

# Refusals of targets that may accept the request later.
FULL_REASONS = frozenset((Reason.QUEUE_FULL, Reason.TARGET_LIMITED))


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
        self._views = ZoneViews(clock)
        self.spill = spill
        self.has_several = False

    def set_targets(self, targets: Collection[Target]) -> None:
        """Replace the listed targets.

        :param targets: all of them.
        """
        self._targets = {one.name: one for one in targets}
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
        target = self._targets.get(name)
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
        """Learn from the condition of a listed target, observed just now.

        :param name: the target's name.
        """
        service = self._targets[name].service
        self._views.record(
            service,
            self._observations[name],
            self.spill.work_seconds(service),
            is_inside=not self.is_outside(name),
        )

    def on_attempt_started(self, name: str) -> None:
        """Count an attempt that this entry sends.

        :param name: name of its listed target.
        """
        self.spill.on_attempt_started(
            self._targets[name].service, is_inside=not self.is_outside(name)
        )

    def on_attempt_ended(self, name: str, outcome: MeshOutcome | None) -> None:
        """Learn from the end of an attempt.

        :param name: name of its listed target.
        :param outcome: None if the attempt was abandoned.
        """
        service = self._targets[name].service
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


class ZonePlan:
    """The part of one request's plan that is about zones.

    ``others`` are the usable targets of other zones at the last choice.
    """

    def __init__(
        self,
        route: RouteRule,
        service: str,
        deadline: float,
        zones: Zones,
    ) -> None:
        """Create the plan of a request that has not been sent.

        :param route: the rule that the request matched.
        :param service: the service that it goes to.
        :param deadline: when the answer is due, monotonic seconds.
        :param zones: what is known of the zones.
        """
        self._route = route
        self._service = service
        self._deadline = deadline
        self._zones = zones
        self._draw = zones.spill.draw()
        self._refusals = 0
        self.others: list[Target] = []

    @property
    def risk_seconds(self) -> float:
        """The wait that is as bad as a failure, 0 in a fleet of one zone."""
        if not self._zones.has_several:
            return 0
        request = self._build_request(avoid_risk=not self._route.idempotent)
        return request.risk_seconds

    def on_refused(self, target: str) -> None:
        """Count a refusal.

        :param target: name of the target.
        """
        self._refusals += self._zones.is_outside(target)

    def choose(self, ranked: list[Target], *, avoid_risk: bool) -> list[Target]:
        """Return the targets to try: the own zone's, or any.

        :param ranked: the candidates, the best first.
        :param avoid_risk: whether there is no retry after a failure.
        """
        others = self._zones.keep_others(ranked)
        self.others = self._zones.keep_usable(others)
        if not others:
            return ranked
        return self.select(ranked, self.judge(ranked, avoid_risk=avoid_risk))

    def select(self, ranked: list[Target], reason: ZoneReason) -> list[Target]:
        """Return the targets to try: the own zone's, or any.

        :param ranked: the candidates, the best first.
        :param reason: why the request would leave its zone, or stay.
        """
        inside = self._zones.keep_own(ranked)
        if not inside:
            return ranked
        if reason not in LEAVING:
            return inside
        others = self._zones.keep_others(ranked)
        usable = inside + self._zones.keep_usable(others)
        return [one for one in ranked if one in usable]

    def judge(self, ranked: list[Target], *, avoid_risk: bool) -> ZoneReason:
        """Return why the request would leave its zone, or stay.

        :param ranked: the candidates, the best first.
        :param avoid_risk: whether there is no retry after a failure.
        """
        zones = self._zones
        request = self._build_request(avoid_risk=avoid_risk)
        others = zones.keep_others(ranked)
        return zones.spill.judge(
            request,
            zones.view(request, zones.keep_own(ranked), is_inside=True),
            zones.view(request, others, is_inside=False),
        )

    def choose_takeover(self, ranked: list[Target]) -> list[Target]:
        """Return the targets that may take over from an overdue attempt.

        :param ranked: the candidates, the best first.
        """
        outside = self._zones.keep_others(ranked)
        if not outside:
            return ranked
        if self._expects_room(outside):
            return ranked
        return self._zones.keep_own(ranked)

    def _expects_room(self, outside: list[Target]) -> bool:
        """Whether some targets of other zones are expected to have a slot.

        :param outside: the targets.
        """
        request = self._build_request(avoid_risk=True)
        view = self._zones.view(request, outside, is_inside=False)
        return self._zones.spill.expects_room(request, view)

    def find_untried(
        self, targets: list[Target], *, has_suspect: bool
    ) -> list[Target]:
        """Return targets that may accept the request at once.

        Refusals cost time, and bytes between zones. So targets that are known
        to be full are left out. Once a suspect one has refused the request, so
        are avoided ones, if there are other zones or full targets to turn to.

        :param targets: targets that have not refused the request.
        :param has_suspect: whether a suspect one has.
        """
        full = self.find_full(targets)
        untried = [one for one in targets if one not in full]
        if not (has_suspect and (full or self.others)):
            return untried
        return self._zones.keep_usable(untried)

    def find_escapes(self, refused: Collection[str]) -> list[Target]:
        """Return targets of other zones to try before a suspect one.

        A suspect target probably fails, which costs more than the bytes.

        :param refused: names of targets that have refused the request.
        """
        if not self._expects_room(self.others):
            return []
        return [
            one
            for one in self.find_untried(self.others, has_suspect=False)
            if one.name not in refused
        ]

    def find_queues(
        self,
        targets: Iterable[Target],
        refusals: Mapping[str, Reason],
        queued: Collection[str],
    ) -> list[Target]:
        """Return the full targets at which the request has not queued yet.

        :param targets: the targets to choose from.
        :param refusals: why targets have refused the request, by their names.
        :param queued: names of those at which it has queued.
        """
        fresh = [one for one in targets if one.name not in queued]
        refused = [
            one for one in fresh if refusals.get(one.name) in FULL_REASONS
        ]
        untried = [one for one in fresh if one.name not in refusals]
        return refused + self.find_full(untried)

    def find_full(self, targets: Iterable[Target]) -> list[Target]:
        """Return the targets that are known to be full.

        :param targets: the targets; none if all listed are in one zone.
        """
        if not self._zones.has_several:
            return []
        return [one for one in targets if self._zones.is_full(one)]

    def _build_request(self, *, avoid_risk: bool) -> SpillRequest:
        route = self._route
        return SpillRequest(
            service=self._service,
            objective=route.objective,
            due_at=self._deadline - max(0, route.timeout - route.objective),
            deadline=self._deadline,
            avoid_risk=avoid_risk,
            draw=self._draw,
            refusals=self._refusals,
        )

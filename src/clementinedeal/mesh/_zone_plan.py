"""The part of one request's plan that is about availability zones."""

from collections.abc import Collection, Iterable, Mapping

from clementinedeal._verdict import Reason
from clementinedeal.mesh._types import RouteRule, Target
from clementinedeal.mesh._zone_spill import LEAVING, SpillRequest, ZoneReason
from clementinedeal.mesh._zones import Zones

# Refusals of targets that may accept the request later.
FULL_REASONS = frozenset((Reason.QUEUE_FULL, Reason.TARGET_LIMITED))


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

"""In which availability zones a request may run.

Operators evacuate zones, and bind routes and client accounts to regions. A
request may then neither run elsewhere nor may its body be sent there; bodies
only go to the instances of targets.
"""

from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass

from clementinedeal._verdict import Reason
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._evacuations import EvacuationTracker
from clementinedeal.mesh._types import ClientAccount, RouteRule, Target


@dataclass(frozen=True, slots=True, kw_only=True)
class AllowedZones:
    """The zones in which one request may run at present.

    ``evacuated`` ones are not allowed; ``homes`` are those in its regions, None
    if it is not bound to regions.
    """

    evacuated: frozenset[str] = frozenset()
    homes: frozenset[str] | None = None

    def allow(self, target: Target) -> bool:
        """Whether the request may go to a target.

        :param target: the target.
        """
        if target.zone in self.evacuated:
            return False
        return self.homes is None or target.zone in self.homes

    def find_refusal(self, targets: Collection[Target]) -> Reason | None:
        """Return why the request may go to none of some targets.

        :param targets: the targets of its service that accept requests.
        :return: None if it may go to some, or if there are none.
        """
        if not targets or any(map(self.allow, targets)):
            return None
        in_homes = self.homes is None or any(
            one.zone in self.homes for one in targets
        )
        return Reason.ZONE_EVACUATED if in_homes else Reason.NO_HOME


EVERY_ZONE = AllowedZones()


class ZoneRules:
    """Finds the zones in which requests may run."""

    def __init__(
        self,
        evacuations: EvacuationTracker,
        zone_regions: Callable[[], Mapping[str, str] | None],
        catalog: Callable[[], Catalog | None],
    ) -> None:
        """Create rules.

        :param evacuations: the evacuated zones.
        :param zone_regions: returns the region of each zone, None if requests
            are not bound to regions.
        :param catalog: returns the declaration in force.
        """
        self._evacuations = evacuations
        self._zone_regions = zone_regions
        self._catalog = catalog

    def find_allowed(
        self, route: RouteRule, account: ClientAccount | None
    ) -> AllowedZones:
        """Return the zones in which a request may run.

        It is bound by the declaration under which it was accepted and by the
        one in force. A zone whose region is unknown is in no region.

        :param route: the route on which it was accepted.
        :param account: its client account, None if it has none.
        """
        bounds = [
            rule.allowed_regions
            for rule in self._find_rules(route, account)
            if rule.allowed_regions
        ]
        zone_regions = self._zone_regions()
        homes = None
        if bounds and zone_regions is not None:
            regions = frozenset.intersection(*bounds)
            homes = frozenset(
                zone
                for zone, region in zone_regions.items()
                if region in regions
            )
        return AllowedZones(evacuated=self._evacuations.zones, homes=homes)

    def _find_rules(
        self, route: RouteRule, account: ClientAccount | None
    ) -> Iterator[RouteRule | ClientAccount]:
        yield route
        if account is not None:
            yield account
        catalog = self._catalog()
        if catalog is None:
            return
        route_in_force = catalog.routes_by_name.get(route.name)
        if route_in_force is not None:
            yield route_in_force
        if account is not None and account.name in catalog.accounts_by_name:
            yield catalog.accounts_by_name[account.name]

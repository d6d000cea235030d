"""Explains where a request would go now, without sending it."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

import msgspec

from clementinedeal.mesh._allowed_zones import AllowedZones, ZoneRules
from clementinedeal.mesh._balancer import Balancer
from clementinedeal.mesh._types import ClientAccount, RouteRule, Target
from clementinedeal.mesh._zone_plan import ZonePlan

if TYPE_CHECKING:
    from clementinedeal._timers import Clock
    from clementinedeal.mesh._admission import ActiveDeclaration

EXPLAIN_PATH = '/explain'


class CandidateReport(msgspec.Struct, frozen=True, kw_only=True):
    """A target as the entry knows it.

    ``load`` is the fraction of slots in use, ``risk`` the probability that it
    is sick, ``wait`` the expected wait in seconds. ``age`` is how many seconds
    ago it was observed, None if never. ``excluded`` says why the request would
    not go there, empty if it might.
    """

    target: str
    zone: str
    load: float
    risk: float
    wait: float
    age: float | None
    excluded: str


class ServiceReport(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request to one service would go.

    ``weight`` is the service's weight in the route. ``zone_reason`` says why
    the request would leave or stay in its zone, ``zone_share`` which share of
    the service's requests may leave. ``first`` is the target that would be
    tried or queued at first, empty if there is none; the candidates follow in
    the order in which they would be tried, the excluded ones last.
    """

    service: str
    weight: float
    zone_reason: str
    zone_share: float
    first: str
    candidates: tuple[CandidateReport, ...]


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request would go, and why.

    ``refusal`` is the reason for which the entry would refuse it, empty if it
    would not. ``account`` is the name of a known account, empty without one.
    ``version`` is the version of the declaration in force, 0 if there is none.
    """

    version: int
    route: str = ''
    account: str = ''
    refusal: str = ''
    services: tuple[ServiceReport, ...] = ()


class Explainer:
    """Builds explanations; it counts nothing and sends nothing."""

    def __init__(
        self,
        active_declaration: 'ActiveDeclaration',
        balancer: Balancer,
        zone_rules: ZoneRules,
        clock: 'Clock',
    ) -> None:
        """Create an explainer.

        :param active_declaration: the routes and accounts in force.
        :param balancer: what this entry knows of targets.
        :param zone_rules: in which zones requests may run.
        :param clock: monotonic time.
        """
        self._active_declaration = active_declaration
        self._balancer = balancer
        self._zone_rules = zone_rules
        self._clock = clock

    def explain(self, host: str, path: str, account: str) -> Explanation:
        """Explain where a request would go.

        :param host: the host that it names.
        :param path: its path.
        :param account: name of its client account, empty for none.
        """
        version = self._active_declaration.version
        catalog = self._active_declaration.catalog
        if catalog is None or self._active_declaration.is_outdated():
            return Explanation(version=version, refusal='config-stale')
        route = catalog.find_route(host, path)
        if route is None:
            is_behind = self._active_declaration.is_behind()
            refusal = 'config-stale' if is_behind else 'no-route'
            return Explanation(version=version, refusal=refusal)
        found = catalog.accounts_by_name.get(account)
        allowed = self._zone_rules.find_allowed(route, found)
        needs_account = bool(catalog.accounts_by_name) and not route.public
        return Explanation(
            version=version,
            route=route.name,
            account=found.name if found else '',
            refusal=self._find_refusal(
                account, found, needs_account=needs_account
            ),
            services=tuple(
                self._explain_service(route, one.service, one.weight, allowed)
                for one in route.weighted_services
            ),
        )

    def _find_refusal(
        self, name: str, account: ClientAccount | None, *, needs_account: bool
    ) -> str:
        if not needs_account:
            return ''
        if account is None:
            if self._active_declaration.is_behind():
                return 'config-stale'
            return 'key-unknown' if name else 'key-missing'
        is_fresh = self._active_declaration.is_fresh()
        return '' if is_fresh else 'config-stale'

    def _explain_service(
        self,
        route: RouteRule,
        service: str,
        weight: float,
        allowed: AllowedZones,
    ) -> ServiceReport:
        balancer = self._balancer
        zones = balancer.zones
        deadline = self._clock.now() + route.timeout
        avoid_risk = not route.idempotent
        ranked = balancer.rank_targets(
            balancer.choose_candidates(service, allowed),
            (),
            avoid_risk=avoid_risk,
        )
        plan = ZonePlan(route, service, deadline, zones)
        reason = plan.judge(ranked, avoid_risk=avoid_risk)
        chosen = plan.select(ranked, reason)
        return ServiceReport(
            service=service,
            weight=weight,
            zone_reason=reason.value,
            zone_share=zones.spill.shares().get(service, 0.0),
            first=self._find_first(plan, chosen),
            candidates=tuple(
                self._report(service, allowed, ranked, chosen),
            ),
        )

    def _find_first(self, plan: ZonePlan, chosen: list[Target]) -> str:
        untried = plan.find_untried(chosen, has_suspect=False)
        if untried:
            return untried[0].name
        if not chosen:
            return ''
        return self._balancer.find_shortest_queue(
            chosen, plan.risk_seconds
        ).name

    def _report(
        self,
        service: str,
        allowed: AllowedZones,
        ranked: list[Target],
        chosen: list[Target],
    ) -> Iterable[CandidateReport]:
        """Yield reports, the targets that would be tried first."""
        others = [
            one
            for one in self._balancer.zones.listed(service)
            if one not in chosen
        ]
        available = self._balancer.available_targets(service)
        for target in chosen:
            yield self._describe(target, '')
        for target in others:
            if not allowed.allow(target):
                excluded = _name_refusal(allowed, target)
            elif target not in available:
                excluded = 'leaving' if target.draining else 'unavailable'
            else:
                excluded = 'other-zone' if target in ranked else 'not-sampled'
            yield self._describe(target, excluded)

    def _describe(self, target: Target, excluded: str) -> CandidateReport:
        now = self._clock.now()
        observation = self._balancer.zones.observation(target)
        age = now - observation.observed_at
        is_known = age < float('inf')
        if observation.is_leaving():
            excluded = 'leaving'
        elif now < observation.paused_until:
            excluded = 'limited'
        elif observation.is_avoided(now):
            excluded = 'avoided'
        work_seconds = self._balancer.zones.spill.work_seconds(target.service)
        return CandidateReport(
            target=target.name,
            zone=target.zone,
            load=round(observation.estimate_load(now), 3),
            risk=round(observation.estimate_risk(now), 3),
            wait=round(observation.estimate_wait(now, 0, work_seconds), 3),
            age=round(age, 3) if is_known else None,
            excluded=excluded,
        )


def _name_refusal(allowed: AllowedZones, target: Target) -> str:
    reason = allowed.find_refusal((target,))
    return reason.value if reason else ''


def render_explanation(explanation: Explanation) -> str:
    """Return an explanation as lines of ``key=value``.

    :param explanation: the explanation.
    """
    lines = [
        f'version={explanation.version} route={explanation.route or "-"} '
        f'account={explanation.account or "-"} '
        f'refusal={explanation.refusal or "-"}'
    ]
    for service in explanation.services:
        lines.append(
            f'service={service.service} weight={service.weight:g} '
            f'zone={service.zone_reason} share={service.zone_share:.3f} '
            f'first={service.first or "-"}'
        )
        lines.extend(_candidate_line(one) for one in service.candidates)
    return ''.join(f'{line}\n' for line in lines)


def _candidate_line(one: CandidateReport) -> str:
    age = 'never' if one.age is None else f'{one.age:.1f}'
    return (
        f'  target={one.target} zone={one.zone} load={one.load:.2f} '
        f'risk={one.risk:.2f} wait={one.wait:.2f} age={age} '
        f'excluded={one.excluded or "-"}'
    )

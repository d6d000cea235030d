"""Ranks the targets of a service for one request at its entry."""

import enum
import random
from dataclasses import dataclass, field

from clementinedeal._model import Config, Target
from clementinedeal._network_paths import NetworkPaths

# Random targets are added until a request has this number of candidates.
MAX_CANDIDATES = 5
# An ejection that is not reported again within this time has expired. The time
# must be longer than the lease of a permit to eject.
EJECTED_VALID_SECONDS = 6.0
# A load that is older than this counts as unknown.
LOAD_VALID_SECONDS = 5.0
UNKNOWN_LOAD = 0.5
# One running or waiting request per slot.
FULL_LOAD = 1.0
# If all targets of a service are on trial, this fraction of the idempotent
# requests is a trial; with fewer of them it is proportionally smaller.
TRIAL_FRACTION = 0.15


class Availability(enum.IntEnum):
    """Last known availability of a target, from best to worst.

    ``IN_USE``: takes requests. ``TRIAL``: ejected, but its owner tries it
    with a few idempotent requests. ``EJECTED``: its owner found it faulty.
    ``LEAVING``: it takes no new requests. ``LOST``: its owner is leaving or
    not alive.
    """

    IN_USE = 0
    TRIAL = 1
    EJECTED = 2
    LEAVING = 3
    LOST = 4


# These hold only as long as the owner keeps reporting them.
EXPIRING = frozenset((Availability.TRIAL, Availability.EJECTED))


@dataclass(frozen=True, slots=True)
class TargetView:
    """Last known availability and load of a target.

    :param availability: its availability.
    :param load: running and waiting requests per slot.
    :param heard_at: monotonic time in seconds at which it was reported.
    """

    availability: Availability
    load: float
    heard_at: float


@dataclass(slots=True)
class CandidatePool:
    """Targets of one service, grouped by how they may be used.

    :param target_count: number of all targets of the service, at least 1.
    :param valid_until: monotonic time in seconds at which an ejection
        expires and the groups must be built again.
    :param own_zone: targets in use in this availability zone.
    :param other_zones: targets in use in the other zones.
    :param on_trial: ejected targets that their owners try.
    :param last_resort: all targets that are not in use, the best first.
    :param by_owner: targets in use, by the name of the owning instance.
    """

    target_count: int
    valid_until: float = float('inf')
    own_zone: list[Target] = field(default_factory=list)
    other_zones: list[Target] = field(default_factory=list)
    on_trial: list[Target] = field(default_factory=list)
    last_resort: list[Target] = field(default_factory=list)
    by_owner: dict[str, list[Target]] = field(default_factory=dict)


class Router:
    """Ranks the targets of a service for one request.

    Targets whose owners hold tokens of the account come first, then those in
    the own availability zone, then the others. Within a zone the less loaded
    of two random targets is taken, which spreads load without herding.
    """

    def __init__(
        self,
        me: str,
        zone: str,
        cfg: Config,
        rng: random.Random,
    ) -> None:
        """Create a router without reports on targets.

        :param me: name of this instance; the path to itself costs nothing.
        :param zone: availability zone of this instance.
        :param cfg: the configuration in force.
        :param rng: source of random choices.
        """
        self._me = me
        self._zone = zone
        self._rng = rng
        self._views: dict[str, TargetView] = {}
        self.paths = NetworkPaths()
        self.on_config(cfg)

    def on_config(self, cfg: Config) -> None:
        """Use a new configuration and forget targets that it lacks.

        :param cfg: the new configuration.
        """
        self._cfg = cfg
        self._pools: dict[str, CandidatePool] = {}
        self._targets: dict[str, list[Target]] = {
            service: [] for service in cfg.services
        }
        for target in cfg.targets.values():
            self._targets.setdefault(target.service, []).append(target)
        self._views = {
            name: view
            for name, view in self._views.items()
            if name in cfg.targets
        }
        self.paths.retain({one.instance for one in cfg.targets.values()})

    def on_view(self, name: str, view: TargetView) -> None:
        """Store a report on a target unless a newer one is known.

        :param name: name of the target; an unknown one is ignored.
        :param view: its availability and load.
        """
        target = self._cfg.targets.get(name)
        previous = self._views.get(name)
        if target is None or (previous and previous.heard_at > view.heard_at):
            return
        self._views[name] = view
        is_unchanged = (
            previous is not None and previous.availability is view.availability
        )
        if not is_unchanged or view.availability in EXPIRING:
            self._pools.pop(target.service, None)

    def rank_targets(
        self,
        service: str,
        holders: tuple[str, ...],
        idempotent: bool,
        now: float,
    ) -> list[str]:
        """Return the names of the targets to try, the best first.

        Targets that are not in use are returned only if there is no other.
        Those whose owner was unreachable a moment ago are moved to the end.

        :param service: name of the service; an unknown one has no targets.
        :param holders: instances that hold tokens of the account.
        :param idempotent: whether the request may be used for a trial.
        :param now: current monotonic time in seconds.
        """
        pool = self._pool(service, now)
        chosen = self._pick_trial(pool) if idempotent else []
        chosen += self._holder_targets(pool, holders, now)
        for group in (pool.own_zone, pool.other_zones):
            self._add_random(group, chosen, now)
        if not chosen:
            chosen = pool.last_resort[:MAX_CANDIDATES]
        is_faulty = self.paths.is_faulty
        chosen.sort(key=lambda one: is_faulty(one.instance, now))
        return [one.name for one in chosen]

    def _pick_trial(self, pool: CandidatePool) -> list[Target]:
        """Return a target on trial for a small fraction of the requests."""
        if not pool.on_trial:
            return []
        probability = TRIAL_FRACTION * len(pool.on_trial) / pool.target_count
        if self._rng.random() >= probability:
            return []
        return [self._rng.choice(pool.on_trial)]

    def _holder_targets(
        self,
        pool: CandidatePool,
        holders: tuple[str, ...],
        now: float,
    ) -> list[Target]:
        found: list[tuple[float, str, Target]] = []
        for holder in holders:
            for target in pool.by_owner.get(holder, ()):
                load = self._effective_load(target, now)
                if load < FULL_LOAD:
                    found.append((load, target.name, target))
        found.sort()
        return [one[2] for one in found]

    def _add_random(
        self,
        group: list[Target],
        chosen: list[Target],
        now: float,
    ) -> None:
        """Add the less loaded of two random targets until there are enough."""
        if len(chosen) >= MAX_CANDIDATES:
            return
        taken = {one.name for one in chosen}
        rest = [one for one in group if one.name not in taken]
        while rest and len(chosen) < MAX_CANDIDATES:
            index = self._random_index(rest)
            other = self._random_index(rest)
            if self._effective_load(rest[other], now) < self._effective_load(
                rest[index], now
            ):
                index = other
            chosen.append(rest[index])
            rest[index] = rest[-1]
            rest.pop()

    def _random_index(self, rest: list[Target]) -> int:
        return int(self._rng.random() * len(rest))

    def _effective_load(self, target: Target, now: float) -> float:
        """Return the load of a target plus the cost of the path to it."""
        cost = 0.0
        if target.instance != self._me:
            cost = self.paths.load_equivalent(target.instance)
        view = self._views.get(target.name)
        if view is None or now - view.heard_at > LOAD_VALID_SECONDS:
            return cost + UNKNOWN_LOAD
        return cost + view.load

    def _pool(self, service: str, now: float) -> CandidatePool:
        pool = self._pools.get(service)
        if pool is None or now >= pool.valid_until:
            pool = self._build_pool(service, now)
            self._pools[service] = pool
        return pool

    def _build_pool(self, service: str, now: float) -> CandidatePool:
        targets = self._targets.get(service, [])
        pool = CandidatePool(max(len(targets), 1))
        ranked: list[tuple[Availability, str, Target]] = []
        for target in targets:
            availability = self._current_availability(target, now)
            if availability is Availability.IN_USE:
                self._zone_group(pool, target).append(target)
                owned = pool.by_owner.setdefault(target.instance, [])
                owned.append(target)
                continue
            ranked.append((availability, target.name, target))
            if availability in EXPIRING:
                heard_at = self._views[target.name].heard_at
                until = heard_at + EJECTED_VALID_SECONDS
                pool.valid_until = min(pool.valid_until, until)
            if availability is Availability.TRIAL:
                pool.on_trial.append(target)
        ranked.sort()
        pool.last_resort = [one[2] for one in ranked]
        return pool

    def _zone_group(self, pool: CandidatePool, target: Target) -> list[Target]:
        instance = self._cfg.instances.get(target.instance)
        is_own_zone = instance is not None and instance.zone == self._zone
        return pool.own_zone if is_own_zone else pool.other_zones

    def _current_availability(self, target: Target, now: float) -> Availability:
        """Return a target's availability; an expired ejection is in use."""
        view = self._views.get(target.name)
        if view is None:
            return Availability.IN_USE
        if view.availability not in EXPIRING:
            return view.availability
        expired = now - view.heard_at >= EJECTED_VALID_SECONDS
        return Availability.IN_USE if expired else view.availability

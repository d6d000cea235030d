"""The entry's choice of targets to try for a request."""

import enum
import random
from dataclasses import dataclass, field

from clementinedeal._model import Config, Target
from clementinedeal._network_paths import NetworkPaths

MAX_CANDIDATES = 5
# Longer than the lease of a permit to eject.
EJECTED_VALID_SECONDS = 6.0
LOAD_VALID_SECONDS = 5.0
UNKNOWN_LOAD = 0.5
FULL_LOAD = 1.0
TRIAL_FRACTION = 0.15


class Availability(enum.IntEnum):
    """What was heard of a target, the least bad first."""

    IN_USE = 0
    TRIAL = 1
    EJECTED = 2
    LEAVING = 3
    LOST = 4


EXPIRING = frozenset((Availability.TRIAL, Availability.EJECTED))


@dataclass(frozen=True, slots=True)
class TargetView:
    """State and load of a target, heard at a monotonic time in seconds.

    ``load`` is the share of its usable slots that are busy or queued for.
    """

    availability: Availability
    load: float
    heard_at: float


@dataclass(slots=True)
class CandidatePool:
    """Targets of one service by how they may be used."""

    target_count: int
    valid_until: float = float('inf')
    own_zone: list[Target] = field(default_factory=list)
    other_zones: list[Target] = field(default_factory=list)
    on_trial: list[Target] = field(default_factory=list)
    last_resort: list[Target] = field(default_factory=list)
    by_owner: dict[str, list[Target]] = field(default_factory=dict)


class Router:
    """Orders the targets of a service for one request."""

    def __init__(
        self,
        me: str,
        zone: str,
        cfg: Config,
        rng: random.Random,
    ) -> None:
        """Start without having heard of any target.

        :param me: name of this instance; nothing costs less than it.
        :param zone: its availability zone.
        :param cfg: the configuration in force.
        :param rng: source of the random choices.
        """
        self._me = me
        self._zone = zone
        self._rng = rng
        self._views: dict[str, TargetView] = {}
        self.paths = NetworkPaths()
        self.on_config(cfg)

    def on_config(self, cfg: Config) -> None:
        """Take a new configuration into force.

        :param cfg: the configuration.
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
        """Take in what was heard of a target; older views are ignored.

        :param name: name of the target; an unknown one is ignored.
        :param view: its state and load.
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

        :param service: name of the service.
        :param holders: instances that hold the account's tokens.
        :param idempotent: whether the request may serve as a trial.
        :param now: monotonic time in seconds.
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
        """Rarely take a target whose owner wants to try it."""
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
        """Add the less loaded of two random targets until there is enough."""
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
        """Take a target whose ejection was not renewed for one in use."""
        view = self._views.get(target.name)
        if view is None:
            return Availability.IN_USE
        if view.availability not in EXPIRING:
            return view.availability
        expired = now - view.heard_at >= EJECTED_VALID_SECONDS
        return Availability.IN_USE if expired else view.availability

"""What an entry knows of the configuration and the other daemons."""

import random
from collections.abc import Callable

from clementinedeal._access import Access, Granted
from clementinedeal._envelope import Outcome
from clementinedeal._model import Config
from clementinedeal._routing import Availability, Router, TargetView
from clementinedeal._timers import Clock
from clementinedeal._views import FleetView

# Interval at which lost and leaving instances are looked for.
REFRESH_SECONDS = 0.5
# By the state that an owner reports of a target; all others are in use.
_AVAILABILITIES = {
    'trial': Availability.TRIAL,
    'ejected': Availability.EJECTED,
    'leaving': Availability.LEAVING,
}


class EntryView:
    """Chooses targets for requests from what owners have reported.

    ``access`` is None until there is a configuration. ``holders`` returns the
    instances that hold tokens of an account.
    """

    def __init__(
        self,
        me: str,
        fleet: FleetView,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a view without a configuration.

        :param me: name of this instance.
        :param fleet: members of the fleet and freshness of the configuration.
        :param clock: monotonic clock, by which reports are dated.
        :param rng: source of random choices.
        """
        self.access: Access | None = None
        self.holders: Callable[[str], tuple[str, ...]] = _no_holders
        self._me = me
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._router: Router | None = None
        self._incarnations: dict[str, str] = {}
        self._absent: frozenset[str] = frozenset()

    def on_config(self, cfg: Config) -> None:
        """Use a new configuration.

        :param cfg: the configuration in force.
        """
        self.access = Access(cfg)
        if self._router is None:
            zone = cfg.instances[self._me].zone
            self._router = Router(self._me, zone, cfg, self._rng)
        else:
            self._router.on_config(cfg)
        self._absent = frozenset()

    def is_fresh(self) -> bool:
        """Return whether the configuration is known to be recent."""
        return self._fleet.is_fresh(self._clock.now())

    def candidates(self, granted: Granted) -> tuple[str, ...]:
        """Return the names of the targets to try, the best first.

        :param granted: route and account of the request.
        """
        if self._router is None:
            return ()
        account = granted.account
        route = granted.route
        return tuple(
            self._router.rank_targets(
                route.service,
                self.holders(account.name) if account else (),
                route.idempotent,
                self._clock.now(),
            ),
        )

    def incarnation(self, instance: str) -> str:
        """Return the last known incarnation of an instance; '' if unknown.

        :param instance: name of the instance.
        """
        learned = self._incarnations.get(instance)
        return learned or format_incarnation(self._fleet.incarnation(instance))

    def learn_incarnation(self, instance: str, incarnation: str) -> None:
        """Store the incarnation that an instance reported.

        :param instance: name of the instance.
        :param incarnation: its incarnation as text.
        """
        self._incarnations[instance] = incarnation

    def on_outcome(
        self,
        owner: str,
        target: str,
        outcome: Outcome,
        path_seconds: float,
    ) -> None:
        """Store what an owner reported of itself and a target.

        :param owner: instance that answered.
        :param target: target that the attempt was for.
        :param outcome: the owner's report.
        :param path_seconds: time that the attempt spent on the network, both
            directions, in seconds.
        """
        self._incarnations[owner] = outcome.incarnation
        if self._router is None:
            return
        self._router.paths.on_answer(owner, path_seconds)
        availability = _AVAILABILITIES.get(outcome.state, Availability.IN_USE)
        self._update_router(target, availability, outcome.load)

    def on_unreachable(self, owner: str) -> None:
        """Record that this daemon could not connect to an owner.

        :param owner: name of the owner's instance.
        """
        if self._router is not None:
            self._router.paths.on_connect_failure(owner, self._clock.now())

    def refresh(self, now: float) -> None:
        """Update the targets of instances that are lost or leaving.

        :param now: current monotonic time in seconds.
        """
        if self.access is None:
            return
        absent = frozenset(
            name
            for name in self.access.cfg.instances
            if self._fleet.is_leaving(name)
            or not self._fleet.is_alive(name, now)
        )
        changed = absent ^ self._absent
        self._absent = absent
        if changed:
            self._update_availability(changed)

    def _update_availability(self, changed: frozenset[str]) -> None:
        cfg = self.access.cfg if self.access else None
        for target in cfg.targets.values() if cfg else ():
            if target.instance in changed:
                is_gone = target.instance in self._absent
                availability = (
                    Availability.LOST if is_gone else Availability.IN_USE
                )
                self._update_router(target.name, availability, 0)

    def _update_router(
        self,
        target: str,
        availability: Availability,
        load: float,
    ) -> None:
        if self._router is not None:
            view = TargetView(availability, load, self._clock.now())
            self._router.on_view(target, view)


def _no_holders(_account: str) -> tuple[str, ...]:
    return ()


def format_incarnation(incarnation: int) -> str:
    """Return an incarnation as text; '' if unknown.

    :param incarnation: its number, 0 if unknown.
    """
    return f'{incarnation:012x}' if incarnation else ''

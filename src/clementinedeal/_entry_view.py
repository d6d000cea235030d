"""What an entry knows of the fleet, joined from its sources."""

import random
from dataclasses import dataclass

from clementinedeal._access import Access, Granted
from clementinedeal._envelope import Outcome
from clementinedeal._model import Config, Target
from clementinedeal._timers import Clock
from clementinedeal._views import FleetView

HEARD_SECONDS = 2.0
_OUT_STATES = frozenset(('ejected', 'leaving'))


@dataclass(frozen=True, slots=True)
class _Heard:
    at: float
    load: float
    state: str


class EntryView:
    """Chooses targets for requests and remembers what owners said."""

    def __init__(
        self,
        me: str,
        fleet: FleetView,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a view without a configuration.

        :param me: name of this instance.
        :param fleet: configuration, members and freshness.
        :param clock: ages what was heard.
        :param rng: breaks ties.
        """
        self.access: Access | None = None
        self._me = me
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._incarnations: dict[str, str] = {}
        self._heard: dict[str, _Heard] = {}
        self._by_service: dict[str, tuple[Target, ...]] = {}

    def take_config(self, cfg: Config) -> None:
        """Work by a configuration from now on.

        :param cfg: the configuration in force.
        """
        self.access = Access(cfg)
        by_service: dict[str, list[Target]] = {}
        for target in cfg.targets.values():
            by_service.setdefault(target.service, []).append(target)
        self._by_service = {
            service: tuple(targets) for service, targets in by_service.items()
        }

    def fresh(self) -> bool:
        """Whether the configuration is known to be recent."""
        return self._fleet.is_fresh(self._clock.now())

    def candidates(self, granted: Granted) -> tuple[str, ...]:
        """Return targets to try, best first.

        :param granted: route and account of the request.
        """
        targets = list(self._by_service.get(granted.route.service, ()))
        self._rng.shuffle(targets)
        now = self._clock.now()
        targets.sort(key=lambda target: self._badness(target, now))
        return tuple(target.name for target in targets)

    def incarnation(self, instance: str) -> str:
        """Return the last known incarnation of an instance, or ''."""
        learned = self._incarnations.get(instance)
        return learned or format_incarnation(self._fleet.incarnation(instance))

    def learn_incarnation(self, instance: str, incarnation: str) -> None:
        """Note what an instance said of itself."""
        self._incarnations[instance] = incarnation

    def on_outcome(self, owner: str, target: str, outcome: Outcome) -> None:
        """Note what an owner said of itself and its target."""
        self._incarnations[owner] = outcome.incarnation
        now = self._clock.now()
        self._heard[target] = _Heard(now, outcome.load, outcome.state)

    def attempt_ended(self, target: str, seconds: float, *, ok: bool) -> None:
        """Note how an attempt went as seen from here."""

    def _badness(self, target: Target, now: float) -> tuple[bool, bool, float]:
        heard = self._heard.get(target.name)
        out = False
        load = 0.0
        if heard is not None and now - heard.at < HEARD_SECONDS:
            out = heard.state in _OUT_STATES
            load = heard.load
        away = not self._fleet.is_alive(target.instance, now)
        away = away or self._fleet.is_leaving(target.instance)
        return out, away, load


def format_incarnation(incarnation: int) -> str:
    """Return an incarnation as text, '' if unknown.

    :param incarnation: number that the fleet view gives.
    """
    return f'{incarnation:012x}' if incarnation else ''

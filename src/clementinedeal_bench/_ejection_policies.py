"""Policies for ejecting faulty targets, compared by the detection bench.

``EjectionManagers`` runs the project's own ejection managers. The others are
simple rules to compare with.
"""

from collections import deque
from typing import Any, Protocol

from clementinedeal._detector import DetectorSettings
from clementinedeal._ejection import Action, EjectionManager
from clementinedeal._messages import Send
from clementinedeal._model import Config, Preset, PresetName, Service, Target
from clementinedeal._target_health import (
    FAILURE_KINDS,
    OutcomeKind,
    RequestOutcome,
)
from clementinedeal._target_state import TargetEjected

SERVICE_NAME = 'status'
EJECTION_SECONDS = 30.0  # of the simple rules
CONSECUTIVE_FAILURES_TO_EJECT = 5
AVERAGED_LATENCIES = 10  # latencies in the mean of FixedLatency
MAX_MEAN_LATENCY_SECONDS = 0.06


class Policy(Protocol):
    """Decides which targets are ejected, from the outcomes of requests.

    ``ejections`` lists the names of targets in the order of their ejection;
    the bench clears it after reading.
    """

    ejections: list[str]

    def on_outcome(
        self, target: str, outcome: RequestOutcome, now: float
    ) -> None:
        """Process the end of one request.

        :param target: name of the target.
        :param outcome: how the request ended.
        :param now: virtual time in seconds.
        """
        ...

    def on_tick(
        self, in_flight_starts: dict[str, list[float]], now: float
    ) -> None:
        """Process a step of time.

        :param in_flight_starts: virtual times in seconds at which the requests
            in flight began, by target name.
        :param now: virtual time in seconds.
        """
        ...

    def usable_fraction(self, target: str, now: float) -> float:
        """Return the fraction of its requests that a target may get, 0 to 1.

        :param target: name of the target.
        :param now: virtual time in seconds.
        """
        ...


class NoPolicy:
    """Ejects nothing."""

    def __init__(self) -> None:
        """Start with every target in use."""
        self.ejections: list[str] = []

    def on_outcome(
        self, target: str, outcome: RequestOutcome, now: float
    ) -> None:
        """Do nothing."""

    def on_tick(
        self, in_flight_starts: dict[str, list[float]], now: float
    ) -> None:
        """Do nothing."""

    def usable_fraction(self, target: str, now: float) -> float:
        """Return 1 for every target."""
        return 1.0


class _TimedEjection(NoPolicy):
    """Ejects for a fixed time, up to a number of targets at once."""

    def __init__(self, max_ejected: int) -> None:
        super().__init__()
        self._max_ejected = max_ejected
        self._ejected_until: dict[str, float] = {}

    def usable_fraction(self, target: str, now: float) -> float:
        """Return 0 while the target is ejected, else 1."""
        return 0.0 if self._ejected_until.get(target, 0) > now else 1.0

    def _eject(self, target: str, now: float) -> None:
        ejected_count = sum(
            until > now for until in self._ejected_until.values()
        )
        if (
            self.usable_fraction(target, now)
            and ejected_count < self._max_ejected
        ):
            self._ejected_until[target] = now + EJECTION_SECONDS
            self.ejections.append(target)


class ConsecutiveErrors(_TimedEjection):
    """Ejects a target after a number of consecutive failures."""

    def __init__(self, max_ejected: int) -> None:
        """Start with every target in use.

        :param max_ejected: targets that may be ejected at once.
        """
        super().__init__(max_ejected)
        self._consecutive_failures: dict[str, int] = {}

    def on_outcome(
        self, target: str, outcome: RequestOutcome, now: float
    ) -> None:
        """Count a failure, or reset the count.

        :param target: name of the target.
        :param outcome: how the request ended.
        :param now: virtual time in seconds.
        """
        failed = outcome.kind in FAILURE_KINDS
        count = self._consecutive_failures.get(target, 0) + 1 if failed else 0
        self._consecutive_failures[target] = count
        if count >= CONSECUTIVE_FAILURES_TO_EJECT:
            self._consecutive_failures[target] = 0
            self._eject(target, now)


class FixedLatency(_TimedEjection):
    """Ejects a target when the mean of its last latencies is too high."""

    def __init__(self, max_ejected: int) -> None:
        """Start with every target in use.

        :param max_ejected: targets that may be ejected at once.
        """
        super().__init__(max_ejected)
        self._latencies: dict[str, deque[float]] = {}

    def on_outcome(
        self, target: str, outcome: RequestOutcome, now: float
    ) -> None:
        """Add a latency and eject the target if the mean is too high.

        :param target: name of the target.
        :param outcome: how the request ended.
        :param now: virtual time in seconds.
        """
        if outcome.kind is OutcomeKind.REFUSED:
            return
        empty: deque[float] = deque(maxlen=AVERAGED_LATENCIES)
        latencies = self._latencies.setdefault(target, empty)
        latencies.append(outcome.latency_seconds)
        is_window_full = len(latencies) == AVERAGED_LATENCIES
        if (
            is_window_full
            and sum(latencies) > AVERAGED_LATENCIES * MAX_MEAN_LATENCY_SECONDS
        ):
            latencies.clear()
            self._eject(target, now)


class EjectionManagers:
    """The project's own policy: one ejection manager for each target.

    Target ``tN`` is owned by instance ``iN``. Messages between the managers
    are delivered at once and without loss.
    """

    def __init__(
        self, target_count: int, floor: int, threshold_nats: float
    ) -> None:
        """Start all managers at time 0 with a fresh configuration.

        :param target_count: number of targets.
        :param floor: number of targets that must stay in use.
        :param threshold_nats: threshold of the detectors, in nats.
        """
        self.ejections: list[str] = []
        cfg = make_config(target_count, floor)
        detector_settings = DetectorSettings(threshold_nats=threshold_nats)
        self._managers = {
            number: EjectionManager(
                f'i{number}',
                cfg,
                0.0,
                incarnation=number,
                detector_settings=detector_settings,
            )
            for number in range(target_count)
        }
        for manager in self._managers.values():
            manager.set_fresh(True, 0.0)

    def on_outcome(
        self, target: str, outcome: RequestOutcome, now: float
    ) -> None:
        """Pass the outcome to the owner's manager.

        :param target: name of the target.
        :param outcome: how the request ended.
        :param now: virtual time in seconds.
        """
        manager = self._manager(target)
        self._apply_actions(
            target, manager.on_outcome(target, outcome, now), now
        )

    def on_tick(
        self, in_flight_starts: dict[str, list[float]], now: float
    ) -> None:
        """Pass the requests in flight and the time to every manager.

        :param in_flight_starts: virtual times in seconds at which the requests
            in flight began, by target name.
        :param now: virtual time in seconds.
        """
        for target, starts in in_flight_starts.items():
            manager = self._manager(target)
            actions = manager.on_inflight(target, starts, now)
            self._apply_actions(target, actions + manager.on_tick(now), now)

    def usable_fraction(self, target: str, now: float) -> float:
        """Return the usable fraction that the owner's manager gives.

        :param target: name of the target.
        :param now: virtual time in seconds.
        """
        return self._manager(target).usable_fraction(target, now)

    def _manager(self, target_or_instance: str) -> EjectionManager:
        """Return the manager of target ``tN`` at instance ``iN``."""
        return self._managers[int(target_or_instance[1:])]

    def _apply_actions(
        self, target: str, actions: list[Action], now: float
    ) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._deliver(target, action.to, action.body, now)
            elif isinstance(action, TargetEjected):
                self.ejections.append(action.target)

    def _deliver(self, sender: str, to: str, body: Any, now: float) -> None:
        manager = self._manager(to)
        actions = manager.on_message(f'i{sender[1:]}', body, now)
        self._apply_actions(to, actions, now)


def make_config(target_count: int, floor: int) -> Config:
    """Return a configuration with one service and one target per instance.

    :param target_count: number of targets.
    :param floor: number of targets that must stay in use.
    """
    targets = [
        Target(
            name=f't{number}',
            service=SERVICE_NAME,
            instance=f'i{number}',
            address='',
        )
        for number in range(target_count)
    ]
    return Config(
        version=1,
        preset=PresetName.ORDINARY,
        presets={PresetName.ORDINARY: Preset(name=PresetName.ORDINARY)},
        services={SERVICE_NAME: Service(name=SERVICE_NAME, floor=floor)},
        targets={target.name: target for target in targets},
        routes=(),
        accounts={},
        instances={},
    )

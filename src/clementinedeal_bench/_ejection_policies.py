"""Ways of ejecting sick targets that the detection bench compares."""

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
EJECTION_SECONDS = 30.0
CONSECUTIVE_FAILURES_TO_EJECT = 5
AVERAGED_LATENCIES = 10
MAX_MEAN_LATENCY_SECONDS = 0.06


class Policy(Protocol):
    """Decides from each target's outcomes which ones are out."""

    ejections: list[str]

    def on_outcome(
        self, target: str, outcome: RequestOutcome, now: float
    ) -> None:
        """Take in the end of one request."""
        ...

    def on_tick(
        self, in_flight_starts: dict[str, list[float]], now: float
    ) -> None:
        """Let time pass; starting times of requests in flight by target."""
        ...

    def usable_fraction(self, target: str, now: float) -> float:
        """Return the usable share of a target, 0 to 1."""
        ...


class NoPolicy:
    """Ejects nothing."""

    def __init__(self) -> None:
        """Start with every target in use."""
        self.ejections: list[str] = []

    def on_outcome(
        self, target: str, outcome: RequestOutcome, now: float
    ) -> None:
        """Ignore it."""

    def on_tick(
        self, in_flight_starts: dict[str, list[float]], now: float
    ) -> None:
        """Ignore it."""

    def usable_fraction(self, target: str, now: float) -> float:
        """Return the whole."""
        return 1.0


class _TimedEjection(NoPolicy):
    """Ejects for a fixed time, never more than a number at once."""

    def __init__(self, max_ejected: int) -> None:
        super().__init__()
        self._max_ejected = max_ejected
        self._ejected_until: dict[str, float] = {}

    def usable_fraction(self, target: str, now: float) -> float:
        """Return nothing while the target is out."""
        return 0.0 if self._ejected_until.get(target, 0) > now else 1.0

    def _eject(self, target: str, now: float) -> None:
        ejected = sum(until > now for until in self._ejected_until.values())
        if self.usable_fraction(target, now) and ejected < self._max_ejected:
            self._ejected_until[target] = now + EJECTION_SECONDS
            self.ejections.append(target)


class ConsecutiveErrors(_TimedEjection):
    """Ejects after a number of failures in a row."""

    def __init__(self, max_ejected: int) -> None:
        """Start with every target in use.

        :param most_out: how many may be out at once.
        """
        super().__init__(max_ejected)
        self._consecutive_failures: dict[str, int] = {}

    def on_outcome(
        self, target: str, outcome: RequestOutcome, now: float
    ) -> None:
        """Count a failure, or start again.

        :param target: its name.
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
    """Ejects when the mean of the last latencies exceeds a limit."""

    def __init__(self, max_ejected: int) -> None:
        """Start with every target in use.

        :param most_out: how many may be out at once.
        """
        super().__init__(max_ejected)
        self._latencies: dict[str, deque[float]] = {}

    def on_outcome(
        self, target: str, outcome: RequestOutcome, now: float
    ) -> None:
        """Average the latency with those before.

        :param target: its name.
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
    """Ours: one daemon for each target, messages delivered at once."""

    def __init__(
        self, target_count: int, floor: int, threshold_nats: float
    ) -> None:
        """Start all daemons at time zero in a fresh view.

        :param size: number of targets.
        :param floor: number that must stay in use.
        :param threshold: of the detectors, in nats.
        """
        self.ejections: list[str] = []
        cfg = make_config(target_count, floor)
        detection = DetectorSettings(threshold_nats=threshold_nats)
        self._managers = {
            number: EjectionManager(
                f'i{number}',
                cfg,
                0.0,
                incarnation=number,
                detector_settings=detection,
            )
            for number in range(target_count)
        }
        for manager in self._managers.values():
            manager.set_fresh(True, 0.0)

    def on_outcome(
        self, target: str, outcome: RequestOutcome, now: float
    ) -> None:
        """Tell the owner.

        :param target: its name.
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
        """Tick every daemon.

        :param inflight: starting times by target.
        :param now: virtual time in seconds.
        """
        for target, starts in in_flight_starts.items():
            manager = self._manager(target)
            actions = manager.on_inflight(target, starts, now)
            self._apply_actions(target, actions + manager.on_tick(now), now)

    def usable_fraction(self, target: str, now: float) -> float:
        """Return the owner's share.

        :param target: its name.
        :param now: virtual time in seconds.
        """
        return self._manager(target).usable_fraction(target, now)

    def _manager(self, name: str) -> EjectionManager:
        return self._managers[int(name[1:])]

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
    """Return a configuration of one service, one target an instance.

    :param size: number of targets.
    :param floor: number that must stay in use.
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

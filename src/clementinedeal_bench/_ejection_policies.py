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

SERVICE = 'status'
EJECTED_SECONDS = 30.0
FAILURES_IN_A_ROW = 5
LATENCIES_AVERAGED = 10
LATENCY_LIMIT_SECONDS = 0.06


class Policy(Protocol):
    """Decides from each target's outcomes which ones are out."""

    ejections: list[str]

    def on_outcome(
        self, target: str, outcome: RequestOutcome, now: float
    ) -> None:
        """Take in the end of one request."""
        ...

    def on_tick(self, inflight: dict[str, list[float]], now: float) -> None:
        """Let time pass; starting times of requests in flight by target."""
        ...

    def share(self, target: str, now: float) -> float:
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

    def on_tick(self, inflight: dict[str, list[float]], now: float) -> None:
        """Ignore it."""

    def share(self, target: str, now: float) -> float:
        """Return the whole."""
        return 1.0


class _Timed(NoPolicy):
    """Ejects for a fixed time, never more than a number at once."""

    def __init__(self, most_out: int) -> None:
        super().__init__()
        self._most_out = most_out
        self._until: dict[str, float] = {}

    def share(self, target: str, now: float) -> float:
        """Return nothing while the target is out."""
        return 0.0 if self._until.get(target, 0) > now else 1.0

    def _eject(self, target: str, now: float) -> None:
        out = sum(until > now for until in self._until.values())
        if self.share(target, now) and out < self._most_out:
            self._until[target] = now + EJECTED_SECONDS
            self.ejections.append(target)


class ConsecutiveErrors(_Timed):
    """Ejects after a number of failures in a row."""

    def __init__(self, most_out: int) -> None:
        """Start with every target in use.

        :param most_out: how many may be out at once.
        """
        super().__init__(most_out)
        self._failures: dict[str, int] = {}

    def on_outcome(
        self, target: str, outcome: RequestOutcome, now: float
    ) -> None:
        """Count a failure, or start again.

        :param target: its name.
        :param outcome: how the request ended.
        :param now: virtual time in seconds.
        """
        failed = outcome.kind in FAILURE_KINDS
        count = self._failures.get(target, 0) + 1 if failed else 0
        self._failures[target] = count
        if count >= FAILURES_IN_A_ROW:
            self._failures[target] = 0
            self._eject(target, now)


class FixedLatency(_Timed):
    """Ejects when the mean of the last latencies exceeds a limit."""

    def __init__(self, most_out: int) -> None:
        """Start with every target in use.

        :param most_out: how many may be out at once.
        """
        super().__init__(most_out)
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
        fresh: deque[float] = deque(maxlen=LATENCIES_AVERAGED)
        latest = self._latencies.setdefault(target, fresh)
        latest.append(outcome.latency_seconds)
        full = len(latest) == LATENCIES_AVERAGED
        if full and sum(latest) > LATENCIES_AVERAGED * LATENCY_LIMIT_SECONDS:
            latest.clear()
            self._eject(target, now)


class Managers:
    """Ours: one daemon for each target, messages delivered at once."""

    def __init__(self, size: int, floor: int, threshold: float) -> None:
        """Start all daemons at time zero in a fresh view.

        :param size: number of targets.
        :param floor: number that must stay in use.
        :param threshold: of the detectors, in nats.
        """
        self.ejections: list[str] = []
        cfg = make_config(size, floor)
        detection = DetectorSettings(threshold_nats=threshold)
        self._managers = {
            number: EjectionManager(
                f'i{number}',
                cfg,
                0.0,
                incarnation=number,
                detector_settings=detection,
            )
            for number in range(size)
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
        self._carry(target, manager.on_outcome(target, outcome, now), now)

    def on_tick(self, inflight: dict[str, list[float]], now: float) -> None:
        """Tick every daemon.

        :param inflight: starting times by target.
        :param now: virtual time in seconds.
        """
        for target, started in inflight.items():
            manager = self._manager(target)
            actions = manager.on_inflight(target, started, now)
            self._carry(target, actions + manager.on_tick(now), now)

    def share(self, target: str, now: float) -> float:
        """Return the owner's share.

        :param target: its name.
        :param now: virtual time in seconds.
        """
        return self._manager(target).usable_fraction(target, now)

    def _manager(self, name: str) -> EjectionManager:
        return self._managers[int(name[1:])]

    def _carry(self, target: str, actions: list[Action], now: float) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._deliver(target, action.to, action.body, now)
            elif isinstance(action, TargetEjected):
                self.ejections.append(action.target)

    def _deliver(self, sender: str, to: str, body: Any, now: float) -> None:
        manager = self._manager(to)
        actions = manager.on_message(f'i{sender[1:]}', body, now)
        self._carry(to, actions, now)


def make_config(size: int, floor: int) -> Config:
    """Return a configuration of one service, one target an instance.

    :param size: number of targets.
    :param floor: number that must stay in use.
    """
    targets = [
        Target(name=f't{one}', service=SERVICE, instance=f'i{one}', address='')
        for one in range(size)
    ]
    return Config(
        version=1,
        preset=PresetName.ORDINARY,
        presets={PresetName.ORDINARY: Preset(name=PresetName.ORDINARY)},
        services={SERVICE: Service(name=SERVICE, floor=floor)},
        targets={target.name: target for target in targets},
        routes=(),
        accounts={},
        instances={},
    )

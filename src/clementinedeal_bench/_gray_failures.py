"""Gray failures of a stand-in target: modes and what each does to a request."""

import enum
import random
from dataclasses import dataclass


class GrayMode(enum.Enum):
    """How a target misbehaves; probes stay good but for ``MISLEADING``."""

    HEALTHY = 'healthy'
    SLOW = 'slow'
    WRONG = 'wrong'
    SHORT = 'short'
    LATE = 'late'
    HANG = 'hang'
    FLAP = 'flap'
    MISLEADING = 'misleading'


class WrongAnswerKind(enum.Enum):
    """What is wrong with a wrong answer."""

    STATUS = 'status'
    BODY = 'body'
    REQUEST_ID = 'request-id'


@dataclass(frozen=True, slots=True, kw_only=True)
class GraySettings:
    """A mode and its figures.

    ``share`` is the part of requests affected, ``factor`` multiplies the
    service time of ``SLOW``, ``late`` seconds hold back an answer that is
    ready, ``period`` is the length in seconds of each half of ``FLAP``, and
    ``flap_mode`` the mode of the bad half.
    """

    mode: GrayMode = GrayMode.HEALTHY
    share: float = 1.0
    factor: float = 10.0
    wrong: WrongAnswerKind = WrongAnswerKind.STATUS
    late: float = 1.0
    period: float = 4.0
    flap_mode: GrayMode = GrayMode.SLOW


@dataclass(frozen=True, slots=True, kw_only=True)
class InjectedFaults:
    """What happens to one request."""

    service_time_factor: float = 1.0
    wrong_kind: WrongAnswerKind | None = None
    is_cut_short: bool = False
    late_seconds: float = 0.0
    hangs: bool = False


class FaultInjector:
    """Decides the fate of each request from the mode, time and a seed."""

    def __init__(self, seed: int) -> None:
        """Start healthy.

        :param seed: makes the choice of affected requests repeatable.
        """
        self.settings = GraySettings()
        self._configured_at = 0.0
        self._rng = random.Random(seed)

    def configure(self, settings: GraySettings, now: float) -> None:
        """Change the mode; a flap begins with its bad half.

        :param settings: the new mode and figures.
        :param now: monotonic seconds.
        """
        self.settings = settings
        self._configured_at = now

    def current_mode(self, now: float) -> GrayMode:
        """Return the mode that acts at this moment.

        :param now: monotonic seconds.
        """
        if self.settings.mode is not GrayMode.FLAP:
            return self.settings.mode
        phase = (now - self._configured_at) % (2 * self.settings.period)
        if phase < self.settings.period:
            return self.settings.flap_mode
        return GrayMode.HEALTHY

    def choose_faults(self, now: float) -> InjectedFaults:
        """Decide the fate of the next request.

        :param now: monotonic seconds.
        """
        cfg = self.settings
        mode = self.current_mode(now)
        if self._rng.random() >= cfg.share:
            return InjectedFaults()
        return InjectedFaults(
            service_time_factor=cfg.factor if mode is GrayMode.SLOW else 1,
            wrong_kind=cfg.wrong if mode is GrayMode.WRONG else None,
            is_cut_short=mode is GrayMode.SHORT,
            late_seconds=cfg.late if mode is GrayMode.LATE else 0,
            hangs=mode is GrayMode.HANG,
        )

"""Gray failures of a stand-in target.

A target with a gray failure passes its health probes while it serves requests
slowly, wrongly or not at all.
"""

import enum
import random
from dataclasses import dataclass


class GrayMode(enum.Enum):
    """How a target misbehaves.

    ``SLOW`` multiplies the service time, ``WRONG`` sends a wrong answer,
    ``SHORT`` closes the connection in the middle of the body, ``LATE`` holds
    back a finished answer, ``HANG`` never answers, and ``FLAP`` alternates
    between another mode and healthy. In these modes probes and load reports
    stay correct. ``MISLEADING`` serves requests well, but its probes fail and
    its load reports are wrong.
    """

    HEALTHY = 'healthy'
    SLOW = 'slow'
    WRONG = 'wrong'
    SHORT = 'short'
    LATE = 'late'
    HANG = 'hang'
    FLAP = 'flap'
    MISLEADING = 'misleading'


class WrongAnswerKind(enum.Enum):
    """What is wrong with an answer in mode ``WRONG``.

    ``STATUS`` is a status of 500, ``BODY`` a body that does not match its
    digest, ``REQUEST_ID`` the request id of another request.
    """

    STATUS = 'status'
    BODY = 'body'
    REQUEST_ID = 'request-id'


@dataclass(frozen=True, slots=True, kw_only=True)
class GraySettings:
    """A mode and its parameters, as set over ``PUT /control/mode``.

    :param mode: the current mode.
    :param share: fraction of requests that are affected, 0 to 1.
    :param factor: multiplies the service time in mode ``SLOW``.
    :param wrong: what is wrong with the answers in mode ``WRONG``.
    :param late: seconds for which mode ``LATE`` holds back an answer.
    :param period: seconds of each half of ``FLAP``, faulty and healthy.
    :param flap_mode: mode during the faulty half of ``FLAP``.
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
    """Faults to apply to one request; the defaults apply none.

    :param service_time_factor: multiplies the service time.
    :param wrong_kind: what is wrong with the answer, ``None`` for nothing.
    :param is_cut_short: whether the connection closes within the body.
    :param late_seconds: delay between the end of the work and the answer.
    :param hangs: whether the request is never answered.
    """

    service_time_factor: float = 1.0
    wrong_kind: WrongAnswerKind | None = None
    is_cut_short: bool = False
    late_seconds: float = 0.0
    hangs: bool = False


class FaultInjector:
    """Chooses the faults of each request from mode, time and a seed."""

    def __init__(self, seed: int) -> None:
        """Start in mode ``HEALTHY``.

        :param seed: makes the choice of affected requests repeatable.
        """
        self.settings = GraySettings()
        self._configured_at = 0.0
        self._rng = random.Random(seed)

    def configure(self, settings: GraySettings, now: float) -> None:
        """Change the mode; ``FLAP`` begins with its faulty half.

        :param settings: the new mode and its parameters.
        :param now: monotonic seconds.
        """
        self.settings = settings
        self._configured_at = now

    def current_mode(self, now: float) -> GrayMode:
        """Return the mode in effect, with ``FLAP`` resolved to its half.

        :param now: monotonic seconds.
        """
        if self.settings.mode is not GrayMode.FLAP:
            return self.settings.mode
        phase = (now - self._configured_at) % (2 * self.settings.period)
        if phase < self.settings.period:
            return self.settings.flap_mode
        return GrayMode.HEALTHY

    def choose_faults(self, now: float) -> InjectedFaults:
        """Return the faults of the next request.

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

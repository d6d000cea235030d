"""Targets in virtual time: service times, slots and gray failures."""

import enum
import heapq
import math
import random
from dataclasses import dataclass

from clementinedeal._target_health import OutcomeKind, RequestOutcome

MEAN_SECONDS = 0.025
SPREAD = 0.4
SLOTS = 7
TIMEOUT_SECONDS = 10.0
BASE_ERRORS = 0.001
TENTH = 0.1
FLAP_SECONDS = 10.0
STALL_EVERY_SECONDS = 60.0
STALL_SECONDS = 0.2
SLOWEST_FACTOR = 1.25


class Mode(enum.Enum):
    """How a target behaves from the onset of its fault."""

    HEALTHY = 'healthy'
    SLOW_3 = 'slow-3x'
    SLOW_10 = 'slow-10x'
    TENTH_WRONG = 'tenth-wrong'
    FAILING = 'failing'
    HANGING = 'hanging'
    FLAPPING = 'flapping'
    ALL_SLOW = 'all-slow-3x'


SLOWNESS = {Mode.SLOW_3: 3.0, Mode.SLOW_10: 10.0, Mode.ALL_SLOW: 3.0}


@dataclass(frozen=True, slots=True)
class Work:
    """One request at a target: when it starts and how it ends."""

    started: float
    ends: float
    outcome: RequestOutcome


class ModelTarget:
    """One target with slots; healthy ones differ in speed and stall."""

    def __init__(self, mode: Mode, onset: float, rng: random.Random) -> None:
        """Start idle.

        :param mode: fault from the onset on.
        :param onset: virtual time in seconds.
        :param rng: source of all its randomness.
        """
        self.mode = mode
        self.onset = onset
        self._rng = rng
        speed = rng.uniform(1 / SLOWEST_FACTOR, SLOWEST_FACTOR)
        self._median = math.log(speed * MEAN_SECONDS) - SPREAD * SPREAD / 2
        self._free = [0.0 for _ in range(SLOTS)]
        self._stall_at = rng.expovariate(1 / STALL_EVERY_SECONDS)

    def serve(self, now: float) -> Work:
        """Return what becomes of a request that arrives now.

        :param now: virtual time in seconds.
        """
        started = max(now, heapq.heappop(self._free))
        sick = started >= self.onset
        seconds = self._seconds(sick, started)
        kind = self._kind(sick, started)
        if kind is OutcomeKind.TIMEOUT:
            seconds = TIMEOUT_SECONDS
        ends = started + seconds
        heapq.heappush(self._free, ends)
        return Work(started, ends, RequestOutcome(kind, seconds))

    def _seconds(self, sick: bool, started: float) -> float:
        seconds = self._rng.lognormvariate(self._median, SPREAD)
        if sick:
            seconds *= SLOWNESS.get(self.mode, 1.0)
        return seconds + self._stall(started)

    def _stall(self, started: float) -> float:
        """Seconds left of a stall of the whole target."""
        if started >= self._stall_at + STALL_SECONDS:
            pause = self._rng.expovariate(1 / STALL_EVERY_SECONDS)
            self._stall_at = started + pause
        return max(0.0, self._stall_at + STALL_SECONDS - started) * (
            started >= self._stall_at
        )

    def _kind(self, sick: bool, started: float) -> OutcomeKind:
        draw = self._rng.random()
        if sick and self.mode is Mode.HANGING:
            return OutcomeKind.TIMEOUT
        if sick and self._fails(started):
            return OutcomeKind.ERROR
        if sick and self.mode is Mode.TENTH_WRONG and draw < TENTH:
            return OutcomeKind.WRONG
        return OutcomeKind.ERROR if draw < BASE_ERRORS else OutcomeKind.OK

    def _fails(self, started: float) -> bool:
        if self.mode is Mode.FLAPPING:
            return int((started - self.onset) / FLAP_SECONDS) % 2 == 0
        return self.mode is Mode.FAILING

"""Simulated targets in virtual time, with service times, slots and faults.

The detection bench sends its requests to them. Each has a fixed number of
slots, log-normal service times, short stalls, and a fault that begins at a
given time.
"""

import enum
import heapq
import math
import random
from dataclasses import dataclass

from clementinedeal._target_health import OutcomeKind, RequestOutcome

MEAN_SERVICE_SECONDS = 0.025
# standard deviation of the logarithm of the service time
SERVICE_TIME_SIGMA = 0.4
SLOTS = 7
TIMEOUT_SECONDS = 10.0
BASE_ERROR_FRACTION = 0.001  # errors of a healthy target
WRONG_FRACTION = 0.1  # wrong answers in TENTH_WRONG
FLAP_PHASE_SECONDS = 10.0  # length of each failing or healthy phase
MEAN_STALL_INTERVAL_SECONDS = 60.0
STALL_SECONDS = 0.2
# Healthy targets differ in their mean service time by up to this factor.
MAX_SERVICE_TIME_FACTOR = 1.25


class FaultMode(enum.Enum):
    """Fault of a target, which begins at its onset.

    ``ALL_SLOW`` slows every target of the service alike, which is no fault of
    a single target; it must not lead to an ejection.
    """

    HEALTHY = 'healthy'
    SLOW_3 = 'slow-3x'
    SLOW_10 = 'slow-10x'
    TENTH_WRONG = 'tenth-wrong'
    FAILING = 'failing'
    HANGING = 'hanging'
    FLAPPING = 'flapping'
    ALL_SLOW = 'all-slow-3x'


SLOWDOWN_FACTORS = {
    FaultMode.SLOW_3: 3.0,
    FaultMode.SLOW_10: 10.0,
    FaultMode.ALL_SLOW: 3.0,
}


@dataclass(frozen=True, slots=True)
class ServedRequest:
    """A request that a target has accepted.

    ``started_at`` and ``ends_at`` are virtual times in seconds; between arrival
    and ``started_at`` the request waits for a slot.
    """

    started_at: float
    ends_at: float
    outcome: RequestOutcome


class ModelTarget:
    """A target with a fixed number of slots.

    Healthy targets also differ in their mean service time, answer a fraction
    of ``BASE_ERROR_FRACTION`` of their requests with an error, and stall for
    ``STALL_SECONDS`` at random times.
    """

    def __init__(
        self, mode: FaultMode, onset_at: float, rng: random.Random
    ) -> None:
        """Create an idle target.

        :param mode: fault of the target.
        :param onset_at: virtual time in seconds at which the fault begins.
        :param rng: source of all randomness of this target.
        """
        self.mode = mode
        self.onset_at = onset_at
        self._rng = rng
        service_time_factor = rng.uniform(
            1 / MAX_SERVICE_TIME_FACTOR, MAX_SERVICE_TIME_FACTOR
        )
        self._log_median = (
            math.log(service_time_factor * MEAN_SERVICE_SECONDS)
            - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2
        )
        self._slots_free_at = [0.0 for _ in range(SLOTS)]
        self._stall_at = rng.expovariate(1 / MEAN_STALL_INTERVAL_SECONDS)

    def serve(self, now: float) -> ServedRequest:
        """Accept a request and return when and how it will end.

        :param now: virtual time in seconds.
        """
        started_at = max(now, heapq.heappop(self._slots_free_at))
        is_faulty = started_at >= self.onset_at
        seconds = self._draw_service_seconds(is_faulty, started_at)
        kind = self._draw_outcome_kind(is_faulty, started_at)
        if kind is OutcomeKind.TIMEOUT:
            seconds = TIMEOUT_SECONDS
        ends_at = started_at + seconds
        heapq.heappush(self._slots_free_at, ends_at)
        return ServedRequest(started_at, ends_at, RequestOutcome(kind, seconds))

    def _draw_service_seconds(
        self, is_faulty: bool, started_at: float
    ) -> float:
        seconds = self._rng.lognormvariate(self._log_median, SERVICE_TIME_SIGMA)
        if is_faulty:
            seconds *= SLOWDOWN_FACTORS.get(self.mode, 1.0)
        return seconds + self._remaining_stall_seconds(started_at)

    def _remaining_stall_seconds(self, started_at: float) -> float:
        """Return the seconds for which the target is still stalled."""
        if started_at >= self._stall_at + STALL_SECONDS:
            interval = self._rng.expovariate(1 / MEAN_STALL_INTERVAL_SECONDS)
            self._stall_at = started_at + interval
        return max(0.0, self._stall_at + STALL_SECONDS - started_at) * (
            started_at >= self._stall_at
        )

    def _draw_outcome_kind(
        self, is_faulty: bool, started_at: float
    ) -> OutcomeKind:
        sample = self._rng.random()
        if is_faulty and self.mode is FaultMode.HANGING:
            return OutcomeKind.TIMEOUT
        if is_faulty and self._is_failing(started_at):
            return OutcomeKind.ERROR
        if (
            is_faulty
            and self.mode is FaultMode.TENTH_WRONG
            and sample < WRONG_FRACTION
        ):
            return OutcomeKind.WRONG
        return (
            OutcomeKind.ERROR
            if sample < BASE_ERROR_FRACTION
            else OutcomeKind.OK
        )

    def _is_failing(self, started_at: float) -> bool:
        if self.mode is FaultMode.FLAPPING:
            return (
                int((started_at - self.onset_at) / FLAP_PHASE_SECONDS) % 2 == 0
            )
        return self.mode is FaultMode.FAILING

"""Cumulative sums of log-likelihood ratios (sequential tests)."""

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BinaryLogRatios:
    """Log-likelihood ratios of a yes-or-no observation, in nats."""

    hit: float
    miss: float

    def ratio_of(self, hit: bool) -> float:
        """Return the ratio of one observation.

        :param hit: whether it was a hit.
        """
        return self.hit if hit else self.miss


ZERO_LOG_RATIOS = BinaryLogRatios(0.0, 0.0)


def binary_log_ratios(null: float, alternative: float) -> BinaryLogRatios:
    """Return the ratios for two shares of hits; none if they don't part.

    :param null: share of hits of a healthy target.
    :param alternative: share of hits of a sick one.
    """
    if alternative <= null:
        return ZERO_LOG_RATIOS
    return BinaryLogRatios(
        math.log(alternative / null),
        math.log((1 - alternative) / (1 - null)),
    )


def class_log_ratios(
    null: Sequence[float],
    alternative: Sequence[float],
) -> tuple[float, ...]:
    """Return the log-likelihood ratio of each class of observation.

    :param null: probability of each class for a healthy target.
    :param alternative: the same for a sick one.
    """
    pairs = zip(null, alternative, strict=True)
    return tuple(math.log(unhealthy / healthy) for healthy, unhealthy in pairs)


class Cusum:
    """One-sided cumulative sum that never falls below zero."""

    __slots__ = ('onset_level', 'score', 'onset_at')

    def __init__(self, onset_level: float, now: float) -> None:
        """Start at zero.

        :param level: score above which the start of evidence is dated.
        :param now: monotonic time in seconds.
        """
        self.onset_level = onset_level
        self.score = 0.0
        self.onset_at = now

    def add(self, log_ratio: float, now: float) -> None:
        """Add one observation.

        :param weight: its log-likelihood ratio in nats.
        :param now: when it was made.
        """
        if self.score < self.onset_level:
            self.onset_at = now
        score = self.score + log_ratio
        self.score = score if score > 0 else 0.0

    def clear(self, now: float) -> None:
        """Forget all evidence."""
        self.score = 0.0
        self.onset_at = now

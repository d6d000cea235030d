"""Cumulative sums (CUSUM) of log-likelihood ratios for sequential tests."""

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BinaryLogRatios:
    """Log-likelihood ratios of an observation that is a hit or a miss.

    A hit is the event that is counted, such as a failed request. Both ratios
    are in nats; a positive one is evidence that the target is unhealthy.
    """

    hit: float
    miss: float

    def ratio_of(self, hit: bool) -> float:
        """Return the log-likelihood ratio of one observation, in nats.

        :param hit: whether the observation was a hit.
        """
        return self.hit if hit else self.miss


ZERO_LOG_RATIOS = BinaryLogRatios(0.0, 0.0)


def binary_log_ratios(null: float, alternative: float) -> BinaryLogRatios:
    """Return the log-likelihood ratios of a hit and a miss.

    Both are zero if an unhealthy target has no more hits than a healthy one.

    :param null: fraction of hits of a healthy target, above 0 and below 1.
    :param alternative: fraction of hits of an unhealthy target, below 1.
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
    """Return the log-likelihood ratio of each class of observation, in nats.

    :param null: probability of each class for a healthy target, above 0.
    :param alternative: probability of each class for an unhealthy target,
        above 0, in the same order.
    :raises ValueError: the two differ in length.
    """
    pairs = zip(null, alternative, strict=True)
    return tuple(math.log(unhealthy / healthy) for healthy, unhealthy in pairs)


class Cusum:
    """One-sided cumulative sum of evidence that never falls below zero.

    ``score`` is the sum in nats. ``onset_at`` is when the score last rose to
    ``onset_level``, in monotonic seconds.
    """

    __slots__ = ('onset_level', 'score', 'onset_at')

    def __init__(self, onset_level: float, now: float) -> None:
        """Start at zero.

        :param onset_level: score in nats; ``onset_at`` moves with each
            observation while the score is below it.
        :param now: monotonic time in seconds.
        """
        self.onset_level = onset_level
        self.score = 0.0
        self.onset_at = now

    def add(self, log_ratio: float, now: float) -> None:
        """Add one observation.

        :param log_ratio: its log-likelihood ratio in nats.
        :param now: when it was made, in monotonic seconds.
        """
        if self.score < self.onset_level:
            self.onset_at = now
        score = self.score + log_ratio
        self.score = score if score > 0 else 0.0

    def clear(self, now: float) -> None:
        """Reset the score to zero.

        :param now: monotonic time in seconds.
        """
        self.score = 0.0
        self.onset_at = now

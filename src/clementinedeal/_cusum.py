"""Cumulative sums of log-likelihood ratios (sequential tests)."""

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Odds:
    """Log-likelihood ratios of a yes-or-no observation, in nats."""

    hit: float
    miss: float

    def of(self, hit: bool) -> float:
        """Return the ratio of one observation.

        :param hit: whether it was a hit.
        """
        return self.hit if hit else self.miss


NO_ODDS = Odds(0.0, 0.0)


def odds(null: float, alternative: float) -> Odds:
    """Return the ratios for two shares of hits; none if they don't part.

    :param null: share of hits of a healthy target.
    :param alternative: share of hits of a sick one.
    """
    if alternative <= null:
        return NO_ODDS
    return Odds(
        math.log(alternative / null),
        math.log((1 - alternative) / (1 - null)),
    )


def ratios(
    null: Sequence[float],
    alternative: Sequence[float],
) -> tuple[float, ...]:
    """Return the log-likelihood ratio of each class of observation.

    :param null: probability of each class for a healthy target.
    :param alternative: the same for a sick one.
    """
    pairs = zip(null, alternative, strict=True)
    return tuple(math.log(sick / healthy) for healthy, sick in pairs)


class Cusum:
    """One-sided cumulative sum that never falls below zero."""

    __slots__ = ('level', 'score', 'since')

    def __init__(self, level: float, now: float) -> None:
        """Start at zero.

        :param level: score above which the start of evidence is dated.
        :param now: monotonic time in seconds.
        """
        self.level = level
        self.score = 0.0
        self.since = now

    def add(self, weight: float, now: float) -> None:
        """Add one observation.

        :param weight: its log-likelihood ratio in nats.
        :param now: when it was made.
        """
        if self.score < self.level:
            self.since = now
        score = self.score + weight
        self.score = score if score > 0 else 0.0

    def clear(self, now: float) -> None:
        """Forget all evidence."""
        self.score = 0.0
        self.since = now

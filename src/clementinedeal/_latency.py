"""Latency of a target measured by the quantiles of its peers."""

from bisect import bisect_left

from clementinedeal._cusum import class_log_ratios
from clementinedeal._target_health import Baseline

# Classes of latency: below the peers' median, up to their ninth decile, up
# to that decile squared over the median, above it.
PEER_CLASS_FRACTIONS = (0.5, 0.39, 0.1, 0.01)
SLOW_CLASS_FRACTIONS = (0.16, 0.44, 0.31, 0.09)
MIN_MEDIAN_SECONDS = 0.001
SLOW_LOG_RATIOS = class_log_ratios(PEER_CLASS_FRACTIONS, SLOW_CLASS_FRACTIONS)


class LatencyClasses:
    """Bounds between the classes of latency, in seconds."""

    def __init__(self, baseline: Baseline, max_slowdown: float) -> None:
        """Derive the bounds from the peers.

        :param baseline: recent traffic of the peers.
        :param tolerance: how many times slower a healthy target may be.
        """
        median = max(baseline.p50, MIN_MEDIAN_SECONDS)
        decile = max(baseline.p90, median)
        top = decile * decile / median
        self._bounds = tuple(
            max_slowdown * bound for bound in (median, decile, top)
        )

    @property
    def highest_bound_seconds(self) -> float:
        """Return the lower bound of the highest class in seconds."""
        return self._bounds[-1]

    def log_ratio(self, latency: float) -> float:
        """Return the evidence for slowness of one answer, in nats.

        :param latency: seconds the answer took.
        """
        return SLOW_LOG_RATIOS[bisect_left(self._bounds, latency)]

    def overdue_log_ratio(self, age: float) -> float:
        """Return the evidence of a request in flight, never negative.

        :param age: seconds since its start.
        """
        if age <= self._bounds[1]:
            return 0.0
        return self.log_ratio(age)

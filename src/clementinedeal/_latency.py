"""Classes of latency, bounded by quantiles of the peers' latencies."""

from bisect import bisect_left

from clementinedeal._cusum import class_log_ratios
from clementinedeal._target_health import Baseline

# There are four classes of latency: up to the peers' median, up to their p90,
# up to p90 * p90 / median, and above; each bound is multiplied by the slowdown
# that a healthy target may have. These are the fractions of requests in each
# class, for a healthy target and for a slow one.
PEER_CLASS_FRACTIONS = (0.5, 0.39, 0.1, 0.01)
SLOW_CLASS_FRACTIONS = (0.16, 0.44, 0.31, 0.09)
# A lower median of the peers is raised to this, since it is a divisor.
MIN_MEDIAN_SECONDS = 0.001
SLOW_LOG_RATIOS = class_log_ratios(PEER_CLASS_FRACTIONS, SLOW_CLASS_FRACTIONS)


class LatencyClasses:
    """Sorts latencies into classes and returns their evidence for slowness."""

    def __init__(self, baseline: Baseline, max_slowdown: float) -> None:
        """Derive the bounds between the classes from the peers' traffic.

        :param baseline: recent traffic of the peers.
        :param max_slowdown: how many times slower than its peers a healthy
            target may be.
        """
        median = max(baseline.p50, MIN_MEDIAN_SECONDS)
        p90 = max(baseline.p90, median)
        highest_bound = p90 * p90 / median
        self._bounds = tuple(
            max_slowdown * bound for bound in (median, p90, highest_bound)
        )

    @property
    def highest_bound_seconds(self) -> float:
        """Return the lower bound of the highest class in seconds."""
        return self._bounds[-1]

    def log_ratio(self, latency: float) -> float:
        """Return the evidence for slowness in one latency, in nats.

        It is negative for a latency that is more likely of a healthy target.

        :param latency: duration of the request in seconds.
        """
        return SLOW_LOG_RATIOS[bisect_left(self._bounds, latency)]

    def overdue_log_ratio(self, age: float) -> float:
        """Return the evidence for slowness of a request in flight, in nats.

        It is never negative. Up to the bound derived from the peers' p90 it is
        0, since the request may still end in any higher class.

        :param age: seconds since the request started.
        """
        if age <= self._bounds[1]:
            return 0.0
        return self.log_ratio(age)

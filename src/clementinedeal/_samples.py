"""The recent requests of one target and their summary."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from clementinedeal._health import Traffic

SAMPLES_KEPT = 128
WINDOW_SECONDS = 1.0
LONGEST_WINDOW_SECONDS = 10.0
FEWEST_SAMPLES = 8


@dataclass(frozen=True, slots=True)
class Sample:
    """One request that ended at ``at`` (monotonic seconds).

    ``timed`` tells that its latency in seconds says something.
    """

    at: float
    latency: float
    failed: bool
    corrupt: bool
    timed: bool


class Samples:
    """Bounded memory of a target's latest requests."""

    def __init__(self) -> None:
        """Start without any."""
        self.latest: deque[Sample] = deque(maxlen=SAMPLES_KEPT)

    def add(self, sample: Sample) -> None:
        """Remember one request; the oldest is forgotten.

        :param sample: the newest request.
        """
        self.latest.append(sample)

    def summary(self, overdue: Sequence[float], now: float) -> Traffic:
        """Summarise about the last second, or more if there was little.

        :param overdue: ages in seconds of requests in flight that are late;
            each counts as a failed one that took at least so long.
        :param now: monotonic time in seconds.
        """
        recent = self._recent(now)
        count = len(recent) + len(overdue)
        if not count:
            return Traffic()
        latencies = sorted([one.latency for one in recent] + list(overdue))
        failures = sum(one.failed for one in recent) + len(overdue)
        corruptions = sum(one.corrupt for one in recent)
        return Traffic(
            count=count,
            p50=latencies[count // 2],
            p90=latencies[count * 9 // 10],
            failures=failures / count,
            corruptions=corruptions / count,
            window_seconds=now - recent[-1].at if recent else 0.0,
        )

    def _recent(self, now: float) -> list[Sample]:
        recent: list[Sample] = []
        for sample in reversed(self.latest):
            age = now - sample.at
            if age > LONGEST_WINDOW_SECONDS:
                break
            if age > WINDOW_SECONDS and len(recent) >= FEWEST_SAMPLES:
                break
            recent.append(sample)
        return recent

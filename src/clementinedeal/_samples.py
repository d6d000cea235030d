"""The latest requests of one target and a summary of them."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from clementinedeal._target_health import Traffic

MAX_SAMPLES = 128
# A summary covers WINDOW_SECONDS. If these have fewer than MIN_SAMPLES samples,
# older ones are added, up to an age of MAX_WINDOW_SECONDS.
WINDOW_SECONDS = 1.0
MAX_WINDOW_SECONDS = 10.0
MIN_SAMPLES = 8


@dataclass(frozen=True, slots=True)
class Sample:
    """One request that ended at ``ended_at`` (monotonic seconds).

    ``is_corruption`` is whether its answer was wrong or truncated.
    ``has_latency`` is whether the latency may be compared with that of the
    peers. It is false for failures other than timeouts, since they may end
    early.
    """

    ended_at: float
    latency_seconds: float
    is_failure: bool
    is_corruption: bool
    has_latency: bool


class Samples:
    """Keeps the latest ``MAX_SAMPLES`` requests of a target."""

    def __init__(self) -> None:
        """Start without samples."""
        self.latest: deque[Sample] = deque(maxlen=MAX_SAMPLES)

    def add(self, sample: Sample) -> None:
        """Add a request and discard the oldest one if the limit is reached.

        :param sample: the newest request.
        """
        self.latest.append(sample)

    def summary(self, overdue: Sequence[float], now: float) -> Traffic:
        """Summarise the samples of the last ``WINDOW_SECONDS``.

        If these are fewer than ``MIN_SAMPLES``, older samples are added, up
        to an age of ``MAX_WINDOW_SECONDS``.

        :param overdue: ages in seconds of requests in flight that are late;
            each counts as a failure with its age as latency.
        :param now: monotonic time in seconds.
        """
        recent = self._recent(now)
        count = len(recent) + len(overdue)
        if not count:
            return Traffic()
        latencies = sorted(
            [sample.latency_seconds for sample in recent] + list(overdue)
        )
        failures = sum(sample.is_failure for sample in recent) + len(overdue)
        corruptions = sum(sample.is_corruption for sample in recent)
        return Traffic(
            count=count,
            p50=latencies[count // 2],
            p90=latencies[count * 9 // 10],
            failures=failures / count,
            corruptions=corruptions / count,
            window_seconds=now - recent[-1].ended_at if recent else 0.0,
        )

    def _recent(self, now: float) -> list[Sample]:
        recent: list[Sample] = []
        for sample in reversed(self.latest):
            age = now - sample.ended_at
            if age > MAX_WINDOW_SECONDS:
                break
            if age > WINDOW_SECONDS and len(recent) >= MIN_SAMPLES:
                break
            recent.append(sample)
        return recent

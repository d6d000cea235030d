"""Recent traffic of a service's targets and the medians over the peers."""

from collections.abc import Callable
from dataclasses import dataclass

from clementinedeal._target_health import Baseline, Traffic

# Older reports, and reports with fewer samples, don't count in a baseline.
MAX_REPORT_AGE_SECONDS = 3.0
MIN_SAMPLES = 4
# With fewer peers there is no baseline.
MIN_PEERS = 2


@dataclass(frozen=True, slots=True)
class ReportedTraffic:
    """Traffic of one target, as its owner reported it.

    ``received_at`` is when the report arrived, in monotonic seconds.
    """

    traffic: Traffic
    received_at: float


class PeerTraffic:
    """Keeps the latest traffic that owners reported to a permit holder."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, ReportedTraffic] = {}

    def set_traffic(self, target: str, traffic: Traffic, now: float) -> None:
        """Store the newest traffic of a target.

        :param target: name of the target.
        :param traffic: summary that the owner reported.
        :param now: monotonic time in seconds.
        """
        self._reports[target] = ReportedTraffic(traffic, now)

    def prune(self, now: float) -> None:
        """Discard reports that are too old to be used.

        :param now: monotonic time in seconds.
        """
        self._reports = {
            target: report
            for target, report in self._reports.items()
            if now - report.received_at <= MAX_REPORT_AGE_SECONDS
        }

    def baseline(self, target: str, now: float) -> Baseline | None:
        """Return the medians over the other targets' recent traffic.

        It is None if fewer than ``MIN_PEERS`` have enough recent samples.

        :param target: name of the target that is to be compared.
        :param now: monotonic time in seconds.
        """
        peers = [
            report
            for name, report in self._reports.items()
            if name != target and _is_usable(report, now)
        ]
        if len(peers) < MIN_PEERS:
            return None
        return Baseline(
            peers=len(peers),
            p50=_median(peers, lambda report: report.traffic.p50),
            p90=_median(peers, lambda report: report.traffic.p90),
            failures=_median(peers, lambda report: report.traffic.failures),
            corruptions=_median(
                peers, lambda report: report.traffic.corruptions
            ),
            reach_seconds=_median(
                peers,
                lambda report: (
                    now - report.received_at + report.traffic.window_seconds
                ),
            ),
        )


def _is_usable(report: ReportedTraffic, now: float) -> bool:
    if report.traffic.count < MIN_SAMPLES:
        return False
    return now - report.received_at <= MAX_REPORT_AGE_SECONDS


def _median(
    peers: list[ReportedTraffic],
    measure: Callable[[ReportedTraffic], float],
) -> float:
    """Return the upper median.

    For an even number of peers it leads to fewer ejections than the lower.
    """
    measures = sorted(map(measure, peers))
    return measures[len(measures) // 2]

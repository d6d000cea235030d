"""Recent traffic of a service's targets and the median of the peers."""

from collections.abc import Callable
from dataclasses import dataclass

from clementinedeal._target_health import Baseline, Traffic

MAX_REPORT_AGE_SECONDS = 3.0
MIN_SAMPLES = 4
MIN_PEERS = 2


@dataclass(frozen=True, slots=True)
class ReportedTraffic:
    """Traffic of one target and when it was heard of."""

    traffic: Traffic
    received_at: float


class PeerTraffic:
    """What a permit holder was told of the targets of its service."""

    def __init__(self) -> None:
        """Start without any report."""
        self._reported: dict[str, ReportedTraffic] = {}

    def set_traffic(self, target: str, traffic: Traffic, now: float) -> None:
        """Remember the newest traffic of a target.

        :param target: its name.
        :param traffic: summary by its owner.
        :param now: monotonic time in seconds.
        """
        self._reported[target] = ReportedTraffic(traffic, now)

    def prune(self, now: float) -> None:
        """Forget reports that are too old to be used."""
        self._reported = {
            target: one
            for target, one in self._reported.items()
            if now - one.received_at <= MAX_REPORT_AGE_SECONDS
        }

    def baseline(self, target: str, now: float) -> Baseline | None:
        """Return the median of the other targets, if enough are known.

        :param target: the target that is to be compared.
        :param now: monotonic time in seconds.
        """
        peers = [
            one
            for name, one in self._reported.items()
            if name != target and _is_usable(one, now)
        ]
        if len(peers) < MIN_PEERS:
            return None
        return Baseline(
            peers=len(peers),
            p50=_median(peers, lambda one: one.traffic.p50),
            p90=_median(peers, lambda one: one.traffic.p90),
            failures=_median(peers, lambda one: one.traffic.failures),
            corruptions=_median(peers, lambda one: one.traffic.corruptions),
            reach_seconds=_median(
                peers,
                lambda one: now - one.received_at + one.traffic.window_seconds,
            ),
        )


def _is_usable(one: ReportedTraffic, now: float) -> bool:
    if one.traffic.count < MIN_SAMPLES:
        return False
    return now - one.received_at <= MAX_REPORT_AGE_SECONDS


def _median(
    peers: list[ReportedTraffic],
    measure: Callable[[ReportedTraffic], float],
) -> float:
    """Upper median: an even number of peers leans to fewer ejections."""
    measures = sorted(map(measure, peers))
    return measures[len(measures) // 2]

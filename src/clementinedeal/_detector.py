"""Sequential detection of an unhealthy target from its owner's requests."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from clementinedeal._cusum import Cusum, binary_log_ratios
from clementinedeal._latency import LatencyClasses
from clementinedeal._samples import Sample, Samples
from clementinedeal._target_health import (
    CORRUPTION_KINDS,
    FAILURE_KINDS,
    Baseline,
    Cause,
    Health,
    Healthy,
    OutcomeKind,
    RequestOutcome,
    Suspected,
    Traffic,
    Unhealthy,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class DetectorSettings:
    """Hypotheses and thresholds of the sequential tests.

    :param threshold_nats: evidence at which a target is unhealthy.
    :param suspect_fraction: fraction of the threshold from which a target is
        suspected.
    :param max_slowdown: how many times slower than its peers a healthy
        target may be.
    :param healthy_failure_fraction: fraction of failed requests, 0 to 1, that
        is expected of a healthy target.
    :param failing_failure_fraction: the same for a target that mostly fails.
    :param partly_failing_failure_fraction: the same for a target that fails
        in part.
    :param healthy_corruption_fraction: fraction of corrupt answers, 0 to 1,
        that is expected of a healthy target.
    :param wrong_corruption_fraction: the same for a target that answers
        wrongly.
    :param peer_factor: a target may have this many times the failures and
        corruptions of its peers.
    :param hang_factor: a request in flight counts as failed once it is this
        many times older than the lower bound of the highest latency class.
    :param default_hang_seconds: age from which a request in flight counts as
        failed while no baseline is known.
    :param max_baseline_age_seconds: latencies are compared with a baseline
        only up to this age.
    """

    threshold_nats: float = 18.0
    suspect_fraction: float = 0.33
    max_slowdown: float = 1.5
    healthy_failure_fraction: float = 0.01
    failing_failure_fraction: float = 0.5
    partly_failing_failure_fraction: float = 0.15
    healthy_corruption_fraction: float = 0.0005
    wrong_corruption_fraction: float = 0.05
    peer_factor: float = 2.0
    hang_factor: float = 4.0
    default_hang_seconds: float = 5.0
    max_baseline_age_seconds: float = 5.0


class Detector:
    """Concludes the health of one target from the requests sent to it.

    Each kind of fault (failing, partly failing, wrong answers, slowness) has
    its own cumulative sum of log-likelihood ratios (CUSUM). The expected
    values come from the settings and, once known, from the baseline, which
    is the median traffic of the service's other targets.
    """

    def __init__(self, cfg: DetectorSettings, now: float) -> None:
        """Start without evidence and without a baseline.

        :param cfg: hypotheses and thresholds of the tests.
        :param now: monotonic time in seconds.
        """
        self._cfg = cfg
        self._samples = Samples()
        self._in_flight_starts: tuple[float, ...] = ()
        self._reset_at = now
        self._baseline_at = now
        self._baseline: Baseline | None = None
        self._latency_classes: LatencyClasses | None = None
        level = cfg.threshold_nats * cfg.suspect_fraction
        self._failing_cusum = Cusum(level, now)
        self._partly_failing_cusum = Cusum(level, now)
        self._wrong_cusum = Cusum(level, now)
        self._slow_cusum = Cusum(level, now)
        self._cusums = (
            self._failing_cusum,
            self._partly_failing_cusum,
            self._wrong_cusum,
            self._slow_cusum,
        )
        self._set_hypotheses(None)

    def on_outcome(self, outcome: RequestOutcome, now: float) -> None:
        """Add the evidence of one request that ended.

        Shed load is no evidence, and neither is a request that started
        before the last reset, since a pause of this process may have
        delayed it.

        :param outcome: how the request ended.
        :param now: monotonic time in seconds.
        """
        if outcome.kind is OutcomeKind.REFUSED:
            return
        if now - outcome.latency_seconds < self._reset_at:
            return
        failed = outcome.kind in FAILURE_KINDS
        sample = Sample(
            ended_at=now,
            latency_seconds=outcome.latency_seconds,
            is_failure=failed,
            is_corruption=outcome.kind in CORRUPTION_KINDS,
            has_latency=not failed or outcome.kind is OutcomeKind.TIMEOUT,
        )
        self._samples.add(sample)
        self._add_sample(sample)

    def on_inflight(self, started: Sequence[float]) -> None:
        """Replace the list of requests in flight.

        Requests that started before the last reset are no evidence.

        :param started: start times of the requests in monotonic seconds.
        """
        self._in_flight_starts = tuple(started)

    def on_baseline(self, baseline: Baseline | None, now: float) -> None:
        """Set the baseline that the target is compared with.

        The evidence of a target that is suspected or unhealthy is computed
        again from its latest samples, with the new baseline.

        :param baseline: median of the peers' traffic, None if too few peers
            are known.
        :param now: monotonic time in seconds.
        """
        suspected = not isinstance(self.health(now), Healthy)
        self._baseline = baseline
        self._baseline_at = now
        self._set_hypotheses(baseline)
        if suspected:
            self._recompute(now)

    def reset(self, now: float) -> None:
        """Discard all evidence, for example after a pause or a restart.

        :param now: monotonic time in seconds.
        """
        self._reset_at = now
        self._samples = Samples()
        for cusum in self._cusums:
            cusum.clear(now)

    def health(self, now: float) -> Health:
        """Return the verdict on all evidence, including overdue requests.

        :param now: monotonic time in seconds.
        """
        hung = len(self._hung_ages(now))
        cause, evidence = max(
            self._findings(hung, now),
            key=lambda finding: finding[1],
        )
        if evidence >= self._cfg.threshold_nats and self._is_confirmed(cause):
            return Unhealthy(cause, evidence)
        if evidence >= self._cfg.threshold_nats * self._cfg.suspect_fraction:
            return Suspected(evidence)
        return Healthy()

    def traffic(self, now: float) -> Traffic:
        """Summarise the recent requests for the permit holder.

        :param now: monotonic time in seconds.
        """
        return self._samples.summary(self._hung_ages(now), now)

    def _findings(
        self,
        hung: int,
        now: float,
    ) -> Iterator[tuple[Cause, float]]:
        failing = self._failing_cusum.score + hung * self._failing_ratios.hit
        cause = Cause.HANGING if hung else Cause.FAILING
        yield cause, failing
        partly = (
            self._partly_failing_cusum.score
            + hung * self._partly_failing_ratios.hit
        )
        yield Cause.PARTLY_FAILING, partly
        yield Cause.WRONG, self._wrong_cusum.score
        yield Cause.SLOW, self._slow_cusum.score + self._overdue_evidence(now)

    def _is_confirmed(self, cause: Cause) -> bool:
        """Return whether the baseline is as new as the evidence.

        A slowdown that is newer than the peers' samples may affect the peers
        as well, so all of these must be newer than its onset.
        """
        if cause is not Cause.SLOW:
            return True
        if self._baseline is None:
            return False
        covered_since = self._baseline_at - self._baseline.reach_seconds
        return covered_since >= self._slow_cusum.onset_at

    def _set_hypotheses(self, baseline: Baseline | None) -> None:
        cfg = self._cfg
        failures = cfg.healthy_failure_fraction
        corruptions = cfg.healthy_corruption_fraction
        self._latency_classes = None
        if baseline is not None:
            failures = max(failures, cfg.peer_factor * baseline.failures)
            corruptions = max(
                corruptions,
                cfg.peer_factor * baseline.corruptions,
            )
            self._latency_classes = LatencyClasses(baseline, cfg.max_slowdown)
        self._failing_ratios = binary_log_ratios(
            failures, cfg.failing_failure_fraction
        )
        self._partly_failing_ratios = binary_log_ratios(
            failures, cfg.partly_failing_failure_fraction
        )
        self._wrong_ratios = binary_log_ratios(
            corruptions, cfg.wrong_corruption_fraction
        )

    def _add_sample(self, sample: Sample) -> None:
        at = sample.ended_at
        self._failing_cusum.add(
            self._failing_ratios.ratio_of(sample.is_failure), at
        )
        self._partly_failing_cusum.add(
            self._partly_failing_ratios.ratio_of(sample.is_failure), at
        )
        self._wrong_cusum.add(
            self._wrong_ratios.ratio_of(sample.is_corruption), at
        )
        if self._latency_classes is None or not sample.has_latency:
            return
        if at - self._baseline_at <= self._cfg.max_baseline_age_seconds:
            self._slow_cusum.add(
                self._latency_classes.log_ratio(sample.latency_seconds), at
            )

    def _recompute(self, now: float) -> None:
        for cusum in self._cusums:
            cusum.clear(now)
        for sample in self._samples.latest:
            self._add_sample(sample)

    def _in_flight_ages(self, now: float) -> list[float]:
        return [
            now - at for at in self._in_flight_starts if at >= self._reset_at
        ]

    def _hung_ages(self, now: float) -> list[float]:
        limit = self._cfg.default_hang_seconds
        if self._latency_classes is not None:
            limit = (
                self._cfg.hang_factor
                * self._latency_classes.highest_bound_seconds
            )
        return [age for age in self._in_flight_ages(now) if age > limit]

    def _overdue_evidence(self, now: float) -> float:
        """Return the evidence of requests in flight that are late, in nats."""
        if self._latency_classes is None:
            return 0.0
        return sum(
            map(
                self._latency_classes.overdue_log_ratio,
                self._in_flight_ages(now),
            )
        )

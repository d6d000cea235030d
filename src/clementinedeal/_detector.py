"""Sequential detection of a sick target from its owner's own traffic."""

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
    """Hypotheses and threshold of the tests.

    ``threshold`` is in nats. ``tolerance`` is how many times slower than
    its peers a healthy target may be. The shares tell a healthy target
    (``null``) from one that fails mostly, partly, or answers wrongly.
    ``hang_factor`` times the highest latency class makes a request in
    flight count as failed; ``hang_seconds`` does where peers are unknown.
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
    """Judges one target by cumulative log-likelihood ratios."""

    def __init__(self, cfg: DetectorSettings, now: float) -> None:
        """Start without evidence and without a baseline.

        :param cfg: hypotheses and threshold.
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
        """Take in the end of one request.

        Shed load is no evidence, nor is a request that was in flight when
        this process was paused.

        :param outcome: how it ended.
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

        Those that began before the last reset are no evidence.

        :param started: monotonic times in seconds of their start.
        """
        self._in_flight_starts = tuple(started)

    def on_baseline(self, baseline: Baseline | None, now: float) -> None:
        """Take in what the peers do; standing evidence is judged anew by it.

        :param baseline: the peers' traffic, if enough of them are known.
        :param now: monotonic time in seconds.
        """
        suspected = not isinstance(self.health(now), Healthy)
        self._baseline = baseline
        self._baseline_at = now
        self._set_hypotheses(baseline)
        if suspected:
            self._recompute(now)

    def reset(self, now: float) -> None:
        """Forget all evidence, as after a pause or a change of the target.

        :param now: monotonic time in seconds.
        """
        self._reset_at = now
        self._samples = Samples()
        for cusum in self._cusums:
            cusum.clear(now)

    def health(self, now: float) -> Health:
        """Return the verdict on all evidence, with what is overdue now.

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
        """Summarise recent traffic for the peers.

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
        """Whether the peers' samples are as new as the evidence."""
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
        """Evidence of requests in flight that are late already."""
        if self._latency_classes is None:
            return 0.0
        return sum(
            map(
                self._latency_classes.overdue_log_ratio,
                self._in_flight_ages(now),
            )
        )

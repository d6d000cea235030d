"""Sequential detection of a sick target from its owner's own traffic."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from clementinedeal._cusum import Cusum, odds
from clementinedeal._health import (
    CORRUPTIONS,
    FAILURES,
    Baseline,
    Cause,
    Health,
    Healthy,
    Outcome,
    OutcomeKind,
    Sick,
    Suspect,
    Traffic,
)
from clementinedeal._latency import LatencyClasses
from clementinedeal._samples import Sample, Samples


@dataclass(frozen=True, slots=True, kw_only=True)
class DetectorSettings:
    """Hypotheses and threshold of the tests.

    ``threshold`` is in nats. ``tolerance`` is how many times slower than
    its peers a healthy target may be. The shares tell a healthy target
    (``null``) from one that fails mostly, partly, or answers wrongly.
    ``hang_factor`` times the highest latency class makes a request in
    flight count as failed; ``hang_seconds`` does where peers are unknown.
    """

    threshold: float = 18.0
    suspect_ratio: float = 0.33
    tolerance: float = 1.5
    null_failures: float = 0.01
    most_failures: float = 0.5
    part_failures: float = 0.15
    null_corruptions: float = 0.0005
    part_corruptions: float = 0.05
    peer_margin: float = 2.0
    hang_factor: float = 4.0
    hang_seconds: float = 5.0
    baseline_seconds: float = 5.0


class Detector:
    """Judges one target by cumulative log-likelihood ratios."""

    def __init__(self, cfg: DetectorSettings, now: float) -> None:
        """Start without evidence and without a baseline.

        :param cfg: hypotheses and threshold.
        :param now: monotonic time in seconds.
        """
        self._cfg = cfg
        self._samples = Samples()
        self._started: tuple[float, ...] = ()
        self._resumed_at = now
        self._heard_at = now
        self._baseline: Baseline | None = None
        self._classes: LatencyClasses | None = None
        level = cfg.threshold * cfg.suspect_ratio
        self._failing = Cusum(level, now)
        self._partly = Cusum(level, now)
        self._wrong = Cusum(level, now)
        self._slow = Cusum(level, now)
        self._cusums = (self._failing, self._partly, self._wrong, self._slow)
        self._set_odds(None)

    def on_outcome(self, outcome: Outcome, now: float) -> None:
        """Take in the end of one request.

        Shed load is no evidence, nor is a request that was in flight when
        this process was paused.

        :param outcome: how it ended.
        :param now: monotonic time in seconds.
        """
        if outcome.kind is OutcomeKind.REFUSED:
            return
        if now - outcome.latency_seconds < self._resumed_at:
            return
        failed = outcome.kind in FAILURES
        sample = Sample(
            at=now,
            latency=outcome.latency_seconds,
            failed=failed,
            corrupt=outcome.kind in CORRUPTIONS,
            timed=not failed or outcome.kind is OutcomeKind.TIMEOUT,
        )
        self._samples.add(sample)
        self._score(sample)

    def on_inflight(self, started: Sequence[float]) -> None:
        """Replace the list of requests in flight.

        Those that began before the last reset are no evidence.

        :param started: monotonic times in seconds of their start.
        """
        self._started = tuple(started)

    def on_baseline(self, baseline: Baseline | None, now: float) -> None:
        """Take in what the peers do; standing evidence is judged anew by it.

        :param baseline: the peers' traffic, if enough of them are known.
        :param now: monotonic time in seconds.
        """
        suspected = not isinstance(self.health(now), Healthy)
        self._baseline = baseline
        self._heard_at = now
        self._set_odds(baseline)
        if suspected:
            self._rescore(now)

    def reset(self, now: float) -> None:
        """Forget all evidence, as after a pause or a change of the target.

        :param now: monotonic time in seconds.
        """
        self._resumed_at = now
        self._samples = Samples()
        for cusum in self._cusums:
            cusum.clear(now)

    def health(self, now: float) -> Health:
        """Return the verdict on all evidence, with what is overdue now.

        :param now: monotonic time in seconds.
        """
        hung = len(self._hung(now))
        cause, evidence = max(
            self._findings(hung, now),
            key=lambda finding: finding[1],
        )
        if evidence >= self._cfg.threshold and self._confirmed(cause):
            return Sick(cause, evidence)
        if evidence >= self._cfg.threshold * self._cfg.suspect_ratio:
            return Suspect(evidence)
        return Healthy()

    def traffic(self, now: float) -> Traffic:
        """Summarise recent traffic for the peers.

        :param now: monotonic time in seconds.
        """
        return self._samples.summary(self._hung(now), now)

    def _findings(
        self,
        hung: int,
        now: float,
    ) -> Iterator[tuple[Cause, float]]:
        failing = self._failing.score + hung * self._failing_odds.hit
        cause = Cause.HANGING if hung else Cause.FAILING
        yield cause, failing
        partly = self._partly.score + hung * self._partly_odds.hit
        yield Cause.PARTLY_FAILING, partly
        yield Cause.WRONG, self._wrong.score
        yield Cause.SLOW, self._slow.score + self._overdue(now)

    def _confirmed(self, cause: Cause) -> bool:
        """Whether the peers' samples are as new as the evidence."""
        if cause is not Cause.SLOW:
            return True
        if self._baseline is None:
            return False
        reach = self._heard_at - self._baseline.reach_seconds
        return reach >= self._slow.since

    def _set_odds(self, baseline: Baseline | None) -> None:
        cfg = self._cfg
        failures = cfg.null_failures
        corruptions = cfg.null_corruptions
        self._classes = None
        if baseline is not None:
            failures = max(failures, cfg.peer_margin * baseline.failures)
            corruptions = max(
                corruptions,
                cfg.peer_margin * baseline.corruptions,
            )
            self._classes = LatencyClasses(baseline, cfg.tolerance)
        self._failing_odds = odds(failures, cfg.most_failures)
        self._partly_odds = odds(failures, cfg.part_failures)
        self._wrong_odds = odds(corruptions, cfg.part_corruptions)

    def _score(self, sample: Sample) -> None:
        at = sample.at
        self._failing.add(self._failing_odds.of(sample.failed), at)
        self._partly.add(self._partly_odds.of(sample.failed), at)
        self._wrong.add(self._wrong_odds.of(sample.corrupt), at)
        if self._classes is None or not sample.timed:
            return
        if at - self._heard_at <= self._cfg.baseline_seconds:
            self._slow.add(self._classes.ratio(sample.latency), at)

    def _rescore(self, now: float) -> None:
        for cusum in self._cusums:
            cusum.clear(now)
        for sample in self._samples.latest:
            self._score(sample)

    def _ages(self, now: float) -> list[float]:
        return [now - at for at in self._started if at >= self._resumed_at]

    def _hung(self, now: float) -> list[float]:
        limit = self._cfg.hang_seconds
        if self._classes is not None:
            limit = self._cfg.hang_factor * self._classes.highest
        return [age for age in self._ages(now) if age > limit]

    def _overdue(self, now: float) -> float:
        """Evidence of requests in flight that are late already."""
        if self._classes is None:
            return 0.0
        return sum(map(self._classes.overdue, self._ages(now)))

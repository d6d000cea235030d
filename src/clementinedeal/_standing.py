"""Standing of one owned target: in use, ejected, tried, or leaving."""

import math

from clementinedeal._damping import Damping
from clementinedeal._detector import Detector, DetectorSettings
from clementinedeal._health import Healthy, Outcome, Sick
from clementinedeal._model import Target
from clementinedeal._permit_use import PermitUse, Reply
from clementinedeal._reports import PermitAnswer, TargetReport
from clementinedeal._target_state import (
    OUT,
    SLOW_START_SECONDS,
    Change,
    TargetEjected,
    TargetReinstated,
    TargetState,
    usable_share,
)

LONGEST_TRIAL_SECONDS = 60.0
COMPARE_SECONDS = 3.0


class Standing:
    """State machine of one target; is out only while a permit surely holds."""

    def __init__(
        self,
        target: Target,
        incarnation: int,
        cfg: DetectorSettings,
        now: float,
    ) -> None:
        """Start with the target in use.

        :param target: the owned target.
        :param incarnation: tells this life of the owner from others.
        :param cfg: settings of the detector.
        :param now: monotonic time in seconds.
        """
        self.target = target
        self.state = TargetState.IN_USE
        self.detector = Detector(cfg, now)
        self.reported_at = now
        self._permit = PermitUse(incarnation, now)
        self._damping = Damping(now)
        self._since = now
        self._compared_at = now - COMPARE_SECONDS
        self._trials = 0

    @property
    def out(self) -> bool:
        """Return whether the target is ejected."""
        return self.state in OUT

    def share(self, now: float) -> float:
        """Return the usable share of the slots, 0 to 1.

        :param now: monotonic time in seconds.
        """
        return usable_share(self.state, now - self._since)

    def on_outcome(self, outcome: Outcome, now: float) -> None:
        """Take in the end of one request.

        What was begun before an ejection says nothing about the trial.

        :param outcome: how it ended.
        :param now: monotonic time in seconds.
        """
        started = now - outcome.latency_seconds
        if self.out and started < self._since:
            return
        self._trials += 1
        self.detector.on_outcome(outcome, now)

    def report(self, asks: bool, now: float) -> TargetReport:
        """Return the next report; no two have the same sending time.

        :param asks: whether permits may be asked for at all.
        :param now: monotonic time in seconds.
        """
        sent_at = max(now, math.nextafter(self.reported_at, math.inf))
        wants = asks and self._wants(now)
        suspected = not isinstance(self.detector.health(now), Healthy)
        outdated = now - self._compared_at >= COMPARE_SECONDS
        self.reported_at = sent_at
        self._permit.on_report(wants, sent_at)
        return TargetReport(
            target=self.target.name,
            incarnation=self._permit.incarnation,
            sent_at=sent_at,
            wants=wants,
            compares=suspected or outdated,
            leaving=self.state is TargetState.LEAVING,
            traffic=self.detector.traffic(now),
        )

    def on_answer(self, answer: PermitAnswer, now: float) -> list[Change]:
        """Take in an answer; one to a report that is void is ignored.

        :param answer: what the holder says.
        :param now: monotonic time in seconds.
        """
        reply = self._permit.on_answer(answer, now)
        if reply is not Reply.VOID:
            self._compared_at = answer.sent_at
            self.detector.on_baseline(answer.baseline, answer.sent_at)
        if reply is Reply.REFUSED:
            return self.reinstate(now)
        if reply is Reply.GRANTED and self.state is TargetState.REQUESTING:
            return self._eject(now)
        return []

    def on_tick(self, now: float) -> list[Change]:
        """Let time pass.

        :param now: monotonic time in seconds.
        """
        if self.out and not self._permit.holds(now):
            return self.reinstate(now)
        if self.state is TargetState.TRIAL:
            return self._judge_trial(now)
        elapsed = now - self._since
        if self.state is TargetState.EJECTED:
            if elapsed >= self._damping.hold_seconds:
                self._trials = 0
                self.detector.reset(now)
                self._enter(TargetState.TRIAL, now)
        elif self.state is TargetState.SLOW_START:
            if elapsed >= SLOW_START_SECONDS:
                self._enter(TargetState.IN_USE, now)
        elif self.state is TargetState.IN_USE:
            self._damping.on_good(now)
        return []

    def reinstate(self, now: float) -> list[Change]:
        """Use the target again at once, with the evidence kept.

        :param now: monotonic time in seconds.
        """
        self._permit.drop(now)
        return self._return(TargetState.IN_USE, now)

    def begin_anew(self, state: TargetState, now: float) -> list[Change]:
        """Drop the permit and all evidence.

        :param state: the state to be in, not an ejected one.
        :param now: monotonic time in seconds.
        """
        self.detector.reset(now)
        self._permit.drop(now)
        changes = self._return(state, now)
        self._enter(state, now)
        return changes

    def on_leaving(self, now: float) -> None:
        """Give the target no new work; it drains.

        :param now: monotonic time in seconds.
        """
        self._enter(TargetState.LEAVING, now)

    def _wants(self, now: float) -> bool:
        if self.out or self.state is TargetState.LEAVING:
            return self.out
        sick = isinstance(self.detector.health(now), Sick)
        if sick:
            self._enter(TargetState.REQUESTING, now)
        elif self.state is TargetState.REQUESTING:
            self._enter(TargetState.IN_USE, now)
        return sick

    def _eject(self, now: float) -> list[Change]:
        """Act on a first grant if the newest baseline confirms the cause."""
        verdict = self.detector.health(now)
        if not isinstance(verdict, Sick):
            return []
        self._damping.on_ejection(now)
        self._enter(TargetState.EJECTED, now)
        return [TargetEjected(self.target.name, verdict.cause)]

    def _judge_trial(self, now: float) -> list[Change]:
        if not isinstance(self.detector.health(now), Healthy):
            self._damping.on_ejection(now)
            self._enter(TargetState.EJECTED, now)
            return []
        enough = self._trials >= self._damping.trials
        if enough or now - self._since >= LONGEST_TRIAL_SECONDS:
            self._permit.drop(now)
            return self._return(TargetState.SLOW_START, now)
        return []

    def _return(self, state: TargetState, now: float) -> list[Change]:
        if not self.out:
            return []
        self._enter(state, now)
        return [TargetReinstated(self.target.name)]

    def _enter(self, state: TargetState, now: float) -> None:
        if state is not self.state:
            self._since = now
        self.state = state

"""Standing of one owned target: in use, ejected, tried, or leaving."""

import math

from clementinedeal._borrowed_permit import BorrowedPermit, PermitReply
from clementinedeal._detector import Detector, DetectorSettings
from clementinedeal._ejection_backoff import EjectionBackoff
from clementinedeal._model import Target
from clementinedeal._permit_messages import PermitAnswer, TargetReport
from clementinedeal._target_health import Healthy, RequestOutcome, Unhealthy
from clementinedeal._target_state import (
    EJECTED_STATES,
    SLOW_START_SECONDS,
    TargetChange,
    TargetEjected,
    TargetReinstated,
    TargetState,
    usable_fraction_in,
)

MAX_TRIAL_SECONDS = 60.0
BASELINE_INTERVAL_SECONDS = 3.0


class TargetTracker:
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
        self._permit = BorrowedPermit(incarnation, now)
        self._backoff = EjectionBackoff(now)
        self._entered_at = now
        self._baseline_sent_at = now - BASELINE_INTERVAL_SECONDS
        self._trial_requests = 0

    @property
    def is_ejected(self) -> bool:
        """Return whether the target is ejected."""
        return self.state in EJECTED_STATES

    def usable_fraction(self, now: float) -> float:
        """Return the usable share of the slots, 0 to 1.

        :param now: monotonic time in seconds.
        """
        return usable_fraction_in(self.state, now - self._entered_at)

    def on_outcome(self, outcome: RequestOutcome, now: float) -> None:
        """Take in the end of one request.

        What was begun before an ejection says nothing about the trial.

        :param outcome: how it ended.
        :param now: monotonic time in seconds.
        """
        started = now - outcome.latency_seconds
        if self.is_ejected and started < self._entered_at:
            return
        self._trial_requests += 1
        self.detector.on_outcome(outcome, now)

    def build_report(self, may_request: bool, now: float) -> TargetReport:
        """Return the next report; no two have the same sending time.

        :param asks: whether permits may be asked for at all.
        :param now: monotonic time in seconds.
        """
        sent_at = max(now, math.nextafter(self.reported_at, math.inf))
        wants = may_request and self._wants_permit(now)
        suspected = not isinstance(self.detector.health(now), Healthy)
        outdated = now - self._baseline_sent_at >= BASELINE_INTERVAL_SECONDS
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

    def on_answer(self, answer: PermitAnswer, now: float) -> list[TargetChange]:
        """Take in an answer; one to a report that is void is ignored.

        :param answer: what the holder says.
        :param now: monotonic time in seconds.
        """
        reply = self._permit.on_answer(answer, now)
        if reply is not PermitReply.VOID:
            self._baseline_sent_at = answer.sent_at
            self.detector.on_baseline(answer.baseline, answer.sent_at)
        if reply is PermitReply.REFUSED:
            return self.reinstate(now)
        if (
            reply is PermitReply.GRANTED
            and self.state is TargetState.REQUESTING
        ):
            return self._eject_if_confirmed(now)
        return []

    def on_tick(self, now: float) -> list[TargetChange]:
        """Let time pass.

        :param now: monotonic time in seconds.
        """
        if self.is_ejected and not self._permit.is_held(now):
            return self.reinstate(now)
        if self.state is TargetState.TRIAL:
            return self._check_trial(now)
        elapsed = now - self._entered_at
        if self.state is TargetState.EJECTED:
            if elapsed >= self._backoff.hold_seconds:
                self._trial_requests = 0
                self.detector.reset(now)
                self._enter(TargetState.TRIAL, now)
        elif self.state is TargetState.SLOW_START:
            if elapsed >= SLOW_START_SECONDS:
                self._enter(TargetState.IN_USE, now)
        elif self.state is TargetState.IN_USE:
            self._backoff.on_in_use(now)
        return []

    def reinstate(self, now: float) -> list[TargetChange]:
        """Use the target again at once, with the evidence kept.

        :param now: monotonic time in seconds.
        """
        self._permit.drop(now)
        return self._leave_ejection(TargetState.IN_USE, now)

    def reset_to(self, state: TargetState, now: float) -> list[TargetChange]:
        """Drop the permit and all evidence.

        :param state: the state to be in, not an ejected one.
        :param now: monotonic time in seconds.
        """
        self.detector.reset(now)
        self._permit.drop(now)
        changes = self._leave_ejection(state, now)
        self._enter(state, now)
        return changes

    def on_leaving(self, now: float) -> None:
        """Give the target no new work; it drains.

        :param now: monotonic time in seconds.
        """
        self._enter(TargetState.LEAVING, now)

    def _wants_permit(self, now: float) -> bool:
        if self.is_ejected or self.state is TargetState.LEAVING:
            return self.is_ejected
        is_unhealthy = isinstance(self.detector.health(now), Unhealthy)
        if is_unhealthy:
            self._enter(TargetState.REQUESTING, now)
        elif self.state is TargetState.REQUESTING:
            self._enter(TargetState.IN_USE, now)
        return is_unhealthy

    def _eject_if_confirmed(self, now: float) -> list[TargetChange]:
        """Act on a first grant if the newest baseline confirms the cause."""
        verdict = self.detector.health(now)
        if not isinstance(verdict, Unhealthy):
            return []
        self._backoff.on_ejection(now)
        self._enter(TargetState.EJECTED, now)
        return [TargetEjected(self.target.name, verdict.cause)]

    def _check_trial(self, now: float) -> list[TargetChange]:
        if not isinstance(self.detector.health(now), Healthy):
            self._backoff.on_ejection(now)
            self._enter(TargetState.EJECTED, now)
            return []
        enough = self._trial_requests >= self._backoff.trial_requests
        if enough or now - self._entered_at >= MAX_TRIAL_SECONDS:
            self._permit.drop(now)
            return self._leave_ejection(TargetState.SLOW_START, now)
        return []

    def _leave_ejection(
        self, state: TargetState, now: float
    ) -> list[TargetChange]:
        if not self.is_ejected:
            return []
        self._enter(state, now)
        return [TargetReinstated(self.target.name)]

    def _enter(self, state: TargetState, now: float) -> None:
        if state is not self.state:
            self._entered_at = now
        self.state = state

"""State machine of one owned target: in use, ejected, on trial or leaving."""

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

# A trial that gets too few requests ends after this time.
MAX_TRIAL_SECONDS = 60.0
# How often the baseline is requested for a target that is not suspected.
BASELINE_INTERVAL_SECONDS = 3.0


class TargetTracker:
    """Decides from evidence and permits whether a target is ejected.

    The owner of a target runs one tracker for it. Invariant: after each
    ``on_tick`` the target is ejected or on trial only if a permit is held.
    """

    def __init__(
        self,
        target: Target,
        incarnation: int,
        detector_settings: DetectorSettings,
        now: float,
    ) -> None:
        """Start with the target in use.

        :param target: the owned target.
        :param incarnation: distinguishes this run of the owner from others.
        :param detector_settings: settings of the detector.
        :param now: monotonic time in seconds.
        """
        self.target = target
        self.state = TargetState.IN_USE
        self.detector = Detector(detector_settings, now)
        self.reported_at = now
        self._permit = BorrowedPermit(incarnation, now)
        self._backoff = EjectionBackoff(now)
        self._entered_at = now
        self._baseline_sent_at = now - BASELINE_INTERVAL_SECONDS
        self._trial_requests = 0

    @property
    def is_ejected(self) -> bool:
        """Return whether the target is ejected or on trial."""
        return self.state in EJECTED_STATES

    def usable_fraction(self, now: float) -> float:
        """Return the usable fraction of the target's slots, 0 to 1.

        :param now: monotonic time in seconds.
        """
        return usable_fraction_in(self.state, now - self._entered_at)

    def on_outcome(self, outcome: RequestOutcome, now: float) -> None:
        """Handle the end of a request.

        While the target is ejected or on trial, requests that started before
        that state was entered are ignored.

        :param outcome: how the request ended.
        :param now: monotonic time in seconds.
        """
        started = now - outcome.latency_seconds
        if self.is_ejected and started < self._entered_at:
            return
        self._trial_requests += 1
        self.detector.on_outcome(outcome, now)

    def build_report(self, may_request: bool, now: float) -> TargetReport:
        """Return the next report; no two have the same sending time.

        Asking for a permit moves the target to ``REQUESTING``.

        :param may_request: whether this daemon may ask for permits now.
        :param now: monotonic time in seconds.
        """
        sent_at = max(now, math.nextafter(self.reported_at, math.inf))
        wants = may_request and self._wants_permit(now)
        is_suspected = not isinstance(self.detector.health(now), Healthy)
        is_outdated = now - self._baseline_sent_at >= BASELINE_INTERVAL_SECONDS
        self.reported_at = sent_at
        self._permit.on_report(wants, sent_at)
        return TargetReport(
            target=self.target.name,
            incarnation=self._permit.incarnation,
            sent_at=sent_at,
            wants=wants,
            compares=is_suspected or is_outdated,
            leaving=self.state is TargetState.LEAVING,
            traffic=self.detector.traffic(now),
        )

    def on_answer(self, answer: PermitAnswer, now: float) -> list[TargetChange]:
        """Handle the permit holder's answer to a report.

        Answers to reports that are no longer pending are ignored.

        :param answer: the answer.
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
        """Apply the changes of state that are due.

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
        """Give up the permit and use the target again; keep the evidence.

        :param now: monotonic time in seconds.
        """
        self._permit.drop(now)
        return self._leave_ejection(TargetState.IN_USE, now)

    def reset_to(self, state: TargetState, now: float) -> list[TargetChange]:
        """Give up the permit, discard all evidence and enter a state.

        :param state: the state to enter, neither ejected nor on trial.
        :param now: monotonic time in seconds.
        """
        self.detector.reset(now)
        self._permit.drop(now)
        changes = self._leave_ejection(state, now)
        self._enter(state, now)
        return changes

    def on_leaving(self, now: float) -> None:
        """Enter ``LEAVING``: the target drains and takes no new requests.

        :param now: monotonic time in seconds.
        """
        self._enter(TargetState.LEAVING, now)

    def _wants_permit(self, now: float) -> bool:
        """Return whether to ask for a permit; enter or leave ``REQUESTING``."""
        if self.is_ejected or self.state is TargetState.LEAVING:
            return self.is_ejected
        is_unhealthy = isinstance(self.detector.health(now), Unhealthy)
        if is_unhealthy:
            self._enter(TargetState.REQUESTING, now)
        elif self.state is TargetState.REQUESTING:
            self._enter(TargetState.IN_USE, now)
        return is_unhealthy

    def _eject_if_confirmed(self, now: float) -> list[TargetChange]:
        """Eject the target if it is still unhealthy by the newest baseline."""
        health = self.detector.health(now)
        if not isinstance(health, Unhealthy):
            return []
        self._backoff.on_ejection(now)
        self._enter(TargetState.EJECTED, now)
        return [TargetEjected(self.target.name, health.cause)]

    def _check_trial(self, now: float) -> list[TargetChange]:
        if not isinstance(self.detector.health(now), Healthy):
            self._backoff.on_ejection(now)
            self._enter(TargetState.EJECTED, now)
            return []
        has_enough = self._trial_requests >= self._backoff.trial_requests
        if has_enough or now - self._entered_at >= MAX_TRIAL_SECONDS:
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

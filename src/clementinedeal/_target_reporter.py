"""Decides when an owner reports on a target, and to which instance."""

from clementinedeal._messages import Send
from clementinedeal._model import Config
from clementinedeal._permits import holder_of
from clementinedeal._target_health import Healthy, Unhealthy
from clementinedeal._target_state import TargetState
from clementinedeal._target_tracker import TargetTracker

REPORT_INTERVAL_SECONDS = 1.0
SUSPECT_REPORT_INTERVAL_SECONDS = 0.25


class TargetReporter:
    """Sends an owner's reports to the permit holder of the target's service.

    A report is due once a second, four times a second for a suspected target,
    and at once when a target becomes unhealthy and permits may be requested.
    """

    def __init__(self, cfg: Config) -> None:
        """Start with a view that is not fresh.

        :param cfg: the configuration in force.
        """
        self.is_fresh = False
        self.on_config(cfg)

    def on_config(self, cfg: Config) -> None:
        """Apply a new configuration.

        :param cfg: the configuration.
        """
        self._cfg = cfg
        services = {target.service for target in cfg.targets.values()}
        self._holders: dict[str, str | None] = dict.fromkeys(services)

    def report_if_due(self, tracker: TargetTracker, now: float) -> list[Send]:
        """Return a report on a target if one is due.

        :param tracker: state of the target.
        :param now: monotonic time in seconds.
        """
        elapsed = now - tracker.reported_at
        if elapsed >= REPORT_INTERVAL_SECONDS:
            return self.report_now(tracker, now)
        if tracker.is_ejected or tracker.state is TargetState.LEAVING:
            return []
        health = tracker.detector.health(now)
        is_suspected = not isinstance(health, Healthy)
        if is_suspected and elapsed >= SUSPECT_REPORT_INTERVAL_SECONDS:
            return self.report_now(tracker, now)
        has_requested = tracker.state is TargetState.REQUESTING
        if (
            isinstance(health, Unhealthy)
            and self._may_request_permits()
            and not has_requested
        ):
            return self.report_now(tracker, now)
        return []

    def report_now(self, tracker: TargetTracker, now: float) -> list[Send]:
        """Return a report on a target.

        There is none while the target is ejected and no permits may be
        requested: a report that doesn't ask for the permit returns it.

        :param tracker: state of the target.
        :param now: monotonic time in seconds.
        """
        may_request = self._may_request_permits()
        if tracker.is_ejected and not may_request:
            return []
        holder = self._find_holder(tracker.target.service)
        if holder is None:
            return []
        return [Send(holder, tracker.build_report(may_request, now))]

    def _may_request_permits(self) -> bool:
        return self.is_fresh and self._cfg.active_preset.ejection

    def _find_holder(self, service: str) -> str | None:
        holder = self._holders.get(service)
        if holder is None:
            holder = holder_of(self._cfg, service)
            self._holders[service] = holder
        return holder

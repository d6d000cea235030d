"""When an owner reports on its targets, and to whom."""

from clementinedeal._messages import Send
from clementinedeal._model import Config
from clementinedeal._permits import holder_of
from clementinedeal._target_health import Healthy, Unhealthy
from clementinedeal._target_state import TargetState
from clementinedeal._target_tracker import TargetTracker

REPORT_INTERVAL_SECONDS = 1.0
SUSPECT_REPORT_INTERVAL_SECONDS = 0.25


class TargetReporter:
    """Paces reports.

    Once a second, four times for a suspected target, at once for one that
    is newly held sick.
    """

    def __init__(self, cfg: Config) -> None:
        """Start in a view that is not fresh.

        :param cfg: the configuration in force.
        """
        self.is_fresh = False
        self.on_config(cfg)

    def on_config(self, cfg: Config) -> None:
        """Take a new configuration into force.

        :param cfg: the configuration.
        """
        self._cfg = cfg
        services = {target.service for target in cfg.targets.values()}
        self._holders: dict[str, str | None] = dict.fromkeys(services)

    def report_if_due(self, tracker: TargetTracker, now: float) -> list[Send]:
        """Report on a target if it is time.

        :param standing: the target's standing.
        :param now: monotonic time in seconds.
        """
        elapsed = now - tracker.reported_at
        if elapsed >= REPORT_INTERVAL_SECONDS:
            return self.report_now(tracker, now)
        if tracker.is_ejected or tracker.state is TargetState.LEAVING:
            return []
        health = tracker.detector.health(now)
        suspected = not isinstance(health, Healthy)
        if suspected and elapsed >= SUSPECT_REPORT_INTERVAL_SECONDS:
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
        """Report, unless that would give back a permit that is in use.

        :param standing: the target's standing.
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
        return self.is_fresh and self._cfg.active.ejection

    def _find_holder(self, service: str) -> str | None:
        holder = self._holders.get(service)
        if holder is None:
            holder = holder_of(self._cfg, service)
            self._holders[service] = holder
        return holder

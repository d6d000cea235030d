"""When an owner reports on its targets, and to whom."""

from clementinedeal._health import Healthy, Sick
from clementinedeal._messages import Send
from clementinedeal._model import Config
from clementinedeal._permits import holder_of
from clementinedeal._standing import Standing
from clementinedeal._target_state import TargetState

REPORT_SECONDS = 1.0
SUSPECT_REPORT_SECONDS = 0.25


class Reporter:
    """Paces reports.

    Once a second, four times for a suspected target, at once for one that
    is newly held sick.
    """

    def __init__(self, cfg: Config) -> None:
        """Start in a view that is not fresh.

        :param cfg: the configuration in force.
        """
        self.fresh = False
        self.on_config(cfg)

    def on_config(self, cfg: Config) -> None:
        """Take a new configuration into force.

        :param cfg: the configuration.
        """
        self._cfg = cfg
        services = {target.service for target in cfg.targets.values()}
        self._holders: dict[str, str | None] = dict.fromkeys(services)

    def if_due(self, standing: Standing, now: float) -> list[Send]:
        """Report on a target if it is time.

        :param standing: the target's standing.
        :param now: monotonic time in seconds.
        """
        elapsed = now - standing.reported_at
        if elapsed >= REPORT_SECONDS:
            return self.at_once(standing, now)
        if standing.out or standing.state is TargetState.LEAVING:
            return []
        health = standing.detector.health(now)
        suspected = not isinstance(health, Healthy)
        if suspected and elapsed >= SUSPECT_REPORT_SECONDS:
            return self.at_once(standing, now)
        asked = standing.state is TargetState.REQUESTING
        if isinstance(health, Sick) and self._asks() and not asked:
            return self.at_once(standing, now)
        return []

    def at_once(self, standing: Standing, now: float) -> list[Send]:
        """Report, unless that would give back a permit that is in use.

        :param standing: the target's standing.
        :param now: monotonic time in seconds.
        """
        asks = self._asks()
        if standing.out and not asks:
            return []
        holder = self._holder(standing.target.service)
        if holder is None:
            return []
        return [Send(holder, standing.report(asks, now))]

    def _asks(self) -> bool:
        return self.fresh and self._cfg.active.ejection

    def _holder(self, service: str) -> str | None:
        holder = self._holders.get(service)
        if holder is None:
            holder = holder_of(self._cfg, service)
            self._holders[service] = holder
        return holder

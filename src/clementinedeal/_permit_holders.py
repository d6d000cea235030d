"""The permit holders that run in one daemon."""

from clementinedeal._messages import Send
from clementinedeal._model import Config
from clementinedeal._permit_messages import TargetReport
from clementinedeal._permits import PermitHolder


class PermitHolders:
    """One holder for each service of which this instance owns a target."""

    def __init__(self, me: str, cfg: Config) -> None:
        """Start without holders, in a view that is not fresh.

        :param me: name of this instance.
        :param cfg: the configuration in force.
        """
        self._me = me
        self._cfg = cfg
        self._fresh = False
        self._absent: frozenset[str] = frozenset()
        self._holders: dict[str, PermitHolder] = {}

    def on_config(self, cfg: Config, services: set[str], now: float) -> None:
        """Take a new configuration into force.

        :param cfg: the configuration.
        :param services: services of which a target is owned here.
        :param now: monotonic time in seconds.
        """
        self._cfg = cfg
        former = self._holders
        self._holders = {}
        for service in sorted(services):
            holder = former.get(service) or self._create(service, now)
            holder.on_config(cfg, now)
            self._holders[service] = holder

    def on_report(
        self,
        sender: str,
        report: TargetReport,
        now: float,
    ) -> list[Send]:
        """Answer a report; one on a target unknown here is ignored.

        :param sender: name of the instance it came from.
        :param report: what its owner says of a target.
        :param now: monotonic time in seconds.
        """
        target = self._cfg.targets.get(report.target)
        holder = self._holders.get(target.service) if target else None
        return holder.on_message(sender, report, now) if holder else []

    def on_tick(self, now: float) -> None:
        """Note that this daemon is awake.

        :param now: monotonic time in seconds.
        """
        for holder in self._holders.values():
            holder.on_tick(now)

    def on_pause(self, now: float) -> None:
        """Lend nothing until other views have settled.

        :param now: monotonic time in seconds.
        """
        for holder in self._holders.values():
            holder.on_pause(now)

    def set_fresh(self, fresh: bool, now: float) -> None:
        """Tell whether this daemon's view is fresh.

        :param fresh: true while it is.
        :param now: monotonic time in seconds.
        """
        self._fresh = fresh
        for holder in self._holders.values():
            holder.set_fresh(fresh, now)

    def set_absent(self, targets: frozenset[str], now: float) -> None:
        """Tell which targets are known dead or leaving.

        :param targets: their names.
        :param now: monotonic time in seconds.
        """
        self._absent = targets
        for holder in self._holders.values():
            holder.set_absent(targets, now)

    def stop(self, now: float) -> None:
        """Lend nothing any more.

        :param now: monotonic time in seconds.
        """
        for holder in self._holders.values():
            holder.stop(now)

    def _create(self, service: str, now: float) -> PermitHolder:
        holder = PermitHolder(service, self._me, self._cfg, now)
        holder.set_absent(self._absent, now)
        holder.set_fresh(self._fresh, now)
        return holder

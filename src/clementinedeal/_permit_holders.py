"""The permit holders that run in one daemon."""

from clementinedeal._messages import Send
from clementinedeal._model import Config
from clementinedeal._permit_messages import TargetReport
from clementinedeal._permits import PermitHolder


class PermitHolders:
    """Runs a permit holder for each service of which a target is owned here.

    Only one instance lends permits of a service: ``holder_of`` names it. The
    holders in other instances lend none.
    """

    def __init__(self, me: str, cfg: Config) -> None:
        """Start without holders and with a view that is not fresh.

        :param me: name of this instance.
        :param cfg: the configuration in force.
        """
        self._me = me
        self._cfg = cfg
        self._is_fresh = False
        self._absent: frozenset[str] = frozenset()
        self._holders: dict[str, PermitHolder] = {}

    def on_config(self, cfg: Config, services: set[str], now: float) -> None:
        """Apply a new configuration.

        :param cfg: the configuration.
        :param services: names of the services of which a target is owned here.
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
        """Answer a report; ignore one on a target that is unknown here.

        :param sender: name of the instance that sent the report.
        :param report: an owner's report on a target.
        :param now: monotonic time in seconds.
        """
        target = self._cfg.targets.get(report.target)
        holder = self._holders.get(target.service) if target else None
        return holder.on_message(sender, report, now) if holder else []

    def on_tick(self, now: float) -> None:
        """Record that this daemon is running.

        :param now: monotonic time in seconds.
        """
        for holder in self._holders.values():
            holder.on_tick(now)

    def on_pause(self, now: float) -> None:
        """Lend nothing for ``SETTLE_SECONDS`` after a pause.

        :param now: monotonic time in seconds.
        """
        for holder in self._holders.values():
            holder.on_pause(now)

    def set_fresh(self, is_fresh: bool, now: float) -> None:
        """Set whether this daemon's view of the fleet is fresh.

        :param is_fresh: whether the view is fresh.
        :param now: monotonic time in seconds.
        """
        self._is_fresh = is_fresh
        for holder in self._holders.values():
            holder.set_fresh(is_fresh, now)

    def set_absent(self, targets: frozenset[str], now: float) -> None:
        """Set the targets that are known to be dead or leaving.

        :param targets: their names.
        :param now: monotonic time in seconds.
        """
        self._absent = targets
        for holder in self._holders.values():
            holder.set_absent(targets, now)

    def stop(self, now: float) -> None:
        """Lend no more permits.

        :param now: monotonic time in seconds.
        """
        for holder in self._holders.values():
            holder.stop(now)

    def _create(self, service: str, now: float) -> PermitHolder:
        holder = PermitHolder(service, self._me, self._cfg, now)
        holder.set_absent(self._absent, now)
        holder.set_fresh(self._is_fresh, now)
        return holder

"""Status and gauges that a daemon reports to operators."""

from clementinedeal._control import ControlChannel
from clementinedeal._directory import Directory
from clementinedeal._managers import ManagerContext, Managers
from clementinedeal._model import Target
from clementinedeal._operator import DaemonStatus, TargetStatus
from clementinedeal._owner import Owner
from clementinedeal._platform import HttpPlatform


class StatusReporter:
    """Collects the daemon's status and gauges from its parts.

    The daemon sets ``is_listening``, ``is_draining``, ``managers`` and
    ``owner``; the last two are None until a configuration is in force.
    ``rejection`` holds the last rejected configuration version and the
    reason, or is empty.
    """

    def __init__(self, shared: ManagerContext, directory: Directory) -> None:
        """Create a reporter.

        :param shared: provides settings, clock, events, metrics, fleet view.
        :param directory: provides the configuration in force.
        """
        self.is_listening = False
        self.is_draining = False
        self.rejection = ''
        self.managers: Managers | None = None
        self.owner: Owner | None = None
        self._shared = shared
        self._directory = directory

    def describe_target(self, name: str) -> tuple[float, str]:
        """Return load and state of an owned target.

        :param name: name of the target.
        :return: requests per slot, and the state's name.
        """
        if self.managers is None:
            return 0, 'unknown'
        state = self.managers.target_watcher.state(name)
        return self.managers.slot_gate.load(name), state

    def status(self) -> DaemonStatus:
        """Return the daemon's status."""
        cfg = self._directory.cfg
        shared = self._shared
        now = shared.clock.now()
        instances = cfg.instances if cfg else ()
        alive = sum(shared.fleet.is_alive(name, now) for name in instances)
        return DaemonStatus(
            instance=shared.settings.instance,
            incarnation=shared.events.incarnation,
            zone=shared.settings.zone,
            serving=self.is_listening and not self.is_draining,
            draining=self.is_draining,
            config_version=cfg.version if cfg else 0,
            preset=cfg.preset.value if cfg else '',
            fresh=shared.fleet.is_fresh(now),
            rejected=self.rejection,
            alive_instances=alive,
            targets=tuple(
                self._target_status(target)
                for target in self._directory.owned_targets()
            ),
        )

    def update_gauges(
        self,
        control: ControlChannel,
        platform: HttpPlatform,
    ) -> None:
        """Set all gauges to their current values.

        :param control: provides the counters of control traffic.
        :param platform: provides the number of platform reads.
        """
        metrics = self._shared.metrics
        status = self.status()
        counters = control.counters
        metrics.config_version.set(status.config_version)
        metrics.fresh.set(status.fresh)
        now = self._shared.clock.now()
        metrics.config_age.set(self._shared.fleet.config_age_seconds(now))
        metrics.in_flight.set(self.owner.in_flight if self.owner else 0)
        metrics.control_bytes.set(
            counters.bytes_sent + counters.bytes_received,
        )
        metrics.control_messages.set(
            counters.batches_sent + counters.batches_received,
        )
        metrics.platform_reads.set(platform.read_count)
        metrics.target_state.clear()
        for target in status.targets:
            metrics.target_load.labels(target.name).set(target.load)
            metrics.target_state.labels(target.name, target.state).set(1)

    def _target_status(self, target: Target) -> TargetStatus:
        load, state = self.describe_target(target.name)
        return TargetStatus(
            name=target.name,
            service=target.service,
            state=state,
            load=load,
        )

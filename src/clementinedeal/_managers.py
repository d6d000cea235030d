"""The managers of a daemon: tokens, slots, idempotency keys and ejection.

They decide and return actions, and need a configuration to be built.
"""

from dataclasses import dataclass

from clementinedeal._dispatch import Dispatcher
from clementinedeal._ejection import EjectionManager
from clementinedeal._events import EventLog, wall_ms
from clementinedeal._hub import Hub
from clementinedeal._idempotency import IdempotencyManager
from clementinedeal._idempotency_gate import KeyGate
from clementinedeal._metrics import Metrics
from clementinedeal._model import Config, Target
from clementinedeal._settings import DaemonSettings
from clementinedeal._slot_gate import QueuedSlotGate
from clementinedeal._target_state import (
    TargetEjected,
    TargetReinstated,
    TargetState,
)
from clementinedeal._target_watcher import TargetWatcher
from clementinedeal._timers import Clock
from clementinedeal._token_gate import ManagedTokenGate
from clementinedeal._tokens import TokenManager
from clementinedeal._views import FleetView

# Intervals at which the daemon calls its managers.
QUEUE_TICK_SECONDS = 0.05
EJECTION_TICK_SECONDS = 0.1
IDEMPOTENCY_TICK_SECONDS = 0.25
ABSENCE_CHECK_SECONDS = 0.5
FRESHNESS_CHECK_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class ManagerContext:
    """The parts of a daemon that its managers share.

    ``fleet`` provides the state of instances and configuration versions.
    """

    settings: DaemonSettings
    clock: Clock
    hub: Hub
    dispatcher: Dispatcher
    events: EventLog
    metrics: Metrics
    fleet: FleetView


class Managers:
    """The managers of a daemon, subscribed to its hub.

    Built when the first configuration comes into force. Later ones reach the
    managers through the hub.
    """

    def __init__(self, context: ManagerContext, cfg: Config) -> None:
        """Build the managers and subscribe them to the hub.

        :param context: the parts that they share.
        :param cfg: the first configuration.
        """
        self._context = context
        self._cfg = cfg
        self._service_targets = self._find_service_targets()
        now = context.clock.now()
        me = context.settings.instance
        self.ejection = EjectionManager(
            me,
            cfg,
            now,
            incarnation=context.fleet.incarnation(me),
        )
        idempotency = IdempotencyManager(me, cfg, now, wall_ms=wall_ms)
        idempotency.set_fresh(context.fleet.is_fresh(now), now)
        self.key_gate = KeyGate(idempotency, context.dispatcher, context.clock)
        self.target_watcher = TargetWatcher(
            context.clock,
            self.ejection,
            context.dispatcher,
            context.metrics,
        )
        token_manager = TokenManager(
            me,
            cfg,
            now,
            incarnation=context.fleet.incarnation(me),
            config_age_seconds=context.fleet.config_age_seconds(now),
        )
        self.token_gate = ManagedTokenGate(
            token_manager,
            context.dispatcher,
            context.clock,
            context.metrics,
        )
        self.holders = token_manager.holders
        self.slot_gate = QueuedSlotGate(
            me, cfg, context.clock, self.ejection.usable_fraction
        )
        self._subscribe_ejection(context.hub)
        self._subscribe_tokens(context.hub, token_manager)
        self._subscribe_idempotency(context.hub, idempotency)
        context.dispatcher.register(TargetEjected, self._on_ejected)
        context.dispatcher.register(TargetReinstated, self._on_reinstated)

    def _subscribe_ejection(self, hub: Hub) -> None:
        manager = self.ejection
        hub.on_message.append(manager.on_message)
        hub.every(EJECTION_TICK_SECONDS, self.target_watcher.report_in_flight)
        hub.every(ABSENCE_CHECK_SECONDS, self._update_absent)
        hub.every(EJECTION_TICK_SECONDS, manager.on_tick)
        hub.every(QUEUE_TICK_SECONDS, self.slot_gate.on_tick)
        hub.on_config.append(self._on_config)
        hub.on_config.append(manager.on_config)
        hub.on_config.append(self.slot_gate.on_config)
        hub.on_pause.append(manager.on_pause)
        hub.on_fresh.append(manager.set_fresh)
        hub.on_stop.append(manager.stop)

    def leaving_targets(self) -> tuple[Target, ...]:
        """Return the owned targets that are leaving and get no new work."""
        me = self._context.settings.instance
        return tuple(
            target
            for target in self._service_targets
            if target.instance == me
            and self.ejection.state(target.name) is TargetState.LEAVING
        )

    def mark_returned(self, target: str) -> None:
        """Use a target again that was leaving and has restarted.

        :param target: name of an owned target.
        """
        now = self._context.clock.now()
        self._context.dispatcher.perform(
            self.ejection.on_restarted(target, now)
        )
        self._context.events.emit('target-back', target=target)

    def _subscribe_tokens(self, hub: Hub, manager: TokenManager) -> None:
        hub.on_message.append(manager.on_message)
        hub.every(QUEUE_TICK_SECONDS, manager.on_tick)
        fleet = self._context.fleet
        hub.on_config.append(
            lambda cfg, now: manager.on_config(
                cfg, now, fleet.config_age_seconds(now)
            ),
        )
        hub.on_pause.append(manager.on_pause)
        # The token manager also detects pauses by itself and then uses no
        # shares until its freshness is set again. ``Hub.on_fresh`` reports
        # only changes, so the freshness is set periodically.
        hub.every(
            FRESHNESS_CHECK_SECONDS,
            lambda now: manager.set_fresh(fleet.is_fresh(now), now),
        )
        hub.on_stop.append(manager.stop)

    def _subscribe_idempotency(
        self,
        hub: Hub,
        manager: IdempotencyManager,
    ) -> None:
        hub.on_message.append(manager.on_message)
        hub.every(IDEMPOTENCY_TICK_SECONDS, manager.on_tick)
        hub.on_config.append(manager.on_config)
        hub.on_pause.append(manager.on_pause)
        hub.on_fresh.append(manager.set_fresh)
        hub.on_stop.append(manager.stop)

    def _on_config(self, cfg: Config, now: float) -> None:
        self._cfg = cfg
        self._service_targets = self._find_service_targets()

    def _on_ejected(self, change: TargetEjected) -> None:
        self.slot_gate.reject_waiting(change.target)
        self._context.metrics.ejections.labels(
            change.target,
            change.cause.value,
        ).inc()
        self._context.events.emit(
            'target-ejected',
            target=change.target,
            cause=change.cause.value,
        )

    def _on_reinstated(self, change: TargetReinstated) -> None:
        self._context.events.emit('target-reinstated', target=change.target)

    def _find_service_targets(self) -> tuple[Target, ...]:
        """Return all targets of the services that have an owned target."""
        me = self._context.settings.instance
        targets = self._cfg.targets.values()
        services = {
            target.service for target in targets if target.instance == me
        }
        return tuple(target for target in targets if target.service in services)

    def _update_absent(self, now: float) -> None:
        """Report the targets of ``_service_targets`` on absent instances.

        An instance is absent if it is not alive or is leaving.
        """
        fleet = self._context.fleet
        absent = [
            target.name
            for target in self._service_targets
            if fleet.is_leaving(target.instance)
            or not fleet.is_alive(target.instance, now)
        ]
        self.ejection.set_absent(absent, now)

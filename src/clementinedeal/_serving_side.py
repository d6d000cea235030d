"""The serving side of a daemon: entry, owner and their listeners."""

from dataclasses import dataclass

import trio

from clementinedeal._cancel_messenger import CancelMessenger
from clementinedeal._directory import Directory
from clementinedeal._entry import Entry
from clementinedeal._entry_parts import EntryParts
from clementinedeal._entry_view import EntryView
from clementinedeal._envelope import Keyring
from clementinedeal._executions import ExecutionTable
from clementinedeal._forwarding import (
    OwnedTargets,
    PeerClient,
    PeerParts,
    PeerServer,
)
from clementinedeal._http import HttpLimits
from clementinedeal._http_server import HttpServer
from clementinedeal._managers import ManagerContext, Managers
from clementinedeal._metrics_recorder import MetricsRecorder
from clementinedeal._owner import Owner, OwnerParts
from clementinedeal._pool import ConnPool
from clementinedeal._prober import Prober
from clementinedeal._settings import Limits
from clementinedeal._status import StatusReporter
from clementinedeal._target_call import TargetCaller


@dataclass(frozen=True, slots=True)
class ServingContext:
    """The parts of a daemon that its serving side needs."""

    shared: ManagerContext
    pool: ConnPool
    keyring: Keyring
    executions: ExecutionTable
    directory: Directory
    view: EntryView
    cancel_messenger: CancelMessenger
    status: StatusReporter


class ServingSide:
    """Entry and owner of a daemon and the servers that listen for them.

    The entry takes the requests of callers; the owner is the only one that
    calls the targets of this instance. Built once a configuration is in
    force; the servers listen after ``start``.
    """

    def __init__(self, context: ServingContext, managers: Managers) -> None:
        """Build owner, entry and servers.

        :param context: parts shared with the rest of the daemon.
        :param managers: decide on tokens, slots, idempotency and ejection.
        """
        self._context = context
        self.owner = self._build_owner(managers)
        self._prober = Prober(
            context.pool,
            managers.leaving_targets,
            managers.mark_returned,
        )
        parts = PeerParts(
            keyring=context.keyring,
            events=context.shared.events,
            pool=context.pool,
            on_outcome=context.view.on_outcome,
            on_unreachable=context.view.on_unreachable,
        )
        entry = self._build_entry(managers, PeerClient(parts))
        peer = PeerServer(
            parts,
            OwnedTargets(
                self.owner,
                context.directory.owned_target,
                context.status.describe_target,
            ),
        )
        settings = context.shared.settings
        limits = http_limits(settings.limits)
        events = context.shared.events
        self._servers = (
            HttpServer(settings.caller, entry.serve, limits, events),
            HttpServer(settings.peer, peer.serve, limits, events),
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen for callers and peers.

        :param nursery: runs the servers.
        """
        for server in self._servers:
            await server.start(nursery)
        nursery.start_soon(self._prober.run)

    async def stop(self, seconds: float) -> None:
        """Accept no new work and wait for the requests in flight.

        :param seconds: how long to wait before they are cancelled.
        """
        self.owner.draining = True
        async with trio.open_nursery() as nursery:
            for server in self._servers:
                nursery.start_soon(server.stop, seconds)

    def _build_owner(self, managers: Managers) -> Owner:
        context = self._context
        return Owner(
            OwnerParts(
                clock=context.shared.clock,
                events=context.shared.events,
                executions=context.executions,
                tokens=managers.token_gate,
                slots=managers.slot_gate,
                watcher=managers.target_watcher,
                caller=TargetCaller(context.pool),
            ),
        )

    def _build_entry(self, managers: Managers, peers: PeerClient) -> Entry:
        shared = self._context.shared
        return Entry(
            EntryParts(
                me=shared.settings.instance,
                clock=shared.clock,
                events=shared.events,
                view=self._context.view,
                owner=self.owner,
                peers=peers,
                canceller=self._context.cancel_messenger,
                idempotency=managers.key_gate,
                recorder=MetricsRecorder(shared.metrics, shared.clock),
                max_body_bytes=shared.settings.limits.max_body_bytes,
            ),
        )


def http_limits(limits: Limits) -> HttpLimits:
    """Return the HTTP limits of a daemon's settings.

    ``max_body_bytes`` keeps its default; the entry applies the limit of the
    settings to the bodies of callers' requests.

    :param limits: limits of the settings file.
    """
    return HttpLimits(
        max_head_bytes=limits.max_head_bytes,
        head_timeout=limits.head_timeout_seconds,
        idle_timeout=limits.idle_timeout_seconds,
        body_timeout=limits.body_timeout_seconds,
    )

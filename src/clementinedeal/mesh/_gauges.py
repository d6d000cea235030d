"""The gauges of a mesh daemon: what its parts report at each scrape."""

from collections.abc import Callable
from dataclasses import dataclass

from clementinedeal._byte_budget import ByteBudget
from clementinedeal._http_server import HttpServer
from clementinedeal.mesh._contracts import Platform
from clementinedeal.mesh._declarations import DeclarationFeed
from clementinedeal.mesh._evacuations import EvacuationTracker
from clementinedeal.mesh._metrics import DaemonMetrics
from clementinedeal.mesh._owner import MeshOwner
from clementinedeal.mesh._sender import Sender


@dataclass(frozen=True, slots=True, kw_only=True)
class GaugeParts:
    """The parts that report.

    ``count_dropped_lines`` returns how many log lines were dropped.
    """

    declarations: DeclarationFeed
    evacuations: EvacuationTracker
    owner: MeshOwner
    sender: Sender
    budget: ByteBudget
    caller_server: HttpServer
    platform: Platform
    count_dropped_lines: Callable[[], int]


def add_gauges(metrics: DaemonMetrics, parts: GaugeParts) -> None:
    """Add the gauges to the metrics of a daemon.

    :param metrics: the metrics.
    :param parts: what they report.
    """
    _add_target_gauges(metrics, parts)
    _add_memory_gauges(metrics, parts)
    declarations = parts.declarations
    metrics.gauges.update(
        config_version=lambda: declarations.version,
        config_age_seconds=lambda: declarations.age,
        evacuated_zones=lambda: len(parts.evacuations.zones),
        repeats=lambda: parts.sender.retry_count,
        platform_calls=lambda: parts.platform.calls,
        log_lines_left_out=parts.count_dropped_lines,
    )


def _add_target_gauges(metrics: DaemonMetrics, parts: GaugeParts) -> None:
    """Add what the owner knows of its target."""
    owner = parts.owner
    metrics.gauges.update(
        target_risk=lambda: owner.health.risk,
        target_running=lambda: owner.slot_queue.running,
        target_waiting=lambda: owner.slot_queue.waiting,
        target_slots=lambda: owner.slot_queue.slots,
        target_limit=owner.limit.gauge,
        target_leaving=lambda: owner.limit.is_leaving,
        target_evacuated=lambda: parts.evacuations.includes(owner.target),
        target_cold=lambda: owner.limit.warmup.is_cold,
        target_warmup_rate=owner.limit.warmup.gauge,
    )


def _add_memory_gauges(metrics: DaemonMetrics, parts: GaugeParts) -> None:
    """Add what is held for clients."""
    budget = parts.budget
    metrics.gauges.update(
        bytes_held=lambda: budget.held_bytes,
        bodies_refused=lambda: budget.counts.refused,
        bodies_cut=lambda: budget.counts.cut,
        connections_closed=lambda: parts.caller_server.closed_for_room,
    )

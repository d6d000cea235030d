"""Settings of a mesh daemon."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits that the platform's operators set for the fleet.

    A withdrawn key must be refused ``revoke_seconds`` after its withdrawal, a
    new declaration be in force ``config_seconds`` after its publication, and a
    leaving target get no request ``drain_seconds`` after the registry knows.
    In any ``retry_window`` seconds the whole fleet sends at most
    ``retry_ratio`` times as many retries as requests to a service, plus
    ``retry_slack``. A process is killed ``stop_seconds`` after its stop
    signal. An account may exceed its rate and burst by the fraction
    ``allowance_over`` of them plus ``allowance_slack`` requests in any
    ``allowance_window`` seconds. The targets of an availability zone must get
    no request ``evacuate_seconds`` after its evacuation; None if operators
    evacuate no zones.
    """

    revoke_seconds: float = 5.0
    config_seconds: float = 2.0
    drain_seconds: float = 2.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 60.0
    stop_seconds: float = 6.0
    allowance_over: float = 0.0
    allowance_slack: float = 0.0
    allowance_window: float = 5.0
    evacuate_seconds: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshDaemonSettings:
    """Settings of one daemon; addresses are ``ip:port``.

    The daemon listens at ``caller_address`` for clients and for the target of
    its instance, at ``peer_address`` for other daemons, and at
    ``ready_address`` for the platform's ready check. ``target_address`` is the
    target beside it, of the service ``service``; ``platform_address`` the
    platform's store. ``port_range`` holds the first and last port that it may
    use otherwise; the first is the UDP port of all daemons. The process may use
    ``memory_bytes`` and ``max_descriptors``; by default those of the smallest
    machine. ``zone_regions`` is the region of each availability zone, None if
    requests are not bound to regions. ``link_mbps`` is the rate of the
    instance's link in Mbit/s, 0 if it is not known.
    """

    instance: str
    zone: str
    caller_address: str
    peer_address: str
    ready_address: str
    target_address: str
    service: str
    platform_address: str
    port_range: tuple[int, int]
    memory_bytes: int = 200_000_000
    max_descriptors: int = 4100
    link_mbps: float = 0.0
    bounds: Bounds = field(default_factory=Bounds)
    zone_regions: Mapping[str, str] | None = None

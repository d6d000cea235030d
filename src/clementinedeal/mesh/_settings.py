"""Settings of a mesh daemon: where it stands and what binds it."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """What the platform's operators promise or ask for; times in seconds.

    A withdrawn key must be refused ``revoke`` after its withdrawal. Repeats
    of a service's requests over ``retry_window`` stay within
    ``retry_ratio`` of them plus ``retry_slack``, over the whole fleet. A
    process is killed ``stop`` after its stop signal. An account may exceed
    its rate and burst by ``allowance_over`` of it plus ``allowance_slack``
    requests in any ``allowance_window``.
    """

    revoke_seconds: float = 5.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 60.0
    stop_seconds: float = 6.0
    allowance_over: float = 0.0
    allowance_slack: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshDaemonSettings:
    """One daemon's place; listen addresses are ``ip:port``.

    ``callers`` is where clients and the target of the same instance send
    requests, ``peers`` where other daemons do, ``ready`` where the platform
    asks whether the daemon takes work. ``target`` is the address of the
    target beside it and ``service`` the service that target belongs to.
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
    bounds: Bounds = field(default_factory=Bounds)

"""What a mesh daemon knows of the fleet: frozen data, no behaviour."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One running process of a service, as the registry lists it.

    ``warmup`` is for how many seconds it stays slow after its start;
    ``started_ms`` the Unix time of that start, which tells two runs under
    one name apart.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    warmup_seconds: float = 0.0
    started_ms: int = 0

    @property
    def host(self) -> str:
        """IP number of the instance that the target stands on."""
        return self.address.rpartition(':')[0]


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service's share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteRule:
    """How requests to one host and path prefix are served.

    Times are in seconds: ``timeout`` bounds the wait for an answer,
    ``objective`` is the latency aimed at. ``max_targets`` bounds how many
    targets may run one request. Priority 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    idempotent: bool
    timeout: float
    objective: float
    priority: int
    max_targets: int
    public: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccount:
    """A client account; a rate of 0 is no limit."""

    name: str
    keys: tuple[str, ...] = field(repr=False)
    priority: int
    rate: float
    burst: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Bounds on what a caller may send; sizes in bytes, times in seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 8_388_608
    head_timeout: float = 5.0
    idle_timeout: float = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Declaration:
    """One whole version of what operators declare."""

    version: int
    routes: tuple[RouteRule, ...]
    services: frozenset[str]
    accounts: tuple[ClientAccount, ...]
    limits: RequestLimits = field(default_factory=RequestLimits)


@dataclass(frozen=True, slots=True, kw_only=True)
class DeclarationUpdate:
    """What a read or watch of the declarations brought.

    ``revision`` is the source's own, to go on from; ``published`` that of
    the newest declaration found, 0 if there is none; ``declaration`` is None
    if none was found or it cannot be read.
    """

    revision: int
    published_revision: int = 0
    declaration: Declaration | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """The targets that the registry listed at one revision."""

    revision: int
    targets: Mapping[str, Target]


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetUpdate:
    """What a watch on one target brought; None: it is listed no more."""

    revision: int
    changed: bool = False
    target: Target | None = None

"""Data classes of the fleet: targets, routes, accounts and declarations."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One running process of a service, as the registry lists it.

    ``address`` is ``ip:port``. ``slots`` is how many requests it may run at
    once. A ``draining`` target accepts no new requests. ``warmup_seconds`` is
    how long it stays cold, counted from when it said so, None if it does not
    say. ``started_ms`` is the Unix time of its start in milliseconds, which
    distinguishes two processes of the same name.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    warmup_seconds: float | None = 0.0
    started_ms: int = 0

    @property
    def host(self) -> str:
        """IP address of the instance that the target runs on."""
        return self.address.rpartition(':')[0]

    def supersede(
        self, former: 'Target | None', *, is_restored: bool
    ) -> 'Target':
        """Return which of two entries of one name holds.

        A process that drains does not become ready again: an entry that says
        so is older, from a store that was restored from a copy. So is one with
        an earlier start, but only then: clocks may be set back.

        :param former: the entry known so far, if any.
        :param is_restored: whether this entry may come from such a copy.
        """
        if former is None:
            return self
        if former.started_ms != self.started_ms:
            is_older = is_restored and self.started_ms < former.started_ms
            return former if is_older else self
        return former if former.draining and not self.draining else self

    @property
    def state(self) -> str:
        """Short text that changes with process, readiness and warmup."""
        suffix = '-' if self.draining else '+'
        warmup = self.warmup_seconds or ''
        return f'{self.name}.{self.started_ms}{suffix}{warmup}'


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRule:
    """What is declared of a service.

    A target of it is cold for ``warmup_seconds`` after its start, and bears
    ``warmup_rate`` requests per second while cold, 0 for no limit.
    """

    name: str
    warmup_rate: float = 0.0
    warmup_seconds: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service and the weight with which a route chooses it."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteRule:
    """How requests to one host and path prefix are served.

    Times are in seconds: ``timeout`` bounds the wait for an answer,
    ``objective`` is the latency objective. ``weighted_services`` are the
    services to choose from, at least one. An ``idempotent`` request may run
    more than once. ``max_targets`` bounds how many targets may run one request.
    Priority 0 is the most urgent. A ``public`` route needs no API key.
    Requests may run only in the ``allowed_regions``, anywhere if it is empty.
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
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccount:
    """A client account.

    ``keys`` are its API keys. Priority 0 is the most urgent. ``rate`` is in
    requests per second, 0 for no limit; ``burst`` is in requests. Requests may
    run only in the ``allowed_regions``, anywhere if it is empty.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False)
    priority: int
    rate: float
    burst: float
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Limits on what a caller may send; sizes in bytes, times in seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 8_388_608
    head_timeout: float = 5.0
    idle_timeout: float = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Declaration:
    """One complete version of the operators' configuration.

    ``unknown_kinds`` are the kinds of routes that could not be interpreted;
    requests on these routes may run once at most.
    """

    version: int
    routes: tuple[RouteRule, ...]
    services: tuple[ServiceRule, ...]
    accounts: tuple[ClientAccount, ...]
    limits: RequestLimits = field(default_factory=RequestLimits)
    unknown_kinds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """A position in the history of the platform's store.

    ``number`` rises with each change. After the store was restored from a copy
    its numbers are given out again; ``era`` rises with each such restore.
    """

    era: int
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Evacuations:
    """The availability zones that operators had evacuated at a revision."""

    revision: Revision
    zones: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationChanges:
    """Whether each of some availability zones is evacuated.

    ``is_complete``: no other zone is.
    """

    zones: Mapping[str, bool]
    is_complete: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Transfer:
    """How a declaration came here: from where, its bytes, and the time it took.

    ``receive_seconds`` is the time from the first byte to the last,
    ``decode_seconds`` that of decoding.
    """

    source: str = 'platform'
    size: int = 0
    receive_seconds: float = 0.0
    decode_seconds: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DeclarationUpdate:
    """Result of a read or watch of the declarations.

    ``revision`` is the source's revision from which to continue. ``changed``:
    this is what the source shows now; ``declaration`` is then None if it shows
    none or one that cannot be decoded. ``evacuations`` is None if the source
    does not tell them, or if a watch saw no change of them. ``transfer`` is
    that of the declaration.
    """

    revision: Revision
    changed: bool = False
    declaration: Declaration | None = None
    evacuations: EvacuationChanges | None = None
    transfer: Transfer = Transfer()

    @property
    def is_empty(self) -> bool:
        """Whether a watch saw no change at all."""
        return not self.changed and self.evacuations is None


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """The targets that the registry listed at one revision, by name."""

    revision: Revision
    targets: Mapping[str, Target]


@dataclass(frozen=True, slots=True, kw_only=True)
class ListingChanges:
    """Changes of the registry up to ``revision``, by the targets' names.

    A target is None if it is no longer listed.
    """

    revision: Revision
    targets: Mapping[str, Target | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetUpdate:
    """Result of a read or watch of one target.

    ``revision`` is the registry's revision from which to continue. If
    ``changed``, ``target`` is the new entry, None if it is no longer listed.
    """

    revision: Revision
    changed: bool = False
    target: Target | None = None

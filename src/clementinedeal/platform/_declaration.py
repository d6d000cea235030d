"""Decodes the operators' configuration from the platform's store."""

from typing import Annotated, Any, TypeAlias

import msgspec

from clementinedeal._errors import DECODE_ERRORS, ClementinedealError
from clementinedeal.mesh._types import (
    ClientAccount,
    Declaration,
    RequestLimits,
    RouteRule,
    ServiceRule,
    WeightedService,
)

_NotNegative: TypeAlias = Annotated[float, msgspec.Meta(ge=0)]
# Whether requests of a route may run more than once, by the kind of the route.
# Those of a kind that is not listed here may not.
_MAY_REPEAT = {'safe': True, 'download': True, 'unsafe': False}


class UnreadableError(ClementinedealError):
    """A stored value does not have the format that the platform documents."""


class _Metadata(msgspec.Struct):
    """Metadata of an entry; ``name`` is empty if it has no name."""

    name: str = ''


class _Resource(msgspec.Struct):
    """One entry; ``entry_type`` says what ``spec`` describes."""

    entry_type: str
    spec: dict[str, Any]
    metadata: _Metadata = msgspec.field(default_factory=_Metadata)


class _Document(msgspec.Struct):
    """The whole value: one version of the configuration."""

    version: int
    resources: list[_Resource]


class _SplitPart(msgspec.Struct):
    """A service's part of a route, in proportion to its weight."""

    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route; ``timeout_s`` and ``target_latency_s`` are in seconds.

    ``kind`` says whether its requests may run twice, see ``_MAY_REPEAT``; those
    of ``download`` have large answers. ``split`` divides the requests among
    services and replaces ``service``. Requests may run only in the
    ``allowed_regions``, anywhere if there are none.
    """

    host: str
    prefix: str
    kind: str
    timeout_s: float
    target_latency_s: float = 0
    priority: int = 0
    # how many targets may run one request; it may be sent more often
    attempts: int = 1
    public: bool = False
    service: str = ''
    split: list[_SplitPart] = []
    allowed_regions: list[str] = []


class _Service(msgspec.Struct):
    """A service: a target is cold for ``warmup_s`` seconds after its start.

    While cold it bears ``warmup_per_s`` requests per second.
    """

    warmup_s: _NotNegative | None = None
    warmup_per_s: _NotNegative | None = None


class _Account(msgspec.Struct):
    """A client account; the platform calls it a tenant.

    Priority 0 is the most urgent. ``rate_per_s`` is in requests per second, 0
    for no limit; ``burst`` is in requests. Requests may run only in the
    ``allowed_regions``, anywhere if there are none.
    """

    api_keys: list[str] = []
    priority: int = 0
    rate_per_s: float = 0
    burst: float = 0
    allowed_regions: list[str] = []


class _Limits(msgspec.Struct):
    """Limits on callers: sizes in bytes, times in seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


def decode_declaration(blob: bytes) -> Declaration:
    """Decode one version of the operators' configuration.

    :param blob: the stored value, JSON.
    :raises UnreadableError: any part of the value is not valid.
    """
    try:
        return _convert(msgspec.json.decode(blob, type=_Document))
    except DECODE_ERRORS as exc:
        raise UnreadableError(str(exc)) from exc


def _convert(document: _Document) -> Declaration:
    limits = RequestLimits()
    services = []
    routes = []
    accounts = []
    unknown_kinds = set()
    for resource in document.resources:
        match resource.entry_type:
            case 'routes':
                spec = msgspec.convert(resource.spec, _Route)
                routes.append(_convert_route(resource.metadata.name, spec))
                if spec.kind not in _MAY_REPEAT:
                    unknown_kinds.add(spec.kind)
            case 'services':
                services.append(_convert_service(resource))
            case 'tenants':
                accounts.append(_convert_account(resource))
            case 'limits':
                limits = _convert_limits(
                    msgspec.convert(resource.spec, _Limits)
                )
    return Declaration(
        version=document.version,
        routes=tuple(routes),
        services=tuple(services),
        accounts=tuple(accounts),
        limits=limits,
        unknown_kinds=tuple(sorted(unknown_kinds)),
    )


def _convert_route(name: str, spec: _Route) -> RouteRule:
    parts = tuple(
        WeightedService(service=one.service, weight=one.weight)
        for one in spec.split
    )
    return RouteRule(
        name=name,
        host=spec.host,
        prefix=spec.prefix,
        weighted_services=parts
        or (WeightedService(service=spec.service, weight=1.0),),
        idempotent=_MAY_REPEAT.get(spec.kind, False),
        timeout=spec.timeout_s,
        objective=spec.target_latency_s or spec.timeout_s,
        priority=spec.priority,
        max_targets=max(1, spec.attempts),
        public=spec.public,
        allowed_regions=frozenset(spec.allowed_regions),
    )


def _convert_service(resource: _Resource) -> ServiceRule:
    spec = msgspec.convert(resource.spec, _Service)
    return ServiceRule(
        name=resource.metadata.name,
        warmup_rate=spec.warmup_per_s or 0.0,
        warmup_seconds=spec.warmup_s or 0.0,
    )


def _convert_account(resource: _Resource) -> ClientAccount:
    spec = msgspec.convert(resource.spec, _Account)
    return ClientAccount(
        name=resource.metadata.name,
        keys=tuple(spec.api_keys),
        priority=spec.priority,
        rate=spec.rate_per_s,
        burst=spec.burst,
        allowed_regions=frozenset(spec.allowed_regions),
    )


def _convert_limits(spec: _Limits) -> RequestLimits:
    return RequestLimits(
        head_bytes=spec.max_header_bytes,
        body_bytes=spec.max_body_bytes,
        head_timeout=spec.header_timeout_s,
        idle_timeout=spec.idle_timeout_s,
    )

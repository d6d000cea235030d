"""Admission control: whether a caller's request is accepted."""

import random
from dataclasses import dataclass
from typing import Protocol

from result import Err

from clementinedeal._http import (
    CONTENT_LENGTH,
    Body,
    RequestHead,
    strip_hop_by_hop_headers,
)
from clementinedeal._incoming_request import (
    new_request_id,
    strip_internal_headers,
)
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._contracts import Dialect
from clementinedeal.mesh._outcomes import MeshOutcome
from clementinedeal.mesh._target_client import BufferedRequest
from clementinedeal.mesh._types import ClientAccount, RouteRule

# Retry-After for callers of a daemon that has no declaration yet, has a stale
# one, or is stopping.
UNREADY_RETRY_AFTER_SECONDS = 0.5
# Largest request body accepted while no declaration sets a limit.
UNREADY_MAX_BODY_BYTES = 1 << 20
# The entry handles these itself: the length is set anew, Expect is answered
# here, and Authorization carries the caller's API key.
_HEADERS_NOT_FORWARDED = frozenset(
    (CONTENT_LENGTH, b'expect', b'authorization')
)


class RateLimiter(Protocol):
    """Enforces the rate and burst of client accounts."""

    async def take(self, account: ClientAccount, req_id: str) -> float:
        """Take one token of an account.

        :param account: the account that the request counts against.
        :param req_id: id of the request, for the log.
        :return: 0 if the request is allowed, else the seconds after which
            the caller should retry.
        """
        ...


class ActiveDeclaration(Protocol):
    """The declaration that this daemon applies, and how recent it is."""

    @property
    def catalog(self) -> Catalog | None:
        """The indexed declaration, None until one was received."""
        ...

    @property
    def version(self) -> int:
        """Version of the declaration, 0 if there is none."""
        ...

    @property
    def age(self) -> float:
        """Seconds since it was last proved to be the newest one published."""
        ...

    def is_behind(self) -> bool:
        """Whether a newer one is in force elsewhere and on its way here."""
        ...

    def is_outdated(self) -> bool:
        """Whether a newer one is known to be in force elsewhere."""
        ...

    def is_fresh(self) -> bool:
        """Whether it is recent enough to accept API keys.

        A withdrawn key must be refused within a bound, so keys are accepted
        only if the declaration was proved the newest within that bound.
        """
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmittedRequest:
    """A request that was accepted and may be sent to a target.

    ``service`` is the service chosen for it, one of the route's weighted
    services. ``account`` is None on routes without a key. ``deadline`` is in
    monotonic seconds.
    """

    req_id: str
    route: RouteRule
    service: str
    account: ClientAccount | None
    request: BufferedRequest
    deadline: float


class Admission:
    """Checks the route, API key and rate limit of each request."""

    def __init__(
        self,
        dialect: Dialect,
        active_declaration: ActiveDeclaration,
        rate_limiter: RateLimiter,
        rng: random.Random,
    ) -> None:
        """Create the checks; requests are accepted until ``is_closing`` is set.

        :param dialect: decodes the headers of callers.
        :param active_declaration: routes, accounts and limits to apply.
        :param rate_limiter: enforces the rates of accounts.
        :param rng: chooses a service of a weighted route.
        """
        self._dialect = dialect
        self.active_declaration = active_declaration
        self._rate_limiter = rate_limiter
        self._rng = rng
        self.is_closing = False

    @property
    def max_body_bytes(self) -> int:
        """Largest request body that callers may send, in bytes."""
        catalog = self.active_declaration.catalog
        if catalog is None:
            return UNREADY_MAX_BODY_BYTES
        return catalog.declaration.limits.body_bytes

    def read_request_id(self, head: RequestHead) -> str:
        """Return the id that the caller gave its request, empty if none.

        :param head: request line and headers.
        """
        return self._dialect.read_request(head).req_id

    def is_idempotent(self, head: RequestHead) -> bool:
        """Whether a request is on a route whose requests may run twice.

        :param head: request line and headers.
        """
        catalog = self.active_declaration.catalog
        if catalog is None:
            return False
        route = catalog.find_route(_host(head), head.path)
        return route is not None and route.idempotent

    async def admit(
        self,
        head: RequestHead,
        body: Body,
        received_at: float,
    ) -> AdmittedRequest | MeshOutcome:
        """Return the accepted request, or the outcome that refuses it.

        :param head: request line and headers.
        :param body: the whole body.
        :param received_at: when the head arrived, monotonic seconds.
        """
        catalog = self.active_declaration.catalog
        if self.is_closing:
            return _refusal(Reason.DRAINING, UNREADY_RETRY_AFTER_SECONDS)
        if catalog is None or self.active_declaration.is_outdated():
            return _refusal(Reason.CONFIG_STALE, UNREADY_RETRY_AFTER_SECONDS)
        fields = self._dialect.read_request(head)
        route = catalog.find_route(_host(head), head.path)
        if route is None:
            return self._refuse_unknown(Reason.NO_ROUTE)
        account_found = catalog.find_account(route, fields.key)
        if isinstance(account_found, Err):
            return self._refuse_unknown(account_found.err_value)
        account = account_found.ok_value
        refusal = account and await self._check_account(account, fields.req_id)
        if refusal:
            return refusal
        timeout = route.timeout
        if fields.timeout is not None:
            timeout = min(timeout, fields.timeout)
        return AdmittedRequest(
            req_id=fields.req_id or new_request_id(),
            route=route,
            service=self._choose_service(route),
            account=account,
            request=_build_request(head, body),
            deadline=received_at + timeout,
        )

    def _refuse_unknown(self, reason: Reason) -> MeshOutcome:
        """Refuse what the declaration in force does not have.

        Callers do not retry when that is final, so it is not while a newer
        declaration may have it.
        """
        if self.active_declaration.is_behind():
            return _refusal(Reason.CONFIG_STALE, UNREADY_RETRY_AFTER_SECONDS)
        return _refusal(reason)

    async def _check_account(
        self,
        account: ClientAccount,
        req_id: str,
    ) -> MeshOutcome | None:
        """Return the refusal of a request with a key, None if accepted."""
        if not self.active_declaration.is_fresh():
            return _refusal(Reason.CONFIG_STALE, UNREADY_RETRY_AFTER_SECONDS)
        retry_after = await self._rate_limiter.take(account, req_id)
        return (
            _refusal(Reason.RATE_EXCEEDED, retry_after) if retry_after else None
        )

    def _choose_service(self, route: RouteRule) -> str:
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        weights = [part.weight for part in route.weighted_services]
        chosen = self._rng.choices(route.weighted_services, weights)
        return chosen[0].service


def _host(head: RequestHead) -> str:
    return (head.header(b'host') or b'').decode('latin-1')


def _build_request(head: RequestHead, body: Body) -> BufferedRequest:
    headers = tuple(
        pair
        for pair in strip_internal_headers(
            strip_hop_by_hop_headers(head.headers)
        )
        if pair[0] not in _HEADERS_NOT_FORWARDED
    )
    return BufferedRequest(head.method, head.path, headers, body)


def _refusal(reason: Reason, retry_after: float = 0) -> MeshOutcome:
    return MeshOutcome(
        verdict=Verdict.NOT_RUN,
        reason=reason,
        retry_after=retry_after,
    )

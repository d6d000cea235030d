"""Decides whether a caller's request is taken."""

import random
from dataclasses import dataclass
from typing import Protocol

from result import Err

from clementinedeal._http import CONTENT_LENGTH, RequestHead, end_to_end
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

# Callers of a daemon without a declaration are told to come back after this.
UNREADY_RETRY_AFTER_SECONDS = 0.5
# Largest body before a declaration says it.
UNREADY_MAX_BODY_BYTES = 1 << 20
_HEADERS_NOT_FORWARDED = frozenset(
    (CONTENT_LENGTH, b'expect', b'authorization')
)


class RateLimiter(Protocol):
    """Grants requests within the rate and burst of an account."""

    async def take(self, account: ClientAccount, req_id: str) -> float:
        """Return 0 if granted, else after how many seconds to come back."""
        ...


class ActiveDeclaration(Protocol):
    """What is in force here."""

    @property
    def catalog(self) -> Catalog | None:
        """The declaration in force."""
        ...

    @property
    def version(self) -> int:
        """Its version, 0 before there is one."""
        ...

    @property
    def age(self) -> float:
        """Seconds since nothing newer was known to be published."""
        ...

    def is_fresh(self) -> bool:
        """Whether no withdrawn key can be missing from it."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmittedRequest:
    """A request that may be sent; ``deadline`` in monotonic seconds."""

    req_id: str
    route: RouteRule
    service: str
    account: ClientAccount | None
    message: BufferedRequest
    deadline: float


class Admission:
    """Checks route, key, freshness and allowance of each request."""

    def __init__(
        self,
        dialect: Dialect,
        active_declaration: ActiveDeclaration,
        rate_limiter: RateLimiter,
        rng: random.Random,
    ) -> None:
        """Take requests until ``closing`` is set.

        :param dialect: how callers speak.
        :param standing: the declaration in force.
        :param allowances: rates and bursts.
        :param rng: draws a part of a split route.
        """
        self._dialect = dialect
        self.active_declaration = active_declaration
        self._rate_limiter = rate_limiter
        self._rng = rng
        self.is_closing = False

    @property
    def max_body_bytes(self) -> int:
        """Largest body that callers may send."""
        catalog = self.active_declaration.catalog
        if catalog is None:
            return UNREADY_MAX_BODY_BYTES
        return catalog.declaration.limits.body_bytes

    def read_request_id(self, head: RequestHead) -> str:
        """Return the id that the caller gave its request.

        :param head: the request's head.
        """
        return self._dialect.read_request(head).req_id

    async def admit(
        self,
        head: RequestHead,
        body: bytes,
        received_at: float,
    ) -> AdmittedRequest | MeshOutcome:
        """Return a request that may be sent, or why it is refused.

        :param head: its head.
        :param body: its whole body.
        :param started: when it came, monotonic seconds.
        """
        catalog = self.active_declaration.catalog
        if self.is_closing:
            return _refusal(Reason.DRAINING, UNREADY_RETRY_AFTER_SECONDS)
        if catalog is None:
            return _refusal(Reason.CONFIG_STALE, UNREADY_RETRY_AFTER_SECONDS)
        fields = self._dialect.read_request(head)
        host = (head.header(b'host') or b'').decode('latin-1')
        route = catalog.find_route(host, head.path)
        if route is None:
            return _refusal(Reason.NO_ROUTE)
        account_found = catalog.find_account(route, fields.key)
        if isinstance(account_found, Err):
            return _refusal(account_found.err_value)
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
            message=_message(head, body),
            deadline=received_at + timeout,
        )

    async def _check_account(
        self,
        account: ClientAccount,
        req_id: str,
    ) -> MeshOutcome | None:
        """Return why a request with a key is not taken, if it is not."""
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


def _message(head: RequestHead, body: bytes) -> BufferedRequest:
    headers = tuple(
        pair
        for pair in strip_internal_headers(end_to_end(head.headers))
        if pair[0] not in _HEADERS_NOT_FORWARDED
    )
    return BufferedRequest(head.method, head.path, headers, body)


def _refusal(reason: Reason, retry_after: float = 0) -> MeshOutcome:
    return MeshOutcome(
        verdict=Verdict.NOT_RUN,
        reason=reason,
        retry_after=retry_after,
    )

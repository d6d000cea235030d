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
from clementinedeal.mesh._origin import Message
from clementinedeal.mesh._outcomes import Outcome
from clementinedeal.mesh._types import ClientAccount, RouteRule

# Callers of a daemon without a declaration are told to come back after this.
UNREADY_RETRY_SECONDS = 0.5
# Largest body before a declaration says it.
UNREADY_BODY_BYTES = 1 << 20
_HIDDEN = frozenset((CONTENT_LENGTH, b'expect', b'authorization'))


class Allowances(Protocol):
    """Grants requests within the rate and burst of an account."""

    async def take(self, account: ClientAccount, req_id: str) -> float:
        """Return 0 if granted, else after how many seconds to come back."""
        ...


class Standing(Protocol):
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
class Admitted:
    """A request that may be sent; ``deadline`` in monotonic seconds."""

    req_id: str
    route: RouteRule
    service: str
    account: ClientAccount | None
    message: Message
    deadline: float


class Admission:
    """Checks route, key, freshness and allowance of each request."""

    def __init__(
        self,
        dialect: Dialect,
        standing: Standing,
        allowances: Allowances,
        rng: random.Random,
    ) -> None:
        """Take requests until ``closing`` is set.

        :param dialect: how callers speak.
        :param standing: the declaration in force.
        :param allowances: rates and bursts.
        :param rng: draws a part of a split route.
        """
        self._dialect = dialect
        self.standing = standing
        self._allowances = allowances
        self._rng = rng
        self.closing = False

    @property
    def body_bytes(self) -> int:
        """Largest body that callers may send."""
        catalog = self.standing.catalog
        if catalog is None:
            return UNREADY_BODY_BYTES
        return catalog.declaration.limits.body_bytes

    def name(self, head: RequestHead) -> str:
        """Return the id that the caller gave its request.

        :param head: the request's head.
        """
        return self._dialect.read_request(head).req_id

    async def admit(
        self,
        head: RequestHead,
        body: bytes,
        started: float,
    ) -> Admitted | Outcome:
        """Return a request that may be sent, or why it is refused.

        :param head: its head.
        :param body: its whole body.
        :param started: when it came, monotonic seconds.
        """
        catalog = self.standing.catalog
        if self.closing:
            return _refusal(Reason.DRAINING, UNREADY_RETRY_SECONDS)
        if catalog is None:
            return _refusal(Reason.CONFIG_STALE, UNREADY_RETRY_SECONDS)
        asked = self._dialect.read_request(head)
        host = (head.header(b'host') or b'').decode('latin-1')
        route = catalog.find_route(host, head.path)
        if route is None:
            return _refusal(Reason.NO_ROUTE)
        found = catalog.find_account(route, asked.key)
        if isinstance(found, Err):
            return _refusal(found.err_value)
        account = found.ok_value
        refused = account and await self._refuse_account(account, asked.req_id)
        if refused:
            return refused
        patience = route.timeout
        if asked.patience is not None:
            patience = min(patience, asked.patience)
        return Admitted(
            req_id=asked.req_id or new_request_id(),
            route=route,
            service=self._draw_part(route),
            account=account,
            message=_message(head, body),
            deadline=started + patience,
        )

    async def _refuse_account(
        self,
        account: ClientAccount,
        req_id: str,
    ) -> Outcome | None:
        """Return why a request with a key is not taken, if it is not."""
        if not self.standing.is_fresh():
            return _refusal(Reason.CONFIG_STALE, UNREADY_RETRY_SECONDS)
        pause = await self._allowances.take(account, req_id)
        return _refusal(Reason.RATE_EXCEEDED, pause) if pause else None

    def _draw_part(self, route: RouteRule) -> str:
        if len(route.parts) == 1:
            return route.parts[0].service
        weights = [part.weight for part in route.parts]
        drawn = self._rng.choices(route.parts, weights)
        return drawn[0].service


def _message(head: RequestHead, body: bytes) -> Message:
    headers = tuple(
        pair
        for pair in strip_internal_headers(end_to_end(head.headers))
        if pair[0] not in _HIDDEN
    )
    return Message(head.method, head.path, headers, body)


def _refusal(reason: Reason, retry_after: float = 0) -> Outcome:
    return Outcome(
        verdict=Verdict.NOT_RUN,
        reason=reason,
        retry_after=retry_after,
    )

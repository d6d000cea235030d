"""A caller's request as the entry handles it."""

import uuid
from collections.abc import AsyncIterator
from dataclasses import dataclass

from clementinedeal._access import Access, Granted
from clementinedeal._answer_checks import REQUEST_ID_HEADER
from clementinedeal._envelope import INTERNAL_HEADER_PREFIX
from clementinedeal._http import (
    Headers,
    HttpError,
    RequestHead,
    strip_hop_by_hop_headers,
)
from clementinedeal._replies import Request

IDEMPOTENCY_HEADER = b'idempotency-key'
TIMEOUT_HEADER = b'x-request-timeout-ms'
_TOO_LARGE = 413
_MS_PER_SECOND = 1000
# Request headers that the entry handles itself and does not forward.
_DROPPED_HEADERS = frozenset(
    (
        b'authorization',
        REQUEST_ID_HEADER,
        TIMEOUT_HEADER,
        b'x-deadline-ms',
        b'expect',
    )
)


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A caller's request that has passed the access check.

    :param req_id: id of the request, unique in the fleet.
    :param granted: its route and account.
    :param access: the access rules it was checked by.
    :param req: the request to forward.
    :param started_at: monotonic time in seconds at which its head was checked.
    :param deadline: monotonic time in seconds by which it must be answered.
    """

    req_id: str
    granted: Granted
    access: Access
    req: Request
    started_at: float
    deadline: float

    @property
    def account(self) -> str:
        """Name of the client account, empty on an open route."""
        return self.granted.account.name if self.granted.account else ''

    @property
    def service(self) -> str:
        """Name of the service that the route leads to."""
        return self.granted.route.service

    @property
    def idempotency_key(self) -> str:
        """The caller's idempotency key, empty if there is none."""
        text = self.req.head.header(IDEMPOTENCY_HEADER) or b''
        return text.decode('latin-1')


def new_request_id() -> str:
    """Return a new id, unique in the fleet."""
    return uuid.uuid4().hex


def strip_internal_headers(headers: Headers) -> Headers:
    """Return headers without those that only daemons may set.

    :param headers: headers as received.
    """
    return tuple(
        pair
        for pair in headers
        if not pair[0].startswith(INTERNAL_HEADER_PREFIX)
    )


def forwarded_head(head: RequestHead) -> RequestHead:
    """Return the head to forward.

    The API key, internal headers and hop-by-hop headers are removed.

    :param head: head as received from the caller.
    """
    headers = tuple(
        pair
        for pair in strip_internal_headers(
            strip_hop_by_hop_headers(head.headers)
        )
        if pair[0] not in _DROPPED_HEADERS
    )
    return RequestHead(head.method, head.path, headers)


def caller_timeout_seconds(head: RequestHead, max_seconds: float) -> float:
    """Return how long the caller waits for its answer, in seconds.

    :param head: head that may have a timeout header, in milliseconds.
    :param max_seconds: upper bound, and the value without such a header.
    """
    text = head.header(TIMEOUT_HEADER)
    if text is None or not text.isdigit():
        return max_seconds
    return min(max_seconds, int(text) / _MS_PER_SECOND)


async def limit_body(
    pieces: AsyncIterator[bytes],
    max_bytes: int,
) -> AsyncIterator[bytes]:
    """Yield the pieces of a body up to a size.

    :param pieces: the body.
    :param max_bytes: largest size of the body in bytes.
    :raises HttpError: the body is larger.
    """
    size = 0
    async for piece in pieces:
        size += len(piece)
        if size > max_bytes:
            raise HttpError('request body too large', status=_TOO_LARGE)
        yield piece

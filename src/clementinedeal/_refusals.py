"""Answers that the proxy itself gives to callers."""

import math
from dataclasses import dataclass

import msgspec

from clementinedeal._http import Headers
from clementinedeal._verdict import Reason, Verdict

VERDICT_HEADER = b'x-verdict'
REASON_HEADER = b'x-reason'
REQUEST_ID_HEADER = b'x-request-id'
RETRY_AFTER_HEADER = b'retry-after'
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_CONFLICT = 409
_UNAUTHORIZED = 401

# All other reasons have 503, or 502 if the request may have run.
_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEAD_TOO_LARGE: 431,
    Reason.SLOW_SENDER: 408,
    Reason.NO_ROUTE: 404,
    Reason.KEY_MISSING: _UNAUTHORIZED,
    Reason.KEY_UNKNOWN: _UNAUTHORIZED,
    Reason.SERVICE_FORBIDDEN: 403,
    Reason.RATE_EXCEEDED: 429,
    Reason.DEADLINE: 504,
    Reason.DUPLICATE: _CONFLICT,
    Reason.IN_PROGRESS: _CONFLICT,
    Reason.KEY_REUSED: 422,
    Reason.OWNER_LOST: _BAD_GATEWAY,
    Reason.TARGET_FAILED: _BAD_GATEWAY,
    Reason.ANSWER_INCOMPLETE: _BAD_GATEWAY,
    Reason.TARGET_CRASHED: _BAD_GATEWAY,
    Reason.ANSWER_WRONG: _BAD_GATEWAY,
    Reason.CONNECTION_FORGOTTEN: _BAD_GATEWAY,
    Reason.INTERNAL: 500,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal as the caller sees it.

    :param verdict: whether the request may have run.
    :param reason: why it is refused.
    :param retry_after: seconds after which a retry makes sense, 0 if unknown.
    """

    verdict: Verdict
    reason: Reason
    retry_after: float = 0.0

    @property
    def status(self) -> int:
        """The HTTP status.

        503 is only used for a request that has not run, so that a caller may
        send it again.
        """
        if self.verdict is Verdict.NOT_RUN and self.reason is Reason.DEADLINE:
            return _UNAVAILABLE
        status = _STATUSES.get(self.reason, _UNAVAILABLE)
        if status == _UNAVAILABLE and self.verdict is not Verdict.NOT_RUN:
            return _BAD_GATEWAY
        return status

    def headers(self, req_id: str, *, with_fraction: bool = False) -> Headers:
        """Return the headers of the answer.

        :param req_id: id of the refused request.
        :param with_fraction: whether to write ``retry-after`` with two
            decimals; the HTTP standard has whole seconds.
        """
        headers: Headers = (
            (b'content-type', b'application/json'),
            (REQUEST_ID_HEADER, req_id.encode()),
            (VERDICT_HEADER, self.verdict.value.encode()),
            (REASON_HEADER, self.reason.value.encode()),
        )
        if self.status == _UNAUTHORIZED:
            headers = (*headers, (b'www-authenticate', b'Bearer'))
        if self.retry_after > 0:
            seconds = f'{math.ceil(self.retry_after)}'
            if with_fraction:
                seconds = f'{self.retry_after:.2f}'
            headers = (*headers, (RETRY_AFTER_HEADER, seconds.encode()))
        return headers

    def body(self, req_id: str) -> bytes:
        """Return the JSON body of the answer.

        :param req_id: id of the refused request.
        """
        fields = {
            'reason': self.reason.value,
            'verdict': self.verdict.value,
            'request': req_id,
        }
        return msgspec.json.encode(fields)

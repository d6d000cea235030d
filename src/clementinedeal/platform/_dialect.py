"""The platform's request and answer headers."""

import math

from clementinedeal._http import (
    Headers,
    RequestHead,
    ResponseHead,
    find_header,
)
from clementinedeal.mesh._contracts import (
    AnswerHeaders,
    CallContext,
    CallerHeaders,
)

_ATTEMPT_ID = b'attempt-id'
_DEADLINE = b'deadline-ms'
_EXPECTED_TARGET = b'expect-instance'
_ACCOUNT = b'tenant'
_CALLER = b'caller-service'
_AUTHORIZATION = b'authorization'
_NOT_RUN = b'not-executed'
_SEAL = b'server-seal'
_BEARER = b'bearer '
_READY_PATH = '/-/ready'
_MISDIRECTED = 421
_MS_PER_SECOND = 1000

# set by the system on every request to a target, whatever the caller sent
_REPLACED_HEADERS = frozenset(
    (_DEADLINE, _EXPECTED_TARGET, _ACCOUNT, _CALLER, _AUTHORIZATION)
)


class PlatformDialect:
    """Translates headers to and from the product's types."""

    def read_request(self, head: RequestHead) -> CallerHeaders:
        """Decode what a caller's headers say."""
        return CallerHeaders(
            req_id=_decode_text(head.header(_ATTEMPT_ID)),
            timeout=_decode_timeout(head.header(_DEADLINE)),
            key=_decode_key(head.header(_AUTHORIZATION)),
        )

    def target_headers(self, headers: Headers, context: CallContext) -> Headers:
        """Return the headers for the target.

        :param headers: the caller's, end to end.
        :param stamp: what the system adds; it replaces what callers sent.
        """
        milliseconds_left = max(1, int(context.seconds_left * _MS_PER_SECOND))
        added = [
            (_DEADLINE, b'%d' % milliseconds_left),
            (_EXPECTED_TARGET, context.target.encode()),
            (_CALLER, context.caller_service.encode()),
        ]
        if context.account:
            added.append((_ACCOUNT, context.account.encode()))
        kept = tuple(
            pair for pair in headers if pair[0] not in _REPLACED_HEADERS
        )
        return (*kept, *added)

    def read_answer(self, head: ResponseHead) -> AnswerHeaders:
        """Decode what a target's headers say."""
        misdirected = head.status == _MISDIRECTED
        return AnswerHeaders(
            not_run=misdirected or head.header(_NOT_RUN) is not None,
            req_id=_decode_text(head.header(_ATTEMPT_ID)),
            sealed=head.header(_SEAL) is not None,
            encoded=head.header(b'content-encoding') is not None,
            misdirected=misdirected,
            closing=b'close' in (head.header(b'connection') or b'').lower(),
            idle_seconds=_decode_idle_seconds(head.headers),
        )

    def is_ready_check(self, head: RequestHead) -> bool:
        """Whether the platform asks if this daemon takes work."""
        return head.path.partition('?')[0] == _READY_PATH


def _decode_text(raw: bytes | None) -> str:
    return (raw or b'').decode('latin-1')


def _decode_timeout(raw: bytes | None) -> float | None:
    try:
        milliseconds = float(raw) if raw else math.nan
    except ValueError:
        return None
    return (
        milliseconds / _MS_PER_SECOND if math.isfinite(milliseconds) else None
    )


def _decode_key(raw: bytes | None) -> str | None:
    if raw is None or not raw.lower().startswith(_BEARER):
        return None
    return raw[len(_BEARER) :].strip().decode('latin-1')


def _decode_idle_seconds(headers: Headers) -> float | None:
    for part in (find_header(headers, b'keep-alive') or b'').split(b','):
        name, _, amount = part.strip().partition(b'=')
        if name.lower() == b'timeout' and amount.isdigit():
            return float(amount)
    return None

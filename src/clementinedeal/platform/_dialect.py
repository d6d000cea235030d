"""Encodes and decodes the platform's request and answer headers."""

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
    TargetStatement,
)

_ATTEMPT_ID = b'attempt-id'
_DEADLINE = b'deadline-ms'
_EXPECTED_TARGET = b'expect-instance'
_ACCOUNT = b'tenant'
_CALLER = b'caller-service'
_AUTHORIZATION = b'authorization'
_NOT_RUN = b'not-executed'
_SEAL = b'server-seal'
_REQUEST_LIMIT = b'server-limit'
_LEAVING = b'server-leaving'
_WARMUP = b'warmup-ms'
_BEARER = b'bearer '
_READY_PATH = '/-/ready'
_MISDIRECTED = 421
_MS_PER_SECOND = 1000
# Longer warmups are cut to this, as in registrations.
MAX_WARMUP_SECONDS = 86_400.0

# Removed from callers' requests: they are set for targets, or secret.
_REPLACED_HEADERS = frozenset(
    (_DEADLINE, _EXPECTED_TARGET, _ACCOUNT, _CALLER, _AUTHORIZATION)
)


class PlatformDialect:
    """Translates between headers and the types of the daemon."""

    def read_request(self, head: RequestHead) -> CallerHeaders:
        """Decode the headers of a caller's request.

        :param head: the request's head.
        """
        return CallerHeaders(
            req_id=_decode_text(head.header(_ATTEMPT_ID)),
            timeout=_decode_timeout(head.header(_DEADLINE)),
            key=_decode_key(head.header(_AUTHORIZATION)),
        )

    def target_headers(self, headers: Headers, context: CallContext) -> Headers:
        """Return the headers for the target.

        :param headers: the caller's end-to-end headers.
        :param context: what is added; it replaces what the caller sent.
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
        """Decode the headers of a target's answer.

        :param head: the answer's head.
        """
        misdirected = head.status == _MISDIRECTED
        return AnswerHeaders(
            not_run=misdirected or head.header(_NOT_RUN) is not None,
            req_id=_decode_text(head.header(_ATTEMPT_ID)),
            sealed=head.header(_SEAL) is not None,
            encoded=head.header(b'content-encoding') is not None,
            misdirected=misdirected,
            closing=b'close' in (head.header(b'connection') or b'').lower(),
            idle_seconds=_decode_idle_seconds(head.headers),
            statement=_decode_statement(head.headers),
        )

    def is_ready_check(self, head: RequestHead) -> bool:
        """Whether a request is the platform's check for readiness.

        :param head: the request's head.
        """
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


def _decode_statement(headers: Headers) -> TargetStatement:
    """Decode what a target says of itself.

    The lowest of several limits counts.
    """
    named = [
        part
        for name, text in headers
        if name == _REQUEST_LIMIT
        for part in text.split(b',')
    ]
    limits = [limit for limit in map(_decode_limit, named) if limit is not None]
    leaving = find_header(headers, _LEAVING) or b''
    return TargetStatement(
        request_limit=min(limits, default=None),
        limit_unreadable=bool(named) and not limits,
        leaving=leaving.strip() == b'1',
        warmup_seconds=_decode_warmup(find_header(headers, _WARMUP)),
    )


def _decode_warmup(raw: bytes | None) -> float | None:
    """Return the time in seconds, None if there is none that is valid."""
    milliseconds = _decode_limit(raw or b'')
    return (
        None
        if milliseconds is None
        else min(milliseconds / _MS_PER_SECOND, MAX_WARMUP_SECONDS)
    )


def _decode_limit(raw: bytes) -> float | None:
    """Return a number that is not negative, None if it is not valid."""
    try:
        limit = float(raw)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0 else None


def _decode_idle_seconds(headers: Headers) -> float | None:
    for part in (find_header(headers, b'keep-alive') or b'').split(b','):
        name, _, amount = part.strip().partition(b'=')
        if name.lower() == b'timeout' and amount.isdigit():
            return float(amount)
    return None

"""What callers saw: one record for each request, judged for wholeness."""

import enum
import hashlib

import msgspec

from clementinedeal_bench._target_answer import AnswerBody, content_digest
from clementinedeal_bench._web_client import WebFailure
from clementinedeal_bench._web_messages import WebAnswer, WebRequest

MIN_SERVER_ERROR_STATUS = 500
NO_CONTENT_STATUS = 204


class CallOutcome(enum.Enum):
    """What a request came to in the caller's eyes.

    ``ANSWERED`` is a whole answer to the caller's own request, ``REFUSED``
    the fleet's own answer, ``FAILED`` an error status of a target, ``WRONG``
    an answer that is not whole or belongs to another request, ``BROKEN`` a
    connection that ended early, ``TIMEOUT`` the caller's patience at its end.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    WRONG = 'wrong'
    BROKEN = 'broken'
    TIMEOUT = 'timeout'
    UNREACHABLE = 'unreachable'


class CallRecord(msgspec.Struct, kw_only=True):
    """One request of a caller.

    ``caller_request`` is unique and stands in the request's path. Times are
    seconds of the machine's monotonic clock; ``due`` is when the request was
    to be sent, and latency counts from there; ``sent`` is when it was.
    """

    caller_request: str
    account: str
    service: str
    method: str
    path: str
    daemon: str
    due: float
    sent: float = 0.0
    end: float = 0.0
    outcome: CallOutcome = CallOutcome.TIMEOUT
    status: int = 0
    request_id: str = ''
    verdict: str = ''
    reason: str = ''
    retry_after: str = ''
    target: str = ''
    idempotency_key: str = ''
    detail: str = ''


def record_failure(record: CallRecord, failure: WebFailure) -> None:
    """Record that no whole answer came.

    :param record: the record to fill.
    :param failure: what the connection saw.
    """
    record.outcome = (
        CallOutcome.BROKEN
        if failure.may_have_been_sent
        else CallOutcome.UNREACHABLE
    )
    record.status = failure.status
    record.detail = failure.detail


def record_answer(
    record: CallRecord, req: WebRequest, answer: WebAnswer
) -> None:
    """Record and judge an answer.

    :param record: the record to fill.
    :param req: what was sent.
    :param answer: what was received.
    """
    record.status = answer.status
    record.request_id = answer.header('x-request-id')
    record.verdict = answer.header('x-verdict')
    record.reason = answer.header('x-reason')
    record.retry_after = answer.header('retry-after')
    if record.reason:
        record.outcome = CallOutcome.REFUSED
    elif answer.status >= MIN_SERVER_ERROR_STATUS:
        record.outcome = CallOutcome.FAILED
    else:
        record.detail = _find_answer_fault(record, req, answer)
        record.outcome = (
            CallOutcome.WRONG if record.detail else CallOutcome.ANSWERED
        )


def _find_answer_fault(
    record: CallRecord, req: WebRequest, answer: WebAnswer
) -> str:
    if req.method == 'HEAD' or answer.status == NO_CONTENT_STATUS:
        return ''
    if answer.header('content-digest') != content_digest(answer.body):
        return 'the digest is not that of the body'
    try:
        body = msgspec.json.decode(answer.body, type=AnswerBody)
    except msgspec.MsgspecError as exc:
        return f'not a service answer: {exc}'
    record.target = body.target
    if body.request_id != record.request_id:
        return f'the body belongs to request {body.request_id}'
    sent = (req.method, req.target, hashlib.sha256(req.body).hexdigest())
    if (body.method, body.path, body.body_sha256) != sent:
        return f'the answer is to {body.method} {body.path}'
    return ''

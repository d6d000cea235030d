"""Records of the calls of the load caller, with a check of each answer."""

import enum
import hashlib

import msgspec

from clementinedeal_bench._target_answer import AnswerBody, content_digest
from clementinedeal_bench._web_client import WebFailure
from clementinedeal_bench._web_messages import WebAnswer, WebRequest

MIN_SERVER_ERROR_STATUS = 500
NO_CONTENT_STATUS = 204


class CallOutcome(enum.Enum):
    """Outcome of a call as the caller sees it.

    ``ANSWERED`` is a complete answer to the caller's own request, ``REFUSED``
    an answer that the fleet gave in place of a target, ``FAILED`` an error
    status of a target, ``WRONG`` an answer whose body is damaged or belongs to
    another request, ``BROKEN`` a connection that ended early, ``TIMEOUT`` no
    answer within the caller's timeout, and ``UNREACHABLE`` a connection that
    could not be opened.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    WRONG = 'wrong'
    BROKEN = 'broken'
    TIMEOUT = 'timeout'
    UNREACHABLE = 'unreachable'


class CallRecord(msgspec.Struct, kw_only=True):
    """One call of the load caller.

    Written as a JSON line. Fields of the answer are empty without one.

    :param caller_request: unique id, part of the request's query.
    :param account: name of the client account.
    :param service: name of the service called.
    :param method: method of the request.
    :param path: path and query of the request.
    :param daemon: ``ip:port`` of the daemon called.
    :param due: monotonic seconds at which the request was to be sent; latency
        counts from here.
    :param sent: monotonic seconds at which it was sent.
    :param end: monotonic seconds at which the call ended.
    :param outcome: outcome of the call, ``TIMEOUT`` until there is a result.
    :param status: status of the answer, 0 without one.
    :param request_id: ``x-request-id`` of the answer.
    :param verdict: ``x-verdict`` of the answer: whether a target ran the
        request.
    :param reason: ``x-reason`` of a refusal.
    :param retry_after: ``retry-after`` of a refusal, in seconds.
    :param target: name of the target that answered.
    :param idempotency_key: key that the request carried.
    :param detail: what is wrong with the answer, or why there is none.
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
    """Record that no complete answer was received.

    :param record: the record to fill.
    :param failure: why there is none.
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
    """Record an answer and the outcome that follows from it.

    :param record: the record to fill.
    :param req: the request that was sent.
    :param answer: the answer to it.
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
        return 'content-digest does not match the body'
    try:
        body = msgspec.json.decode(answer.body, type=AnswerBody)
    except msgspec.MsgspecError as exc:
        return f'body is not an answer of a stand-in target: {exc}'
    record.target = body.target
    if body.request_id != record.request_id:
        return f'body belongs to request {body.request_id}'
    sent = (req.method, req.target, hashlib.sha256(req.body).hexdigest())
    if (body.method, body.path, body.body_sha256) != sent:
        return f'body answers {body.method} {body.path}'
    return ''

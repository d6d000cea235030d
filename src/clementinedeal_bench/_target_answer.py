"""Answers of the stand-in target, correct or with an injected fault."""

import base64
import hashlib

import msgspec

from clementinedeal_bench._gray_failures import InjectedFaults, WrongAnswerKind
from clementinedeal_bench._web_messages import HeaderList, WebAnswer, WebRequest

FOREIGN_REQUEST_ID = '00000000-0000-7000-8000-000000000000'
NO_CONTENT_STATUS = 204
PADDING = b' '


class AnswerBody(msgspec.Struct, frozen=True):
    """Body of every complete answer to a service request.

    It repeats the request, so that callers can check that the answer is theirs.

    :param target: name of the target.
    :param request_id: the ``x-request-id`` of the request.
    :param method: method of the request.
    :param path: path and query of the request.
    :param body_sha256: hex digest of the request's body.
    """

    target: str
    request_id: str
    method: str
    path: str
    body_sha256: str


def content_digest(body: bytes) -> str:
    """Return the value of a ``content-digest`` header.

    :param body: the content.
    """
    encoded = base64.b64encode(hashlib.sha256(body).digest()).decode()
    return f'sha-256=:{encoded}:'


def not_started_answer(cause: str) -> WebAnswer:
    """Return the refusal of a request on which no work was or will be done.

    :param cause: ``deadline``, ``cancelled``, ``leaving`` or ``full``.
    """
    return WebAnswer(
        status=503,
        headers=(
            ('x-target-refused', 'not-started'),
            ('x-target-cause', cause),
            ('retry-after', '1'),
        ),
    )


def abandonment_answer(cause: str) -> WebAnswer:
    """Return the answer to a request whose work was started and abandoned.

    :param cause: ``deadline`` or ``cancelled``.
    """
    return WebAnswer(status=504, headers=(('x-target-abandoned', cause),))


def service_answer(
    name: str, req: WebRequest, faults: InjectedFaults
) -> WebAnswer:
    """Return the answer to a request whose work is done.

    The query parameters ``status`` and ``bytes`` of the request set the status
    and the least length of the body.

    :param name: name of the target.
    :param req: the request.
    :param faults: faults to apply to the answer.
    """
    if faults.wrong_kind is WrongAnswerKind.STATUS:
        return WebAnswer(status=500, headers=_id_headers(req, faults))
    body = _encode_body(name, req, faults)
    headers = (
        *_id_headers(req, faults),
        ('content-type', 'application/json'),
        ('content-digest', content_digest(body)),
    )
    if faults.wrong_kind is WrongAnswerKind.BODY:
        body = body.swapcase()
    status = int(req.query('status', '200'))
    if status == NO_CONTENT_STATUS:
        return WebAnswer(status=status, headers=_id_headers(req, faults))
    return WebAnswer(
        status=status,
        headers=headers,
        body=body,
        chunked=bool(req.query('bytes')),
        cut_after_bytes=len(body) // 2 if faults.is_cut_short else None,
    )


def _request_id(req: WebRequest, faults: InjectedFaults) -> str:
    if faults.wrong_kind is WrongAnswerKind.REQUEST_ID:
        return FOREIGN_REQUEST_ID
    return req.header('x-request-id')


def _id_headers(req: WebRequest, faults: InjectedFaults) -> HeaderList:
    return (('x-request-id', _request_id(req, faults)),)


def _encode_body(name: str, req: WebRequest, faults: InjectedFaults) -> bytes:
    body = msgspec.json.encode(
        AnswerBody(
            target=name,
            request_id=_request_id(req, faults),
            method=req.method,
            path=req.target,
            body_sha256=hashlib.sha256(req.body).hexdigest(),
        ),
    )
    return body.ljust(int(req.query('bytes', '0')), PADDING)

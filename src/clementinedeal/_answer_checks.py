"""Checks that an answer is whole and belongs to its request."""

import base64
import hashlib
from collections.abc import AsyncIterator

from clementinedeal._http import ConnLostError, ResponseHead

CONTENT_DIGEST_HEADER = b'content-digest'
REQUEST_ID_HEADER = b'x-request-id'
_SHA256_PREFIX = b'sha-256=:'


class AnswerWrongError(ConnLostError):
    """The answer does not match its digest or its request."""


def check_request_id(head: ResponseHead, req_id: str) -> None:
    """Check the echoed request id, if the target echoes one.

    :param head: the answer's head.
    :param req_id: id that was sent.
    :raises AnswerWrongError: the answer is for another request.
    """
    echoed = head.header(REQUEST_ID_HEADER)
    if echoed is not None and echoed != req_id.encode():
        raise AnswerWrongError('answer carries a foreign request id')


def is_framed(head: ResponseHead, method: str) -> bool:
    """Whether the end of the answer can be told from a cut.

    :param head: the answer's head.
    :param method: the request's method.
    """
    if method == 'HEAD' or head.status in {204, 304}:
        return True
    return (
        head.header(b'content-length') is not None
        or head.header(b'transfer-encoding') is not None
    )


async def check_digest(
    head: ResponseHead,
    pieces: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    """Pass a body through and check its digest at the end.

    :param head: the answer's head; its digest header is optional.
    :param pieces: the body.
    :raises AnswerWrongError: the digest does not match.
    """
    expected = _expected_sha256(head)
    digest = hashlib.sha256()
    async for piece in pieces:
        if expected is not None:
            digest.update(piece)
        yield piece
    if expected is not None and digest.digest() != expected:
        raise AnswerWrongError('answer does not match its digest')


def _expected_sha256(head: ResponseHead) -> bytes | None:
    text = head.header(CONTENT_DIGEST_HEADER)
    if text is None or not text.startswith(_SHA256_PREFIX):
        return None
    encoded = text[len(_SHA256_PREFIX) :].split(b':', 1)[0]
    try:
        return base64.b64decode(encoded)
    except ValueError:
        return b''

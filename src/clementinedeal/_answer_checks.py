"""Checks that an answer is complete and belongs to its request."""

import base64
import hashlib
from collections.abc import AsyncIterator

from clementinedeal._http import ConnLostError, ResponseHead

CONTENT_DIGEST_HEADER = b'content-digest'
REQUEST_ID_HEADER = b'x-request-id'
_SHA256_PREFIX = b'sha-256=:'


class AnswerWrongError(ConnLostError):
    """The answer has a wrong digest or the id of another request."""


def check_request_id(head: ResponseHead, req_id: str) -> None:
    """Check the request id in an answer if the target echoes one.

    :param head: head of the answer.
    :param req_id: id that was sent to the target.
    :raises AnswerWrongError: the answer has another id.
    """
    echoed = head.header(REQUEST_ID_HEADER)
    if echoed is not None and echoed != req_id.encode():
        raise AnswerWrongError('answer has the id of another request')


def is_framed(head: ResponseHead, method: str) -> bool:
    """Return whether an incomplete answer can be detected.

    That is so if the answer has a declared length, is chunked or has no body.
    Otherwise its body ends with the connection, and a broken connection looks
    like a regular end.

    :param head: head of the answer.
    :param method: method of the request.
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
    """Yield the pieces of a body and check its digest at the end.

    :param head: head of the answer; its digest header is optional.
    :param pieces: the body.
    :raises AnswerWrongError: the digest does not match the body.
    """
    expected = _expected_sha256(head)
    digest = hashlib.sha256()
    async for piece in pieces:
        if expected is not None:
            digest.update(piece)
        yield piece
    if expected is not None and digest.digest() != expected:
        raise AnswerWrongError('answer body does not match its digest')


def _expected_sha256(head: ResponseHead) -> bytes | None:
    """Return the declared SHA-256 digest, None if there is none.

    A malformed digest is returned as b'', which matches no body.
    """
    text = head.header(CONTENT_DIGEST_HEADER)
    if text is None or not text.startswith(_SHA256_PREFIX):
        return None
    encoded = text[len(_SHA256_PREFIX) :].split(b':', 1)[0]
    try:
        return base64.b64decode(encoded)
    except ValueError:
        return b''

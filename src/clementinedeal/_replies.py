"""A request as it is forwarded, and the reply to one attempt at it."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from clementinedeal._http import ConnLostError, RequestHead, ResponseHead
from clementinedeal._verdict import Reason, Verdict


class Body(Protocol):
    """A request or response body, buffered or streamed."""

    @property
    def whole(self) -> bytes | None:
        """The whole body if it is buffered, else None."""
        ...

    def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body in pieces; only a buffered one can be read twice."""
        ...


class WholeBody:
    """A body that is buffered and can be sent again."""

    def __init__(self, whole: bytes) -> None:
        """Wrap a body.

        :param whole: the body, empty if there is none.
        """
        self._whole = whole

    @property
    def whole(self) -> bytes | None:
        """The whole body."""
        return self._whole

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body as one piece, or nothing if it is empty."""
        if self._whole:
            yield self._whole


class StreamedBody:
    """A body that is too large to buffer and can be read only once."""

    whole: bytes | None = None

    def __init__(self, first: bytes, remaining: AsyncIterator[bytes]) -> None:
        """Join the part that has been read to the remaining pieces.

        :param first: bytes that have been read.
        :param remaining: yields the pieces that follow.
        """
        self._first = first
        self._remaining = remaining
        self._is_consumed = False

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body in pieces.

        :raises ConnLostError: the body has been read before.
        """
        if self._is_consumed:
            raise ConnLostError('a streamed body cannot be sent twice')
        self._is_consumed = True
        yield self._first
        async for piece in self._remaining:
            yield piece


@dataclass(frozen=True, slots=True)
class Request:
    """A request as it is forwarded.

    :param head: method, path and end-to-end headers.
    :param body: the body.
    """

    head: RequestHead
    body: Body


@dataclass(frozen=True, slots=True)
class AttemptRefusal:
    """Reply to an attempt that got no usable answer from its target.

    :param verdict: whether the attempt may have run; ``NOT_RUN`` is proved.
    :param reason: why it failed.
    :param retry_after: seconds after which a retry makes sense, 0 if unknown.
    :param admitted: whether the account's token was taken.
    :param incarnation: the owner's present incarnation, empty if not given.
    """

    verdict: Verdict
    reason: Reason
    retry_after: float = 0.0
    admitted: bool = False
    incarnation: str = ''


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """Reply to an attempt that its target answered.

    :param head: status and headers.
    :param body: the body; reading it raises an error if it ends early.
    :param admitted: whether the account's token was taken.
    :param target_seconds: time that the target took to answer.
    """

    head: ResponseHead
    body: Body
    admitted: bool = False
    target_seconds: float = 0.0


AttemptReply: TypeAlias = AttemptRefusal | TargetAnswer


async def buffer_body(
    pieces: AsyncIterator[bytes],
    max_bytes: int,
) -> Body:
    """Read a body up to a limit.

    :param pieces: yields the body.
    :param max_bytes: size in bytes up to which the body is buffered.
    :returns: a ``WholeBody``, or a ``StreamedBody`` if it is larger.
    """
    first = bytearray()
    async for piece in pieces:
        first += piece
        if len(first) > max_bytes:
            return StreamedBody(bytes(first), pieces)
    return WholeBody(bytes(first))

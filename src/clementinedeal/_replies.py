"""What an attempt comes to, wherever it ran, and what a request carries."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from clementinedeal._http import ConnLostError, RequestHead, ResponseHead
from clementinedeal._verdict import Reason, Verdict


class Body(Protocol):
    """A request body on its way."""

    @property
    def whole(self) -> bytes | None:
        """The whole body when it is buffered, else None."""
        ...

    def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body; a second call needs a buffered body."""
        ...


class WholeBody:
    """A body that is buffered and can be sent again."""

    def __init__(self, whole: bytes) -> None:
        """Wrap the bytes."""
        self._whole = whole

    @property
    def whole(self) -> bytes | None:
        """The whole body."""
        return self._whole

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body at once."""
        if self._whole:
            yield self._whole


class StreamedBody:
    """A body that passes through once; its first part may be buffered."""

    whole: bytes | None = None

    def __init__(self, first: bytes, rest: AsyncIterator[bytes]) -> None:
        """Join what was read with what is to come.

        :param first: bytes that were read already.
        :param rest: yields the others.
        """
        self._first = first
        self._rest = rest
        self._is_consumed = False

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body.

        :raises ConnLostError: it was sent before.
        """
        if self._is_consumed:
            raise ConnLostError('the body cannot be sent again')
        self._is_consumed = True
        yield self._first
        async for piece in self._rest:
            yield piece


@dataclass(frozen=True, slots=True)
class Request:
    """A request as it is forwarded: end-to-end headers only."""

    head: RequestHead
    body: Body


@dataclass(frozen=True, slots=True)
class AttemptRefusal:
    """The attempt brought no usable answer.

    ``verdict`` is proved; ``admitted`` tells whether the account's token was
    taken; ``retry_after`` is in seconds; ``incarnation`` is the owner's.
    """

    verdict: Verdict
    reason: Reason
    retry_after: float = 0.0
    admitted: bool = False
    incarnation: str = ''


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """The target's answer; ``body`` fails if it turns out not to be whole.

    ``target_seconds`` is the time that the target took.
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
    """Read a body; it is buffered whole if it fits.

    :param pieces: yields the body.
    :param limit: largest buffered body in bytes.
    """
    first = bytearray()
    async for piece in pieces:
        first += piece
        if len(first) > max_bytes:
            return StreamedBody(bytes(first), pieces)
    return WholeBody(bytes(first))

"""What a mesh daemon asks of the platform it runs on."""

from dataclasses import dataclass
from typing import Protocol

from clementinedeal._errors import ClementinedealError
from clementinedeal._http import Headers, RequestHead, ResponseHead
from clementinedeal.mesh._types import DeclarationUpdate, Listing, TargetUpdate


class SourceError(ClementinedealError):
    """The platform did not answer, or not usefully."""


class HistoryGoneError(SourceError):
    """A watch asked for changes that the platform no longer keeps."""


class DeclarationSource(Protocol):
    """Where declarations are published."""

    async def read(self) -> DeclarationUpdate:
        """Return the newest declaration.

        :raises SourceError: the source gave no answer.
        """
        ...

    async def wait(self, revision: int, seconds: float) -> DeclarationUpdate:
        """Wait for a declaration newer than a revision.

        An answer also proves that nothing newer was published before it.

        :param revision: the newest one known.
        :param seconds: how long the source waits for one.
        :raises SourceError: the source gave no answer.
        """
        ...


class Registry(Protocol):
    """Where targets are listed."""

    async def list_targets(self, *, may_lag: bool) -> Listing:
        """Return every listed target.

        :param may_lag: whether a cheaper answer, seconds old, will do.
        :raises SourceError: the registry gave no answer.
        """
        ...

    async def read_target(self, name: str) -> TargetUpdate:
        """Return what is listed of one target now.

        :param name: the target.
        :raises SourceError: the registry gave no answer.
        """
        ...

    async def wait_target(
        self,
        name: str,
        revision: int,
        seconds: float,
    ) -> TargetUpdate:
        """Wait for a change of one target.

        :param name: the target.
        :param revision: the newest one known.
        :param seconds: how long the registry waits.
        :raises SourceError: the registry gave no answer.
        """
        ...


class Platform(DeclarationSource, Registry, Protocol):
    """What publishes declarations and lists targets."""

    calls: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerHeaders:
    """What a caller's headers say; ``patience`` is in seconds."""

    req_id: str
    timeout: float | None
    key: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallContext:
    """What the owner tells a target beside the caller's own headers.

    ``left`` is the time to the deadline in seconds; ``account`` is empty on
    public routes; ``caller`` is the service the request came from.
    """

    req_id: str
    seconds_left: float
    target: str
    account: str
    caller_service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHeaders:
    """What a target's answer says besides its status and body.

    ``idle`` is how long the target keeps an idle connection, in seconds.
    """

    not_run: bool
    req_id: str
    sealed: bool
    encoded: bool
    misdirected: bool
    closing: bool
    idle_seconds: float | None = None


class Dialect(Protocol):
    """How callers and targets speak."""

    def read_request(self, head: RequestHead) -> CallerHeaders:
        """Decode what a caller's headers say."""
        ...

    def target_headers(self, headers: Headers, context: CallContext) -> Headers:
        """Return the headers for the target.

        :param headers: the caller's, end to end.
        :param stamp: what the system adds; it replaces what callers sent.
        """
        ...

    def read_answer(self, head: ResponseHead) -> AnswerHeaders:
        """Decode what a target's headers say."""
        ...

    def is_ready_check(self, head: RequestHead) -> bool:
        """Whether the platform asks if this daemon takes work."""
        ...

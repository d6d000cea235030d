"""Interfaces between a mesh daemon and the platform it runs on."""

from dataclasses import dataclass
from typing import Protocol

from clementinedeal._errors import ClementinedealError
from clementinedeal._events import EventLog
from clementinedeal._http import Headers, RequestHead, ResponseHead
from clementinedeal._pool import ConnPool
from clementinedeal.mesh._types import (
    DeclarationUpdate,
    Listing,
    ListingChanges,
    Revision,
    TargetUpdate,
)


class SourceError(ClementinedealError):
    """A call to the platform got no answer, or an unusable one."""


class HistoryGoneError(SourceError):
    """A watch asked for changes that the platform no longer keeps.

    Either they are too old, or the platform was restored from a copy and its
    revisions belong to another history.
    """


class DeclarationSource(Protocol):
    """Publishes declarations.

    A revision is the source's own counter of its changes. A wait from a
    revision of another era raises ``HistoryGoneError``.
    """

    async def read(self) -> DeclarationUpdate:
        """Return the newest declaration.

        :raises SourceError: the source gave no answer.
        """
        ...

    async def wait(
        self, revision: Revision, seconds: float
    ) -> DeclarationUpdate:
        """Wait for a declaration newer than a revision.

        An answer without one shows that none was published before the call
        was sent or, if the source held the call for the full time, before the
        call ended.

        :param revision: the newest revision known.
        :param seconds: how long the source holds the call.
        :raises SourceError: the source gave no answer.
        """
        ...


class Registry(Protocol):
    """Lists the targets of the fleet."""

    async def list_targets(self, *, may_lag: bool) -> Listing:
        """Return every listed target.

        :param may_lag: accept a cheaper answer that may be seconds old.
        :raises SourceError: the registry gave no answer.
        """
        ...

    async def wait_changes(
        self, revision: Revision, seconds: float
    ) -> ListingChanges:
        """Wait for changes of any target after a revision.

        The answer shows all changes that were made before the call was sent
        or, if the registry held it for the full time, before it ended.

        :param revision: the newest revision known.
        :param seconds: how long the registry holds the call.
        :raises SourceError: the registry gave no answer.
        """
        ...

    async def read_target(self, name: str) -> TargetUpdate:
        """Return the current entry of one target.

        :param name: the name of the target.
        :raises SourceError: the registry gave no answer.
        """
        ...

    async def wait_target(
        self,
        name: str,
        revision: Revision,
        seconds: float,
    ) -> TargetUpdate:
        """Wait for a change of one target's entry.

        :param name: the name of the target.
        :param revision: the newest revision known.
        :param seconds: how long the registry holds the call.
        :raises SourceError: the registry gave no answer.
        """
        ...


class Platform(DeclarationSource, Registry, Protocol):
    """Publishes declarations and lists targets; ``calls`` counts calls."""

    calls: int


class OpenPlatform(Protocol):
    """Opens the platform."""

    def __call__(
        self,
        address: str,
        pool: ConnPool,
        events: EventLog,
        *,
        has_evacuations: bool,
    ) -> Platform:
        """Return the platform at an address.

        :param address: its ``ip:port``.
        :param pool: connections.
        :param events: log of values that cannot be decoded.
        :param has_evacuations: whether operators evacuate availability zones,
            so that the declarations' source tells them.
        """
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerHeaders:
    """The decoded headers of a caller's request.

    ``timeout`` is how long the caller waits, in seconds, None if it does not
    say; ``key`` is its API key.
    """

    req_id: str
    timeout: float | None
    key: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallContext:
    """What the owner knows of a request, for its target's headers.

    ``seconds_left`` is the time to the deadline; ``target`` the name of the
    target that must run the request; ``account`` is empty on public routes;
    ``caller_service`` is the service that the request came from. ``req_id``
    is the caller's own id of the request, which the target returns.
    """

    req_id: str
    seconds_left: float
    target: str
    account: str
    caller_service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetStatement:
    """What a target says of itself in the headers of an answer.

    ``request_limit`` is how many requests a second it takes from all daemons
    together, None if it names no limit. ``limit_unreadable``: it names one that
    is not a number. ``leaving``: it accepts no new requests and will end.
    ``warmup_seconds`` is how long it stays cold, None if it does not say.
    """

    request_limit: float | None = None
    limit_unreadable: bool = False
    leaving: bool = False
    warmup_seconds: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHeaders:
    """The decoded headers of a target's answer.

    ``not_run``: the target refused the request before running it.
    ``misdirected``: it did so because it is not the process that the request
    names, but another one at the same address. ``sealed``:
    the answer carries the mark that the target's server sets. ``encoded``:
    the body has a content encoding. ``closing``: the target closes the
    connection. ``idle_seconds`` is how long it keeps an idle connection.
    ``statement`` is what the target says of itself.
    """

    not_run: bool
    req_id: str
    sealed: bool
    encoded: bool
    misdirected: bool
    closing: bool
    idle_seconds: float | None = None
    statement: TargetStatement = TargetStatement()


class Dialect(Protocol):
    """Encodes and decodes the headers of callers and targets."""

    def read_request(self, head: RequestHead) -> CallerHeaders:
        """Decode the headers of a caller's request.

        :param head: the request's head.
        """
        ...

    def target_headers(self, headers: Headers, context: CallContext) -> Headers:
        """Return the headers for the target.

        :param headers: the caller's end-to-end headers.
        :param context: what is added; it replaces what the caller sent.
        """
        ...

    def read_answer(self, head: ResponseHead) -> AnswerHeaders:
        """Decode the headers of a target's answer.

        :param head: the answer's head.
        """
        ...

    def is_ready_check(self, head: RequestHead) -> bool:
        """Whether a request is the platform's check for readiness.

        :param head: the request's head.
        """
        ...

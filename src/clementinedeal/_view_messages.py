"""Messages by which daemons keep their view of the fleet."""

from dataclasses import dataclass

from clementinedeal._messages import message


@dataclass(frozen=True, slots=True, order=True)
class VersionRef:
    """A published version and the digest of its root."""

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class Contact:
    """Some daemon read the platform and found nothing above ``version``.

    ``age`` is at least the time since then, in seconds.
    """

    version: int
    age: float


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """What an instance said of itself at least ``age`` seconds ago.

    ``index`` is its place among the sorted published names.
    """

    index: int
    incarnation: int
    leaving: bool
    age: float


@message
@dataclass(frozen=True, slots=True, kw_only=True)
class ViewRequest:
    """Asks for the receiver's view.

    ``control`` is the sender's control address; ``full`` asks for the records
    of all instances.
    """

    nonce: int
    control: str
    held: VersionRef | None
    full: bool


@message
@dataclass(frozen=True, slots=True, kw_only=True)
class ViewAnswer:
    """The sender's view when it answered.

        ``held`` is in force there and known to have been published ``held_for``
    seconds ago, ``rejected`` its newest refused version, ``newest`` the
    highest version it knows to exist and ``accepted`` the highest that it
    knows to be in force anywhere. ``ages`` gives, by index
        in the names that ``names`` is the digest of, quarter seconds since each
        instance was heard, 255 for longer.
    """

    nonce: int
    incarnation: int
    leaving: bool
    fresh: bool
    held: VersionRef | None
    held_for: float
    rejected: VersionRef | None
    newest: int
    accepted: int
    contact: Contact | None
    names: int
    ages: bytes
    records: tuple[MemberRecord, ...]
    records_digest: int


@message
@dataclass(frozen=True, slots=True)
class Announcement:
    """The sender holds this version whole."""

    ref: VersionRef


@message
@dataclass(frozen=True, slots=True)
class RootRequest:
    """Asks for the root of a version."""

    nonce: int
    ref: VersionRef


@message
@dataclass(frozen=True, slots=True)
class RootAnswer:
    """The root asked for, or nothing where the sender doesn't hold it."""

    nonce: int
    root: bytes | None


@message
@dataclass(frozen=True, slots=True)
class PartsRequest:
    """Asks for parts by digest."""

    nonce: int
    digests: tuple[str, ...]


@message
@dataclass(frozen=True, slots=True)
class PartsAnswer:
    """Those of the parts asked for that the sender has and that fit."""

    nonce: int
    parts: tuple[bytes, ...]


@message
@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """The sender stops taking new work."""

    incarnation: int

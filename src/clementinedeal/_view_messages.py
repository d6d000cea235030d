"""Messages by which daemons keep their view of the fleet."""

from dataclasses import dataclass

from clementinedeal._messages import message


@dataclass(frozen=True, slots=True, order=True)
class VersionRef:
    """A published version and the digest of its root.

    The root is the value that lists the digests of all parts of the version.
    """

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class Contact:
    """Some daemon read the platform and found no version above ``version``.

    This was at most ``age`` seconds ago.
    """

    version: int
    age: float


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """What an instance reported about itself, at most ``age`` seconds ago.

    ``index`` is the position of its name among the sorted published names.
    ``leaving`` is whether it takes no new requests.
    """

    index: int
    incarnation: int
    leaving: bool
    age: float


@message
@dataclass(frozen=True, slots=True, kw_only=True)
class ViewRequest:
    """Asks for the receiver's view.

    ``nonce`` is repeated in the answer. ``control`` is the sender's control
    address, ``held`` the version in force at the sender. ``full`` asks for
    the records of all instances.
    """

    nonce: int
    control: str
    held: VersionRef | None
    full: bool


@message
@dataclass(frozen=True, slots=True, kw_only=True)
class ViewAnswer:
    """The sender's view at the time of its answer.

    ``incarnation``, ``leaving`` and ``fresh`` are those of the sender.
    ``held`` is the version in force there, which was published at least
    ``held_for`` seconds ago. ``rejected`` is the newest version that the
    sender rejected, ``newest`` the highest one that it knows to exist and
    ``accepted`` the highest one that it knows to be in force anywhere.

    ``names`` is a digest of the sorted published names. ``ages`` has one byte
    for each of them: the time since that instance was heard from, in quarters
    of a second, rounded up, or 255 if it is longer. ``records_digest`` is a
    digest of the records of all instances; ``records`` has all of them, or
    those that changed in the last ``RECENT_CHANGE_SECONDS`` (``_roster``).
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
    """Announces a version that the sender has with all its parts."""

    ref: VersionRef


@message
@dataclass(frozen=True, slots=True)
class RootRequest:
    """Asks for the root of a version; ``nonce`` is repeated in the answer."""

    nonce: int
    ref: VersionRef


@message
@dataclass(frozen=True, slots=True)
class RootAnswer:
    """The root that was asked for, or None if the sender doesn't have it."""

    nonce: int
    root: bytes | None


@message
@dataclass(frozen=True, slots=True)
class PartsRequest:
    """Asks for parts by digest; ``nonce`` is repeated in the answer."""

    nonce: int
    digests: tuple[str, ...]


@message
@dataclass(frozen=True, slots=True)
class PartsAnswer:
    """The requested parts that the sender has and that fit into one message."""

    nonce: int
    parts: tuple[bytes, ...]


@message
@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Announces that the sender takes no new requests."""

    incarnation: int

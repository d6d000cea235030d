"""Messages with which daemons tell each other what the platform says."""

import msgspec

from clementinedeal.mesh._types import Evacuations, Revision, Target


class NewsRequest(msgspec.Struct, frozen=True, array_like=True, tag='ask'):
    """Asks a daemon what it knows of the platform.

    ``number`` identifies the request, for the reply to it. ``address`` is the
    ``ip:port`` of the target that the asking daemon owns, ``known`` the state
    that it knows of, empty if it knows none. ``version`` is that of the
    declaration that it has in force, 0 if none. ``link_mbps`` is the rate of
    the asking daemon's link in Mbit/s, 0 if it is not known.
    """

    number: int
    address: str
    known: str
    version: int = 0
    link_mbps: float = 0.0


class NewsReply(msgspec.Struct, frozen=True, array_like=True, tag='version'):
    """A daemon's reply to the request ``number``.

    ``version`` is that of its declaration, and ``age`` the seconds since that
    was proved the newest. ``target`` is the newest process listed at the
    address that was asked for, None if there is none or if ``is_unchanged``
    says that its state is the one that was asked about, as the registry said
    ``list_age`` seconds ago, in ``era``. An age is infinite if the daemon does
    not know. Ages are those at the time of the reply. ``evacuations`` is None
    if the daemon knows of none; they are as old as the declaration.
    ``is_delegate``: the asking daemon shall follow the declarations, too.
    ``revision`` is that at which the platform showed the declaration last.
    """

    number: int
    version: int
    age: float
    list_age: float
    target: Target | None
    is_unchanged: bool
    era: int = 0
    evacuations: Evacuations | None = None
    is_delegate: bool = False
    revision: Revision | None = None


class NewsHint(msgspec.Struct, frozen=True, array_like=True, tag='hint'):
    """Tells a daemon that asking at once is worth it.

    ``version`` is that of the sender's declaration, 0 if it has none.
    """

    version: int = 0

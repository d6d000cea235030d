"""Messages with which daemons ask each other for accounts' tokens."""

from typing import TypeAlias

import msgspec


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag='draw'):
    """Asks the home of an account, or its deputy, for one token.

    ``number`` identifies the request, for the reply to it. ``rate`` and
    ``burst`` are the account's limits by the asker's declaration, whose
    version is ``version``. ``is_deputy``: those before the addressee in the
    account's ranking do not answer the asker.
    """

    number: int
    account: str
    version: int
    rate: float
    burst: float
    is_deputy: bool = False


class TokenNotice(msgspec.Struct, frozen=True, array_like=True, tag='taken'):
    """Tells those before a deputy in the ranking of a token it has granted."""

    account: str


class ContactRequest(msgspec.Struct, frozen=True, array_like=True, tag='touch'):
    """Asks another daemon for any reply, to learn whether the link works."""

    number: int


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag='grant'):
    """A reply to the request ``number``.

    ``pause`` is 0 if the token is granted, else the seconds after which the
    caller should retry. If not ``is_counting``, the replying daemon
    decided nothing: it does not count the account by its own list of daemons,
    or was only asked for contact.
    """

    number: int
    pause: float
    is_counting: bool = True


TokenMessage: TypeAlias = (
    TokenRequest | TokenNotice | ContactRequest | TokenReply
)

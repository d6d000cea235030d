"""Answers of the platform's store."""

import base64

import msgspec

from clementinedeal.platform._declaration import UnreadableError


class Item(msgspec.Struct):
    """One stored value.

    ``value`` is base64; ``revision`` is the store's revision of the last
    change of this key, ``at_rev`` that of the answer. ``deleted`` marks the
    event of a removal.
    """

    key: str
    value: str = ''
    revision: int = 0
    at_rev: int = 0
    deleted: bool = False

    def blob(self) -> bytes:
        """Return the decoded value.

        :raises UnreadableError: the value is not base64.
        """
        try:
            return base64.b64decode(self.value, validate=True)
        except ValueError as exc:
            raise UnreadableError(
                f'{self.key}: the value is not base64'
            ) from exc


class ItemPage(msgspec.Struct):
    """One page of encoded items; ``at_rev`` is the revision that it shows."""

    items: list[msgspec.Raw]
    has_more: bool
    at_rev: int


class StoreRevision(msgspec.Struct):
    """An answer without an item: only the store's revision."""

    at_rev: int = 0


class Changes(msgspec.Struct):
    """The answer to a watch; encoded ``events`` in the order of changes."""

    events: list[msgspec.Raw]
    at_rev: int

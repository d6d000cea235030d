"""What the platform's store answers."""

import base64

import msgspec

from clementinedeal.platform._declaration import UnreadableError


class Item(msgspec.Struct):
    """One stored value; ``revision`` is that of its last change."""

    key: str
    value: str = ''
    revision: int = 0
    at_rev: int = 0
    deleted: bool = False

    def blob(self) -> bytes:
        """Return the value as it was written.

        :raises UnreadableError: it is not base64.
        """
        try:
            return base64.b64decode(self.value, validate=True)
        except ValueError as exc:
            raise UnreadableError(f'{self.key}: not base64') from exc


class ItemPage(msgspec.Struct):
    """One page of items."""

    items: list[Item]
    has_more: bool
    at_rev: int


class StoreRevision(msgspec.Struct):
    """What an answer without an item tells."""

    at_rev: int = 0


class Changes(msgspec.Struct):
    """What a watch answers."""

    events: list[Item]
    at_rev: int

"""Names of the operators' keys in the platform's store."""

from collections.abc import Iterable

from clementinedeal.platform._items import Item

ORDERS_PREFIX = 'op/'
CONFIG_KEY = 'op/config'
_EVACUATION_PREFIX = 'op/evacuate/'


def evacuated_zones(items: Iterable[Item]) -> dict[str, bool]:
    """Return whether the zones that items name are evacuated.

    A zone is evacuated while its key exists, whatever its value is.

    :param items: items of any keys, the newest of a key last.
    """
    return {
        item.key.removeprefix(_EVACUATION_PREFIX): not item.deleted
        for item in items
        if item.key.startswith(_EVACUATION_PREFIX)
        and item.key != _EVACUATION_PREFIX
    }

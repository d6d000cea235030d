"""In which availability zones a request may run."""

from collections.abc import Collection
from dataclasses import dataclass

from clementinedeal._verdict import Reason
from clementinedeal.mesh._types import Target


@dataclass(frozen=True, slots=True)
class AllowedZones:
    """The zones in which one request may run at present.

    ``evacuated`` ones are not allowed.
    """

    evacuated: frozenset[str] = frozenset()

    def allow(self, target: Target) -> bool:
        """Whether the request may go to a target.

        :param target: the target.
        """
        return target.zone not in self.evacuated

    def find_refusal(self, targets: Collection[Target]) -> Reason | None:
        """Return why the request may go to none of some targets.

        :param targets: the targets of its service that accept requests.
        :return: None if it may go to some, or if there are none.
        """
        if not targets or any(map(self.allow, targets)):
            return None
        return Reason.ZONE_EVACUATED


EVERY_ZONE = AllowedZones()

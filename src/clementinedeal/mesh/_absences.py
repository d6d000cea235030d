"""How long targets that are no longer listed are remembered."""

from collections.abc import Collection, Iterable

from clementinedeal._timers import Clock

# Longer than a target drains, and than a copy that the registry is restored
# from is old.
FORGET_SECONDS = 300.0
# More targets than a release of a large fleet replaces in that time.
MAX_ABSENT = 4096


class Absences:
    """Tells which names have been absent from the list for too long."""

    def __init__(self, clock: Clock) -> None:
        """Start without absences.

        :param clock: monotonic time.
        """
        self._clock = clock
        # in the order of their absence
        self._absent_since: dict[str, float] = {}

    def update(
        self, listed: Collection[str], remembered: Iterable[str]
    ) -> list[str]:
        """Return the names to forget.

        :param listed: names of all listed targets.
        :param remembered: all names that the caller remembers.
        """
        now = self._clock.now()
        for name in listed:
            self._absent_since.pop(name, None)
        for name in remembered:
            if name not in listed:
                self._absent_since.setdefault(name, now)
        excess = len(self._absent_since) - MAX_ABSENT
        forgotten = [
            absent
            for number, (absent, since) in enumerate(self._absent_since.items())
            if number < excess or now >= since + FORGET_SECONDS
        ]
        for departed in forgotten:
            del self._absent_since[departed]
        return forgotten

"""A number that falls at once and rises only after a wait."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Superseded:
    """A former value that still limits until a time."""

    value: int
    until: float


class Ceiling:
    """The lowest of the value now and those of the last ``wait`` seconds."""

    def __init__(self, wait: float) -> None:
        """Start at zero.

        :param wait: seconds for which a former value goes on limiting.
        """
        self._wait = wait
        self._value = 0
        self._former: list[Superseded] = []

    def change(self, value: int, now: float) -> None:
        """Set the value.

        :param value: the new one.
        :param now: monotonic time in seconds.
        """
        if value == self._value:
            return
        self._former = [one for one in self._former if one.until > now]
        self._former.append(Superseded(self._value, now + self._wait))
        self._value = value

    def lowest(self, now: float) -> int:
        """Return what is allowed now.

        :param now: monotonic time in seconds.
        """
        limits = [one.value for one in self._former if one.until > now]
        return min([self._value, *limits])

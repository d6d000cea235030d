"""A value that falls at once and rises only after a wait."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FormerValue:
    """A former value, which counts until ``expires_at`` (monotonic seconds)."""

    value: int
    expires_at: float


class TrailingMinimum:
    """The lowest of the present value and those of a time window."""

    def __init__(self, window_seconds: float) -> None:
        """Start with the value zero.

        :param window_seconds: time for which a former value still counts.
        """
        self._window_seconds = window_seconds
        self._value = 0
        self._former_values: list[FormerValue] = []

    def set_value(self, value: int, now: float) -> None:
        """Replace the value.

        :param value: the new value.
        :param now: monotonic time in seconds.
        """
        if value == self._value:
            return
        self._former_values = [
            former for former in self._former_values if former.expires_at > now
        ]
        self._former_values.append(
            FormerValue(self._value, now + self._window_seconds)
        )
        self._value = value

    def minimum(self, now: float) -> int:
        """Return the lowest of the value and the former ones that count.

        :param now: monotonic time in seconds.
        """
        former_values = [
            former.value
            for former in self._former_values
            if former.expires_at > now
        ]
        return min([self._value, *former_values])

"""Structured events, stamped by a hybrid logical clock."""

import collections
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

# The newest events, which operators can read from the daemon.
MAX_BUFFERED_EVENTS = 20_000
_COUNTER_BITS = 16  # lower bits of a stamp, which hold the counter
_MS_PER_SECOND = 1000

log = logging.getLogger('clementinedeal')


@dataclass(frozen=True, slots=True)
class Event:
    """One event at one instance.

    ``hlc`` is a stamp that orders the events of all instances: milliseconds
    of wall-clock time in the upper bits, a counter in the lower 16.
    ``incarnation`` identifies the run of the instance, ``name`` is the kind
    of event, and ``fields`` holds its details as pairs of key and value.
    """

    hlc: int
    instance: str
    incarnation: str
    name: str
    fields: tuple[tuple[str, str], ...]

    def line(self) -> str:
        """Return the event as one line of key=value pairs."""
        pairs = ' '.join(f'{key}={_quote(text)}' for key, text in self.fields)
        return (
            f'hlc={self.hlc} instance={self.instance} '
            f'incarnation={self.incarnation} event={self.name} {pairs}'
        ).rstrip()


def _quote(text: str) -> str:
    if not text or any(char.isspace() or char in '"=' for char in text):
        plain = text.replace('"', "'").replace('\n', ' ')
        return f'"{plain}"'
    return text


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since the Unix epoch."""
    return int(time.time() * _MS_PER_SECOND)


class HybridClock:
    """Hybrid logical clock: its stamps rise and exceed all stamps observed."""

    def __init__(self, physical_ms: Callable[[], int] = wall_ms) -> None:
        """Create a clock.

        :param physical_ms: reads the wall clock in milliseconds.
        """
        self._physical_ms = physical_ms
        self._last = 0

    def stamp(self) -> int:
        """Return the next stamp."""
        physical = self._physical_ms() << _COUNTER_BITS
        self._last = max(self._last + 1, physical)
        return self._last

    def observe(self, received: int) -> None:
        """Advance the clock to a stamp received from another instance.

        :param received: the sender's stamp.
        """
        self._last = max(self._last, received)


class EventLog:
    """Keeps the latest ``MAX_BUFFERED_EVENTS`` events and logs each one."""

    def __init__(
        self,
        instance: str,
        incarnation: str,
        clock: HybridClock | None = None,
    ) -> None:
        """Create an empty log.

        :param instance: name of this instance.
        :param incarnation: identifies this run of the process.
        :param clock: stamps the events.
        """
        self.instance = instance
        self.incarnation = incarnation
        self.clock = clock or HybridClock()
        self._events: collections.deque[Event] = collections.deque(
            maxlen=MAX_BUFFERED_EVENTS,
        )

    def emit(self, name: str, **fields: object) -> None:
        """Record and log one event.

        :param name: event name in kebab case.
        :param fields: details; values are converted with ``str``.
        """
        event = Event(
            hlc=self.clock.stamp(),
            instance=self.instance,
            incarnation=self.incarnation,
            name=name,
            fields=tuple((key, str(raw)) for key, raw in fields.items()),
        )
        self._events.append(event)
        if log.isEnabledFor(logging.INFO):
            log.info(event.line())

    def json_lines(self, since: int = 0) -> bytes:
        """Return the kept events as JSON lines.

        :param since: stamp; only later events are returned.
        """
        events = [event for event in self._events if event.hlc > since]
        return msgspec.json.Encoder().encode_lines(events)

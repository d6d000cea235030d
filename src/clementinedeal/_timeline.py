"""Time line of a fleet: the events of many daemons in causal order."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime

import msgspec

from clementinedeal._errors import ProtocolError
from clementinedeal._events import Event

COUNTER_BITS = 16  # lower bits of a stamp, which hold a counter

_MS_PER_SECOND = 1000
_LOG_LINE = re.compile(
    r'hlc=(?P<hlc>\d+) instance=(?P<instance>\S+) '
    r'incarnation=(?P<incarnation>\S+) event=(?P<name>\S+)(?P<fields>.*)',
)
_LOG_FIELD = re.compile(r' ([\w-]+)=("[^"]*"|\S*)')
_REQUEST_FIELDS = frozenset(('req', 'attempt'))


@dataclass(frozen=True, slots=True, kw_only=True)
class TimelineFilter:
    """Selects events by request id, target, account and event name.

    An empty value matches all events.
    """

    request: str = ''
    target: str = ''
    account: str = ''
    event: str = ''

    def matches(self, event: Event) -> bool:
        """Return whether an event matches all values of the filter.

        :param event: the event.
        """
        return (
            self.event in {'', event.name}
            and self._matches_request(event)
            and _has_field(event, 'target', self.target)
            and _has_field(event, 'account', self.account)
        )

    def _matches_request(self, event: Event) -> bool:
        wanted = self.request
        return not wanted or any(
            key in _REQUEST_FIELDS and text.split('/')[0] == wanted
            for key, text in event.fields
        )


def read_events(lines: bytes) -> tuple[Event, ...]:
    """Parse the events of one daemon.

    :param lines: JSON lines, as its operator endpoint ``/events`` returns.
    :raises ProtocolError: a line is malformed.
    """
    try:
        events = msgspec.json.Decoder(Event).decode_lines(lines)
    except msgspec.MsgspecError as exc:
        raise ProtocolError(f'malformed event: {exc}') from exc
    return tuple(events)


def read_log(text: str) -> tuple[Event, ...]:
    """Parse the events in log lines of one process or of several.

    Text before an event on its line is ignored, and so are lines without an
    event.

    :param text: log lines, as daemons write them.
    """
    matches = (_LOG_LINE.search(line) for line in text.splitlines())
    return tuple(
        Event(
            hlc=int(line['hlc']),
            instance=line['instance'],
            incarnation=line['incarnation'],
            name=line['name'],
            fields=tuple(
                (key, raw.strip('"'))
                for key, raw in _LOG_FIELD.findall(line['fields'])
            ),
        )
        for line in matches
        if line is not None
    )


def merge_events(
    logs: Iterable[Iterable[Event]],
    event_filter: TimelineFilter | None = None,
) -> tuple[Event, ...]:
    """Return the events of all daemons, causes before their effects.

    An event that is in several logs is returned once. The stamps of one
    daemon rise strictly, so events with equal stamps are of different daemons
    and causally unrelated.

    :param logs: the events of each daemon.
    :param event_filter: selects the events to return; None selects all.
    """
    active_filter = event_filter or TimelineFilter()
    events = {
        event
        for events in logs
        for event in events
        if active_filter.matches(event)
    }
    return tuple(sorted(events, key=_sort_key))


def wall_time(hlc: int) -> str:
    """Return a stamp's wall-clock time in ISO 8601, UTC, to the millisecond.

    :param hlc: the stamp of an event.
    """
    seconds = (hlc >> COUNTER_BITS) / _MS_PER_SECOND
    utc_time = datetime.fromtimestamp(seconds, UTC)
    return utc_time.isoformat(timespec='milliseconds')


def render_text(events: Iterable[Event]) -> str:
    """Return a text with one line for each event.

    :param events: in the order of the lines.
    """
    lines = (
        f'time={wall_time(event.hlc)} {event.line()}\n' for event in events
    )
    return ''.join(lines)


def _sort_key(event: Event) -> tuple[int, str, str]:
    return event.hlc, event.instance, event.name


def _has_field(event: Event, name: str, wanted: str) -> bool:
    return not wanted or (name, wanted) in event.fields

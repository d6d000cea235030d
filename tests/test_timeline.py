"""Order, filters and formats of the time line."""

import random
from html.parser import HTMLParser

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinedeal._errors import ProtocolError
from clementinedeal._events import Event, EventLog, HybridClock
from clementinedeal._timeline import (
    TimelineFilter,
    merge_events,
    read_events,
    read_log,
    render_text,
    wall_time,
)
from clementinedeal._timeline_page import render_page


@given(st.integers(0, 1 << 32), st.lists(st.integers(-9000, 9000), min_size=3))
def test_causes_come_before_effects_despite_wrong_wall_clocks(
    seed: int, errors_ms: list[int]
) -> None:
    rng = random.Random(seed)
    wall = [1_700_000_000_000]
    logs = [
        EventLog(
            f'i{number}', 'x', HybridClock(lambda error=error: wall[0] + error)
        )
        for number, error in enumerate(errors_ms)
    ]
    for message in range(20):
        wall[0] += rng.randrange(5)
        sender, receiver = rng.sample(logs, 2)
        sender.emit('sent', number=message)
        receiver.clock.observe(sender.clock.stamp())
        receiver.emit('received', number=message)
    assert logs[0].json_lines().count(b'}\n') == len(list(logs[0]._events))
    served = [read_events(log.json_lines()) for log in logs]
    merged = merge_events([*served, served[0]])
    assert len(merged) == 40
    order = [(record.name, int(record.fields[0][1])) for record in merged]
    for message in range(20):
        sent, received = ('sent', message), ('received', message)
        assert order.index(sent) < order.index(received)


def event(hlc: int, name: str, **fields: str) -> Event:
    return Event(hlc, 'i<1>', 'x', name, tuple(fields.items()))


EVENTS = (
    event(1, 'request-started', req='r', attempt='r/0', target='t'),
    event(2, 'request-started', req='q', attempt='q/0', target='u'),
    event(3, 'attempt-cancelled', attempt='r/0'),
    event(4, 'request-finished', req='r', account='c'),
)


@pytest.mark.parametrize(
    ('wanted', 'stamps'),
    [
        (TimelineFilter(), [1, 2, 3, 4]),
        (TimelineFilter(request='r'), [1, 3, 4]),
        (TimelineFilter(target='u'), [2]),
        (TimelineFilter(account='c'), [4]),
        (TimelineFilter(request='r', event='request-started'), [1]),
    ],
)
def test_each_filter_keeps_only_matching_events(
    wanted: TimelineFilter, stamps: list[int]
) -> None:
    merged = merge_events([EVENTS], wanted)
    assert [record.hlc for record in merged] == stamps


def test_text_has_one_line_an_event_with_its_wall_time() -> None:
    stamp = 1_700_000_000_123 << 16
    assert wall_time(stamp) == '2023-11-14T22:13:20.123+00:00'
    lines = render_text(EVENTS).splitlines()
    assert len(lines) == 4
    assert lines[3].endswith('event=request-finished req=r account=c')


class PageReader(HTMLParser):
    """Collects the tags of a page and the attributes that load other files."""

    def __init__(self) -> None:
        super().__init__()
        self.tags: list[str] = []
        self.external_links: list[str] = []

    def handle_starttag(
        self, tag: str, attrs: list[tuple[str, str | None]]
    ) -> None:
        self.tags.append(tag)
        self.external_links += [
            key for key, _ in attrs if key in ('src', 'href')
        ]


def test_the_page_has_lanes_and_rows_and_no_external_links() -> None:
    page = render_page((*EVENTS, event(5, '<script>', text='"&')))
    reader = PageReader()
    reader.feed(page)
    assert reader.tags.count('circle') == 5
    assert reader.tags.count('tr') == 6
    assert reader.tags.count('text') == 1
    assert reader.tags.count('script') == 1
    assert reader.external_links == []


def test_a_malformed_line_is_refused() -> None:
    with pytest.raises(ProtocolError):
        read_events(b'{"hlc": "x"}\n')


def test_events_are_read_back_from_log_lines() -> None:
    logged = event(9, 'platform-lost', part='a', reason='no answer, "late"')
    lines = [
        '   0.5 n1 time=2026-01-01 00:00:00,001 level=INFO ' + logged.line(),
        'Traceback (most recent call last):',
        *(record.line() for record in EVENTS),
    ]
    read = read_log('\n'.join(lines))
    assert read[1:] == EVENTS
    assert read[0].fields[1] == ('reason', "no answer, 'late'")
    chosen = merge_events([read], TimelineFilter(request='q'))
    assert [record.name for record in chosen] == ['request-started']

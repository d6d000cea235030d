"""Targets that name a request limit, or their end, in their answers."""

from clementinedeal._events import EventLog
from clementinedeal._timers import VirtualClock
from clementinedeal.mesh._contracts import TargetStatement
from clementinedeal.mesh._target_limit import TargetLimit

NOTHING = TargetStatement()


def limited(limit):
    return TargetStatement(request_limit=limit)


def make_limit():
    clock = VirtualClock(100.0)
    limit = TargetLimit(clock, EventLog('i', '1'))
    limit.reset('t1')
    return limit, clock


def test_answer_written_before_the_limit_was_named_does_not_end_it():
    limit, clock = make_limit()
    limit.on_statement(limited(2), sent_at=99.0)
    clock.advance(0.5)
    limit.on_statement(NOTHING, sent_at=99.5)
    assert limit.limit == 2
    limit.on_statement(NOTHING, sent_at=100.2)
    assert limit.limit is None


def test_unreadable_limit_keeps_the_former_one():
    limit, clock = make_limit()
    limit.on_statement(limited(2), sent_at=99.0)
    clock.advance(1)
    limit.on_statement(TargetStatement(limit_unreadable=True), sent_at=100.5)
    assert limit.limit == 2


def test_another_process_starts_without_statements():
    limit, _ = make_limit()
    limit.on_statement(
        TargetStatement(request_limit=2, leaving=True), sent_at=99.0
    )
    limit.reset('t2')
    assert limit.limit is None
    assert not limit.is_leaving

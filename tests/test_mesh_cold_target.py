"""Targets that bear few requests for some seconds."""

from dataclasses import replace

import pytest
import trio
from tests.owner_standins import (
    REQUEST,
    TARGET,
    SpeakingTarget,
    make_attempt,
    make_owner,
    submit_steadily,
)

from clementinedeal._events import EventLog
from clementinedeal._timers import VirtualClock
from clementinedeal._verdict import Reason
from clementinedeal.mesh._contracts import TargetStatement
from clementinedeal.mesh._outcomes import not_run
from clementinedeal.mesh._target_limit import TargetLimit
from clementinedeal.mesh._types import ServiceRule
from clementinedeal.mesh._warmup import (
    RAMP_SECONDS,
    UNDECLARED_RATE,
    Warmup,
)

RATE = 6.0
WARMUP_SECONDS = 3.0
RULE = ServiceRule(name='s', warmup_rate=RATE, warmup_seconds=WARMUP_SECONDS)
COLD = replace(TARGET, started_ms=5, warmup_seconds=WARMUP_SECONDS)
WARM = replace(COLD, warmup_seconds=0.0)
# the rule of the platform: requests in any second
ALLOWED = 1.5 * RATE + 8
LOAD = 100


def start_owner(client, nursery, target, rule=RULE):
    owner = make_owner(client, nursery)
    owner.limit.warmup.set_services([rule])
    owner.set_target(target)
    return owner


@pytest.fixture
def client():
    client = SpeakingTarget()
    client.work_seconds = 0.02
    return client


async def test_cold_target_gets_the_rate_it_bears_then_more_and_more(
    client, nursery, autojump_clock
):
    owner = start_owner(client, nursery, COLD)
    began_at = trio.current_time()
    state = owner.target_condition()
    assert state.pause > 0
    assert state.slots < TARGET.slots
    assert state.limit is None
    await submit_steadily(owner, 8, rate=LOAD, insist=True)
    counts = [
        sum(began_at + n <= at < began_at + n + 1 for at in client.arrivals)
        for n in range(8)
    ]
    assert all(RATE - 1 <= count <= 1.25 * RATE + 1 for count in counts[:3])
    for former, count in zip(counts[2:5], counts[3:6], strict=True):
        assert former < count <= 2.5 * former
    assert counts[7] == pytest.approx(LOAD, abs=5)


async def _become_cold_by_entry(owner, client, nursery):
    owner.set_target(COLD)
    return owner


async def _become_cold_by_answer(owner, client, nursery):
    client.statement = TargetStatement(warmup_seconds=WARMUP_SECONDS)
    await owner.submit(make_attempt('one', insist=True), REQUEST).done.wait()
    client.statement = TargetStatement()
    return owner


async def _restart_owner(owner, client, nursery):
    owner.set_target(COLD)
    await submit_steadily(owner, 0.5, rate=LOAD, insist=True)
    owner.stop_admitting()
    client.on_statement.clear()
    return start_owner(client, nursery, replace(COLD, warmup_seconds=2.5))


async def _vanish(owner, client, nursery):
    owner.set_target(COLD)
    await submit_steadily(owner, 0.5, rate=LOAD, insist=True)
    owner.set_target(None)
    owner.set_target(replace(COLD, warmup_seconds=0.0))
    return owner


async def _freeze_owner(owner, client, nursery):
    owner.set_target(replace(COLD, warmup_seconds=WARMUP_SECONDS + 2))
    await trio.sleep(2)
    return owner


async def _replace_process(owner, client, nursery):
    owner.set_target(replace(COLD, name='t2', started_ms=6))
    owner.set_target(replace(COLD, started_ms=7))
    return owner


@pytest.mark.parametrize(
    'disturb',
    [
        _become_cold_by_entry,
        _become_cold_by_answer,
        _restart_owner,
        _vanish,
        _freeze_owner,
        _replace_process,
    ],
)
async def test_no_second_of_a_cold_target_has_more_than_it_bears(
    client, nursery, autojump_clock, disturb
):
    owner = start_owner(client, nursery, WARM)
    await submit_steadily(owner, 1, rate=20, insist=True)
    cold_at = trio.current_time()
    owner = await disturb(owner, client, nursery)
    await submit_steadily(owner, 2.4, rate=LOAD, insist=True)
    assert client.most_arrivals(cold_at, seconds=1) <= ALLOWED
    assert len(client.arrivals) > RATE


async def test_service_without_a_rate_is_served_as_before(
    client, nursery, autojump_clock
):
    rule = replace(RULE, warmup_rate=0.0)
    owner = start_owner(client, nursery, COLD, rule)
    assert owner.target_condition().slots == TARGET.slots
    await submit_steadily(owner, 1, rate=LOAD, insist=True)
    assert len(client.arrivals) == LOAD


async def test_process_after_a_refused_connection_is_taken_for_cold(
    nursery, autojump_clock
):
    class Down(SpeakingTarget):
        async def call(self, request, context):
            await trio.lowlevel.checkpoint()
            return not_run(Reason.NO_TARGET)

    owner = start_owner(Down(), nursery, WARM)
    await owner.submit(make_attempt('one'), REQUEST).done.wait()
    assert owner.limit.warmup.rate() == RATE


async def test_request_without_a_token_in_time_reaches_no_target(
    client, nursery, autojump_clock
):
    owner = start_owner(client, nursery, COLD)
    attempts = [make_attempt(f'a{n}', wait=0.4) for n in range(10)]
    executions = [owner.submit(one, REQUEST) for one in attempts]
    for execution in executions:
        await execution.done.wait()
    refused = [one for one in executions if not one.outcome.succeeded]
    assert {one.outcome.reason for one in refused} == {Reason.TARGET_LIMITED}
    assert len(client.arrivals) == 10 - len(refused)
    assert 2 <= len(client.arrivals) <= 4


def make_warmup(target, *rules):
    clock = VirtualClock(100)
    warmup = Warmup(clock, EventLog('i', '1'))
    warmup.set_target(target)
    if rules:
        warmup.set_services(rules)
    return warmup, clock


def test_later_word_of_less_does_not_end_a_warmup():
    warmup, clock = make_warmup(COLD, RULE)
    clock.advance(1)
    warmup.set_target(WARM)
    warmup.on_told(0, 'answer')
    assert warmup.rate() == RATE
    clock.advance(WARMUP_SECONDS - 1 + RAMP_SECONDS)
    assert warmup.rate() is None


def test_each_cold_process_is_logged():
    events = EventLog('i', '1')
    warmup = Warmup(VirtualClock(100), events)
    warmup.set_services([RULE])
    for target in (COLD, replace(COLD, started_ms=6)):
        warmup.set_target(target)
    assert events.json_lines().count(b'target-cold') == 2


def test_unchanged_entry_does_not_prolong_a_warmup():
    warmup, clock = make_warmup(COLD, RULE)
    clock.advance(WARMUP_SECONDS - 0.5)
    warmup.set_target(replace(COLD, slots=3))
    clock.advance(0.6)
    assert not warmup.is_cold


@pytest.mark.parametrize('warmup_seconds', [None, 0.0])
def test_process_that_does_not_say_is_cold_as_long_as_its_service_declares(
    warmup_seconds,
):
    target = replace(COLD, warmup_seconds=warmup_seconds)
    warmup, clock = make_warmup(target, RULE)
    clock.advance(WARMUP_SECONDS - 0.1)
    assert warmup.is_cold is (warmup_seconds is None)
    clock.advance(0.2)
    assert not warmup.is_cold


def test_cold_target_gets_few_requests_before_a_declaration_is_known():
    warmup, _ = make_warmup(COLD)
    assert warmup.rate() == UNDECLARED_RATE
    warmup.set_services([replace(RULE, name='other')])
    assert warmup.rate() is None


@pytest.mark.parametrize(('named', 'in_force'), [(2.0, 2.0), (50.0, RATE)])
def test_lower_of_the_named_limit_and_the_warmup_counts(named, in_force):
    limit = TargetLimit(VirtualClock(100), EventLog('i', '1'))
    limit.warmup.set_services([RULE])
    limit.set_target(COLD)
    limit.on_statement(TargetStatement(request_limit=named), sent_at=99.0)
    assert limit.rate == in_force
    assert limit.seconds_until_open() == pytest.approx(1 / in_force)


def test_reader_tells_an_owner_that_its_target_is_cold_again():
    assert COLD.state != WARM.state

"""The bench's stand-in for a target: queue, deadlines and failure modes."""

import json

import pytest
import trio

from clementinedeal_bench._executions import ExecutionState, decode_lines
from clementinedeal_bench._gray_failures import (
    FaultInjector,
    GrayMode,
    GraySettings,
)
from clementinedeal_bench._target import Target, TargetSettings
from clementinedeal_bench._target_answer import content_digest
from clementinedeal_bench._web_messages import WebRequest


@pytest.fixture
def target(autojump_clock) -> Target:
    cfg = TargetSettings(
        name='t1',
        slots=2,
        queue_limit=1,
        service_seconds=1.0,
        service_time_sigma=0,
    )
    return Target(cfg)


def request(request_id: str, path: str = '/jobs', **headers: str) -> WebRequest:
    pairs = {'x-request-id': request_id}
    pairs |= {key.replace('_', '-'): text for key, text in headers.items()}
    return WebRequest(
        method='POST',
        target=path,
        headers=tuple(pairs.items()),
        body=b'body',
    )


async def set_mode(target: Target, **settings: object) -> int:
    body = json.dumps(settings).encode()
    req = WebRequest(method='PUT', target='/control/mode', body=body)
    return (await target.handle(req)).status


async def executions(target: Target):
    req = WebRequest(method='GET', target='/control/executions')
    return decode_lines((await target.handle(req)).body)


async def test_an_answer_and_its_execution_record_are_complete(target):
    req = request('r1', '/jobs?bytes=5000', authorization='Bearer k')
    answer = await target.handle(req)
    assert answer.chunked
    assert len(answer.body) == 5000
    assert answer.header('content-digest') == content_digest(answer.body)
    assert answer.header('x-request-id') == 'r1'
    assert json.loads(answer.body)['target'] == 't1'
    (entry,) = await executions(target)
    assert entry.state is ExecutionState.FINISHED
    assert 'authorization' in entry.header_names


async def test_requests_beyond_slots_and_queue_are_refused(target):
    statuses = {}

    async def ask(request_id: str) -> None:
        answer = await target.handle(request(request_id))
        statuses[request_id] = (
            answer.status,
            answer.header('x-target-refused'),
        )

    async with trio.open_nursery() as nursery:
        for number in range(4):
            nursery.start_soon(ask, f'r{number}')
    refused = [key for key, seen in statuses.items() if seen[0] == 503]
    assert statuses[refused[0]] == (503, 'not-started')
    ran = {entry.request_id for entry in await executions(target)}
    assert ran == set(statuses) - set(refused)
    assert len(ran) == 3


async def test_deadline_and_cancel_answers_say_whether_work_started(target):
    answers = {}

    async def ask(request_id: str, **headers: str) -> None:
        answers[request_id] = await target.handle(
            request(request_id, **headers)
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask, 'late')
        nursery.start_soon(ask, 'stopped')
        await trio.sleep(0.1)
        await ask('queued', x_deadline_ms='300')
        cancel = WebRequest(method='POST', target='/cancel/stopped')
        cancel_answer = await target.handle(cancel)
    assert json.loads(cancel_answer.body) == {'cancelled': 'started'}
    assert answers['queued'].header('x-target-refused') == 'not-started'
    assert answers['stopped'].header('x-target-abandoned') == 'cancelled'
    states = {each.request_id: each.state for each in await executions(target)}
    assert states == {
        'late': ExecutionState.FINISHED,
        'stopped': ExecutionState.STOPPED,
    }


async def test_a_leaving_target_says_so_and_refuses_work_after_its_drain(
    target,
):
    target.begin_leaving()
    answer = await target.handle(request('r1'))
    assert answer.status == 200
    assert answer.header('x-target-state') == 'leaving'
    target.settings = TargetSettings(name='t1', drain_seconds=0)
    refused = await target.handle(request('r2'))
    assert refused.header('x-target-refused') == 'not-started'
    probe = await target.handle(WebRequest(method='GET', target='/probe'))
    assert json.loads(probe.body) == {'state': 'leaving'}


async def test_each_wrong_answer_mode_has_its_effect(target):
    assert await set_mode(target, mode='wrong', wrong='request-id') == 200
    answer = await target.handle(request('r1'))
    assert answer.header('x-request-id') != 'r1'
    await set_mode(target, wrong='body')
    answer = await target.handle(request('r1'))
    assert answer.header('content-digest') != content_digest(answer.body)
    await set_mode(target, wrong='status')
    assert (await target.handle(request('r1'))).status == 500
    await set_mode(target, mode='short')
    answer = await target.handle(request('r1'))
    assert answer.cut_after_bytes < len(answer.body)
    assert await set_mode(target, mode='odd') == 400
    probe = await target.handle(WebRequest(method='GET', target='/probe'))
    assert probe.status == 200


def test_flap_alternates_and_share_limits_affected_requests() -> None:
    injector = FaultInjector(seed=1)
    flap = GraySettings(mode=GrayMode.FLAP, period=2, flap_mode=GrayMode.HANG)
    injector.configure(flap, 10.0)
    assert [injector.choose_faults(at).hangs for at in (11, 13, 15)] == [
        True,
        False,
        True,
    ]
    injector.configure(GraySettings(mode=GrayMode.SLOW, share=0.3), 20.0)
    slow = sum(
        injector.choose_faults(21.0).service_time_factor > 1
        for _ in range(1000)
    )
    assert 200 < slow < 400

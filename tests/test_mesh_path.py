"""Requests through a fleet of whole daemons."""

import msgspec
import pytest
import trio
from tests.mesh_fleet import wait_for_status
from tests.store_standin import configuration, registration

from clementinedeal._operator_client import fetch
from clementinedeal.mesh import _balancer
from clementinedeal.mesh._explanation import Explanation


async def test_every_daemon_serves_every_kind_of_route(fleet):
    for number in range(3):
        for path in ('/look/1', '/book/1'):
            answer, answer_body = await fleet.send(number, path, b'body')
            assert answer.status == 200
            assert answer.header(b'server-seal') == b's'
            assert answer_body.endswith(b':body')
    answer, _ = await fleet.send(0, '/open/1', key='')
    assert answer.status == 200


async def test_targets_get_account_and_caller_but_no_key(fleet):
    for number in range(3):
        await fleet.send(number, '/book/1', b'x')
    for _, _, headers, _ in fleet.runs():
        assert headers[b'tenant'] == b'shop'
        assert headers[b'caller-service'] == b'till'
        assert b'authorization' not in headers
        assert not any(name.startswith(b'x-clem') for name in headers)
        assert int(headers[b'deadline-ms']) <= 2000


async def test_unknown_routes_and_keys_are_refused(fleet):
    answer, _ = await fleet.send(0, '/none/1')
    assert answer.status == 404
    answer, _ = await fleet.send(0, '/look/1', key='wrong')
    assert answer.status == 401
    answer, _ = await fleet.send(0, '/look/1', key='')
    assert answer.status == 401


async def test_withdrawn_key_is_refused(fleet):
    fleet.store.put('op/config', configuration(2, api_keys=['key-2']))
    await wait_for_status(fleet, 1, 401, seconds=2)
    answer, _ = await fleet.send(1, '/look/1', key='key-2')
    assert answer.status == 200


@pytest.mark.parametrize('mode', ['fail', 'reset', 'foreign', 'endless'])
async def test_idempotent_requests_avoid_a_failing_target(fleet, mode):
    fleet.targets[0].mode = mode
    statuses = [
        (await fleet.send(number % 3, '/look/1'))[0].status
        for number in range(30)
    ]
    assert statuses.count(200) >= 29


@pytest.mark.parametrize('mode', ['fail', 'reset', 'foreign', 'endless'])
async def test_non_idempotent_requests_run_at_most_once(fleet, mode):
    for target in fleet.targets:
        target.mode = mode
    for number in range(12):
        answer, _ = await fleet.send(number % 3, '/book/1', b'x')
        assert answer.status == (500 if mode == 'fail' else 502)
    attempt_ids = [
        name for name, path, _, _ in fleet.runs() if path == '/book/1'
    ]
    assert len(attempt_ids) == len(set(attempt_ids)) == 12


async def test_an_endless_answer_is_given_up_at_once(fleet, monkeypatch):
    # the daemon tries the target of its own instance first
    monkeypatch.setattr(_balancer, 'OTHER_INSTANCE_COST', 10)
    fleet.targets[0].mode = 'endless'
    events = fleet.daemons[0].events
    with trio.fail_after(5):
        answer, _ = await fleet.send(0, '/look/1')
    assert answer.status == 200
    assert b'"answer-cut"' in events.json_lines()
    assert b'"deadline"' not in events.json_lines()


async def test_non_idempotent_requests_avoid_a_failing_target(fleet):
    fleet.targets[0].mode = 'fail'
    statuses = [
        (await fleet.send(number % 3, '/book/1'))[0].status
        for number in range(40)
    ]
    assert statuses.count(200) >= 36


async def test_requests_refused_by_one_target_run_at_another(fleet):
    fleet.targets[0].mode = 'shed'
    for number in range(9):
        answer, _ = await fleet.send(number % 3, '/book/1')
        assert answer.status == 200


async def test_request_is_cancelled_when_its_caller_disconnects(fleet):
    for target in fleet.targets:
        target.mode = 'hang'
    for number in range(3):
        with trio.move_on_after(0.15):
            await fleet.send(number, '/look/1')
    await trio.sleep(0.6)
    assert sum(target.disconnects for target in fleet.targets) >= 3


async def test_cancelled_request_and_attempt_are_logged_once(fleet):
    for target in fleet.targets:
        target.mode = 'hang'
    with trio.move_on_after(0.15):
        await fleet.send(0, '/look/1')
    await trio.sleep(0.1)
    lines = fleet.daemons[0].events.json_lines()
    assert lines.count(b'attempt-cut') == lines.count(b'caller-left') == 1


async def test_draining_target_gets_no_new_requests(fleet):
    draining = fleet.targets[0]
    fleet.store.put(
        'servers/t0',
        registration(draining.address, state='draining'),
    )
    await trio.sleep(1.5)
    count_before = len(draining.executed)
    for number in range(12):
        answer, _ = await fleet.send(number % 3, '/book/1')
        assert answer.status == 200
    assert len(draining.executed) == count_before


async def test_other_process_at_a_known_address_is_not_used(fleet):
    fleet.targets[0].name = 'successor'
    for number in range(9):
        answer, answer_body = await fleet.send(number % 3, '/book/1')
        assert answer.status == 200
        assert not answer_body.startswith(b'successor')


async def test_every_daemon_applies_a_new_declaration_in_time(fleet):
    fleet.store.put('op/config', configuration(2, api_keys=['key-2']))
    for number in range(3):
        await wait_for_status(fleet, number, 401, seconds=2)


async def test_requests_are_served_while_the_store_is_silent(fleet):
    fleet.store.mode = 'silent'
    await trio.sleep(2.5)
    answer, _ = await fleet.send(0, '/open/1', key='')
    assert answer.status == 200
    answer, _ = await fleet.send(0, '/look/1')
    assert answer.status == 200


async def test_keys_are_refused_when_the_declaration_is_stale(fleet):
    fleet.store.mode = 'silent'
    await trio.sleep(5.2)
    answer, _ = await fleet.send(0, '/look/1')
    assert answer.status == 503
    assert answer.header(b'x-verdict') == b'not-run'
    fleet.store.mode = 'ok'
    await wait_for_status(fleet, 0, 200, seconds=4)


async def test_request_ends_at_the_timeout_of_its_route(fleet):
    for target in fleet.targets:
        target.mode = 'hang'
    started_at = trio.current_time()
    answer, _ = await fleet.send(0, '/book/1', patience_ms=9000)
    assert 1.9 < trio.current_time() - started_at < 2.5
    assert answer.status in {502, 504}


async def test_slow_request_through_another_daemon_is_answered(
    remote_target_fleet,
):
    remote_target_fleet.targets[1].work_seconds = 1.0
    answer, answer_body = await remote_target_fleet.send(0, '/book/long', b'x')
    assert answer.status == 200
    assert answer_body == b't1:x'


async def test_non_idempotent_request_keeps_its_place_in_a_queue(
    remote_target_fleet, nursery
):
    remote_target_fleet.targets[1].work_seconds = 0.7
    nursery.start_soon(remote_target_fleet.send, 1, '/book/first', b'x')
    await trio.sleep(0.1)
    answer, _ = await remote_target_fleet.send(0, '/book/second', b'x')
    assert answer.status == 200
    paths = [
        path for _, path, _, _ in remote_target_fleet.runs() if 'book' in path
    ]
    assert paths == ['/book/first', '/book/second']


async def test_operators_get_explanations_and_no_request_is_sent(fleet):
    runs = len(fleet.runs())
    query = '/explain?host=h.example&path=%2Flook%2F1&account=shop'
    body = await fetch(fleet.settings[0].ready_address, query)
    explanation = msgspec.json.decode(body, type=Explanation)
    (service,) = explanation.services
    assert (explanation.account, explanation.refusal) == ('shop', '')
    assert service.first in {'t0', 't1', 't2'}
    assert b'key-' not in body
    assert len(fleet.runs()) == runs

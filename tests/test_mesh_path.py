"""Requests on their way through whole daemons."""

import pytest
import trio
from tests.mesh_fleet import answers
from tests.store_standin import configuration, registration


async def test_serves_every_kind_from_every_daemon(fleet):
    for number in range(3):
        for path in ('/look/1', '/book/1'):
            answer, whole = await fleet.send(number, path, b'body')
            assert answer.status == 200
            assert answer.header(b'server-seal') == b's'
            assert whole.endswith(b':body')
    answer, _ = await fleet.send(0, '/open/1', key='')
    assert answer.status == 200


async def test_targets_see_account_and_caller_and_no_key(fleet):
    for number in range(3):
        await fleet.send(number, '/book/1', b'x')
    for _, _, headers, _ in fleet.runs():
        assert headers[b'tenant'] == b'shop'
        assert headers[b'caller-service'] == b'till'
        assert b'authorization' not in headers
        assert not any(name.startswith(b'x-clem') for name in headers)
        assert int(headers[b'deadline-ms']) <= 2000


async def test_unknown_routes_and_keys(fleet):
    answer, _ = await fleet.send(0, '/none/1')
    assert answer.status == 404
    answer, _ = await fleet.send(0, '/look/1', key='wrong')
    assert answer.status == 401
    answer, _ = await fleet.send(0, '/look/1', key='')
    assert answer.status == 401


async def test_withdrawn_key_is_refused(fleet):
    fleet.store.put('op/config', configuration(2, api_keys=['key-2']))
    await answers(fleet, 1, 401, seconds=2)
    answer, _ = await fleet.send(1, '/look/1', key='key-2')
    assert answer.status == 200


@pytest.mark.parametrize('mode', ['fail', 'reset', 'foreign', 'endless'])
async def test_idempotent_requests_go_round_a_failing_target(fleet, mode):
    fleet.targets[0].mode = mode
    statuses = [
        (await fleet.send(number % 3, '/look/1'))[0].status
        for number in range(30)
    ]
    assert statuses.count(200) >= 29


@pytest.mark.parametrize('mode', ['fail', 'reset', 'foreign', 'endless'])
async def test_others_run_at_most_once(fleet, mode):
    for target in fleet.targets:
        target.mode = mode
    for number in range(12):
        answer, _ = await fleet.send(number % 3, '/book/1', b'x')
        assert answer.status == (500 if mode == 'fail' else 502)
    ids = [name for name, path, _, _ in fleet.runs() if path == '/book/1']
    assert len(ids) == len(set(ids)) == 12


async def test_an_endless_answer_is_given_up_at_once(fleet):
    fleet.targets[0].mode = 'endless'
    events = fleet.daemons[0].events
    with trio.fail_after(5):
        while b'"answer-cut"' not in events.json_lines():
            answer, _ = await fleet.send(0, '/look/1')
            assert answer.status == 200
    assert b'"deadline"' not in events.json_lines()


async def test_a_failing_target_is_set_aside_for_bookings(fleet):
    fleet.targets[0].mode = 'fail'
    statuses = [
        (await fleet.send(number % 3, '/book/1'))[0].status
        for number in range(40)
    ]
    assert statuses.count(200) >= 36


async def test_shed_requests_go_elsewhere(fleet):
    fleet.targets[0].mode = 'shed'
    for number in range(9):
        answer, _ = await fleet.send(number % 3, '/book/1')
        assert answer.status == 200


async def test_caller_that_leaves_takes_its_request_along(fleet):
    for target in fleet.targets:
        target.mode = 'hang'
    for number in range(3):
        with trio.move_on_after(0.15):
            await fleet.send(number, '/look/1')
    await trio.sleep(0.6)
    assert sum(target.left for target in fleet.targets) >= 3


async def test_what_is_cut_is_logged(fleet):
    for target in fleet.targets:
        target.mode = 'hang'
    with trio.move_on_after(0.15):
        await fleet.send(0, '/look/1')
    await trio.sleep(0.1)
    lines = fleet.daemons[0].events.json_lines()
    assert lines.count(b'attempt-cut') == lines.count(b'caller-left') == 1


async def test_leaving_target_gets_no_new_work(fleet):
    leaving = fleet.targets[0]
    fleet.store.put(
        'servers/t0',
        registration(leaving.address, state='draining'),
    )
    await trio.sleep(1.5)
    before = len(leaving.seen)
    for number in range(12):
        answer, _ = await fleet.send(number % 3, '/book/1')
        assert answer.status == 200
    assert len(leaving.seen) == before


async def test_another_process_at_the_address_is_not_used(fleet):
    fleet.targets[0].name = 'successor'
    for number in range(9):
        answer, whole = await fleet.send(number % 3, '/book/1')
        assert answer.status == 200
        assert not whole.startswith(b'successor')


async def test_serves_on_while_the_store_is_away(fleet):
    fleet.store.mode = 'silent'
    await trio.sleep(2.5)
    answer, _ = await fleet.send(0, '/open/1', key='')
    assert answer.status == 200
    answer, _ = await fleet.send(0, '/look/1')
    assert answer.status == 200


async def test_keys_are_refused_once_nothing_proves_them(fleet):
    fleet.store.mode = 'silent'
    await trio.sleep(5.2)
    answer, _ = await fleet.send(0, '/look/1')
    assert answer.status == 503
    assert answer.header(b'x-verdict') == b'not-run'
    fleet.store.mode = 'ok'
    await answers(fleet, 0, 200, seconds=4)


async def test_answers_at_the_routes_timeout(fleet):
    for target in fleet.targets:
        target.mode = 'hang'
    started = trio.current_time()
    answer, _ = await fleet.send(0, '/book/1', patience_ms=9000)
    assert 1.9 < trio.current_time() - started < 2.5
    assert answer.status in {502, 504}


async def test_a_long_run_behind_another_daemon_is_answered(far):
    far.targets[1].seconds = 1.0
    answer, whole = await far.send(0, '/book/long', b'x')
    assert answer.status == 200
    assert whole == b't1:x'


async def test_a_booking_keeps_its_place_in_a_queue(far, nursery):
    far.targets[1].seconds = 0.7
    nursery.start_soon(far.send, 1, '/book/first', b'x')
    await trio.sleep(0.1)
    answer, _ = await far.send(0, '/book/second', b'x')
    assert answer.status == 200
    paths = [path for _, path, _, _ in far.runs() if 'book' in path]
    assert paths == ['/book/first', '/book/second']

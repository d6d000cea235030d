"""Requests from a caller through entry and owner to stand-in targets."""

import json
from dataclasses import replace

import pytest
import trio

from clementinedeal._access import Access
from clementinedeal._client_conn import ClientConn
from clementinedeal._http import (
    ConnLostError,
    Headers,
    RequestHead,
    ResponseHead,
)
from clementinedeal._pool import split_address
from fleet import KEY, Fleet, running_fleet

BEARER = (b'authorization', b'Bearer ' + KEY)


async def call(
    fleet: Fleet,
    method: str = 'GET',
    body: bytes = b'',
    headers: Headers = (BEARER,),
    path: str = '/thing',
    address: str = '',
) -> tuple[ResponseHead, bytes]:
    where = split_address(address or fleet.cfg.instances['a'].caller)
    conn = ClientConn(await trio.open_tcp_stream(*where))
    if body:
        headers = (*headers, (b'content-length', b'%d' % len(body)))
    head = RequestHead(method, path, ((b'host', b'x'), *headers))
    await conn.send_whole(head, body)
    answer = await conn.read_head()
    whole = b''.join([piece async for piece in conn.read_body()])
    await conn.aclose()
    return answer, whole


def refusal(answer: ResponseHead) -> tuple[int, bytes | None, bytes | None]:
    verdict = answer.header(b'x-verdict')
    return answer.status, answer.header(b'x-reason'), verdict


async def test_a_request_reaches_the_target_without_its_key() -> None:
    async with running_fleet() as fleet:
        forged = (b'x-clementinedeal-forward', b'forged')
        mine = (b'x-request-id', b'mine')
        answer, body = await call(
            fleet,
            'POST',
            b'two sheets',
            (BEARER, forged, mine, (b'x-trace', b'7')),
        )
        (execution,) = fleet.executions()
    assert answer.status == 200
    received_id = json.loads(body)['request_id']
    assert answer.header(b'x-request-id') == received_id.encode()
    assert received_id != 'mine'
    names = {name.lower() for name in execution['header_names']}
    assert 'x-trace' in names
    assert not names & {'authorization', 'x-clementinedeal-forward'}


@pytest.mark.parametrize('size', [0, 10, 65_536, 150_000])
async def test_bodies_pass_whole_in_both_directions(size: int) -> None:
    async with running_fleet() as fleet:
        fleet.view.incarnations['b'] = 'b1'
        path = f'/thing?bytes={size}'
        answer, body = await call(fleet, 'POST', b'x' * size, path=path)
        (execution,) = fleet.executions()
    assert answer.status == 200
    assert len(body) >= size
    assert execution['state'] == 'finished'


@pytest.mark.parametrize(
    ('headers', 'expected'),
    [
        ((), (401, b'key-missing', b'not-run')),
        (
            ((b'authorization', b'Bearer x'),),
            (401, b'key-unknown', b'not-run'),
        ),
        (
            (BEARER, (b'content-length', b'200001')),
            (413, b'body-too-large', b'not-run'),
        ),
    ],
)
async def test_refused_requests_reach_no_target(
    headers: Headers,
    expected: tuple[int, bytes, bytes],
) -> None:
    async with running_fleet() as fleet:
        where = split_address(fleet.cfg.instances['a'].caller)
        conn = ClientConn(await trio.open_tcp_stream(*where))
        head = RequestHead('POST', '/thing', ((b'host', b'x'), *headers))
        await conn.send_head(head)
        assert refusal(await conn.read_head()) == expected
        assert fleet.executions() == []


async def test_a_withdrawn_key_stops_on_a_connection_that_is_kept() -> None:
    async with running_fleet() as fleet:
        where = split_address(fleet.cfg.instances['a'].caller)
        conn = ClientConn(await trio.open_tcp_stream(*where))
        head = RequestHead('GET', '/thing', ((b'host', b'x'), BEARER))
        await conn.send_whole(head, b'')
        assert (await conn.read_head()).status == 200
        assert [piece async for piece in conn.read_body()]
        assert conn.prepare_next()
        account = replace(fleet.cfg.accounts['acme'], key_digests=())
        fleet.view.access = Access(
            replace(fleet.cfg, accounts={'acme': account}),
        )
        await conn.send_whole(head, b'')
        answer = await conn.read_head()
    assert refusal(answer) == (401, b'key-unknown', b'not-run')


async def test_keys_are_not_honoured_on_a_stale_configuration() -> None:
    async with running_fleet() as fleet:
        fleet.view.has_fresh_config = False
        answer, _ = await call(fleet)
    assert refusal(answer) == (503, b'config-stale', b'not-run')


@pytest.mark.parametrize(
    'mode',
    [
        {'mode': 'short'},
        {'mode': 'wrong', 'wrong': 'body'},
        {'mode': 'wrong', 'wrong': 'request-id'},
    ],
)
async def test_a_bad_answer_is_retried_only_if_idempotent(
    mode: dict[str, str],
) -> None:
    async with running_fleet(('a', 'b')) as fleet:
        fleet.misbehave('t-a', **mode)
        read, _ = await call(fleet)
        write, _ = await call(fleet, 'POST', b'book')
        ran = [run for run in fleet.executions() if run['method'] == 'POST']
    assert read.status == 200
    status, reason, verdict = refusal(write)
    assert status == 502
    assert reason in {b'answer-incomplete', b'answer-wrong'}
    assert verdict in {b'ran', b'may-have-run'}
    assert len(ran) == 1


async def test_a_target_answer_cut_late_is_not_ended_as_whole() -> None:
    async with running_fleet() as fleet:
        fleet.misbehave('t-b', mode='short')
        with pytest.raises(ConnLostError):
            await call(fleet, path='/thing?bytes=300000')


async def test_a_dead_target_gives_not_run_and_others_take_over() -> None:
    async with running_fleet(('a', 'b')) as fleet:
        dead = fleet.cfg.targets['t-a']
        fleet.cfg.targets['t-a'] = replace(dead, address='127.0.0.1:9')
        answer, _ = await call(fleet, 'POST', b'book')
        fleet.view.order = ('t-a',)
        alone, _ = await call(fleet, 'POST', b'book')
    assert answer.status == 200
    assert refusal(alone) == (502, b'target-failed', b'not-run')


async def test_a_peer_request_without_a_valid_seal_is_refused() -> None:
    async with running_fleet() as fleet:
        peer = fleet.cfg.instances['b'].peer
        forged = (b'x-clementinedeal-forward', b'Zm9yZ2Vk')
        bare, _ = await call(fleet, address=peer)
        sealed, _ = await call(fleet, headers=(forged,), address=peer)
        assert (bare.status, sealed.status) == (403, 403)
        assert fleet.executions() == []


async def test_a_streamed_body_is_never_sent_in_part() -> None:
    async with running_fleet() as fleet:
        answer, _ = await call(fleet, 'POST', b'x' * 100_000)
        again, _ = await call(fleet, 'POST', b'x' * 100_000)
        ran = fleet.executions()
    assert refusal(answer) == (503, b'wrong-incarnation', b'not-run')
    assert again.status == 200
    assert len(ran) == 1


async def test_a_hang_ends_with_may_have_run_at_the_deadline() -> None:
    async with running_fleet() as fleet:
        fleet.misbehave('t-b', mode='hang')
        headers = (BEARER, (b'x-request-timeout-ms', b'200'))
        answer, _ = await call(fleet, 'POST', b'book', headers)
    assert refusal(answer) == (504, b'deadline', b'may-have-run')


async def test_a_hedge_replaces_a_hanging_attempt() -> None:
    async with running_fleet(('a', 'b')) as fleet:
        presets = {
            name: replace(preset, hedge_after=0.05)
            for name, preset in fleet.cfg.presets.items()
        }
        fleet.view.access = Access(replace(fleet.cfg, presets=presets))
        fleet.misbehave('t-a', mode='hang')
        read, _ = await call(fleet)
        write, _ = await call(fleet, 'POST', b'book')
        ran = [run for run in fleet.executions() if run['method'] == 'POST']
    assert read.status == 200
    assert refusal(write) == (504, b'deadline', b'may-have-run')
    assert len(ran) == 1

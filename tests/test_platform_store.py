"""The adapters to the users' platform, with a stand-in for its store."""

import pytest
import trio
from tests.store_standin import StoreStandIn, configuration, registration

from clementinedeal._events import EventLog
from clementinedeal._http import RequestHead, ResponseHead
from clementinedeal._pool import ConnPool
from clementinedeal._timers import MonotonicClock
from clementinedeal.mesh._contracts import (
    CallContext,
    HistoryGoneError,
    SourceError,
    TargetStatement,
)
from clementinedeal.mesh._types import Revision, ServiceRule
from clementinedeal.platform import PlatformDialect, PlatformStore, load_node


@pytest.fixture
async def store(nursery):
    standin = StoreStandIn()
    await standin.start(nursery)
    return standin


@pytest.fixture
def client(store):
    pool = ConnPool(MonotonicClock())
    return PlatformStore(store.address, pool, EventLog('i', '1'))


async def test_targets_are_listed_over_several_pages(store, client):
    for number in range(7):
        store.put(f'servers/t{number}', registration(f'10.0.0.{number + 1}:80'))
    store.put('op/config', configuration())
    listing = await client.list_targets(may_lag=True)
    assert sorted(listing.targets) == [f't{number}' for number in range(7)]
    assert listing.revision == Revision(store.era, store.revision)
    assert listing.targets['t0'].address == '10.0.0.1:80'


@pytest.mark.parametrize(
    'entry',
    [
        b'\xff\xfe',
        b'not json',
        {'address': '10.0.0.9:80'},
        registration('10.0.0.9:80', state='asleep'),
        registration('nowhere'),
        registration('10.0.0.9:80', info={'service': 3, 'zone': 'a'}),
    ],
)
async def test_unreadable_entry_names_no_target_and_is_logged_once(
    store,
    entry,
):
    events = EventLog('i', '1')
    client = PlatformStore(store.address, ConnPool(MonotonicClock()), events)
    store.put('servers/bad', entry)
    store.put('servers/good', registration('10.0.0.1:80'))
    for _ in range(3):
        listing = await client.list_targets(may_lag=False)
        assert list(listing.targets) == ['good']
    assert events.json_lines().count(b'value-unreadable') == 1


async def test_whole_configuration_is_read(store, client):
    assert (await client.read()).declaration is None
    store.put('op/config', configuration(version=4))
    news = await client.read()
    assert news.revision == Revision(store.era, store.revision)
    assert news.declaration.version == 4
    route = news.declaration.routes[1]
    assert (route.prefix, route.idempotent, route.max_targets) == (
        '/book/',
        False,
        2,
    )
    assert news.declaration.accounts[0].keys == ('key-1', 'key-2')
    assert news.declaration.limits.body_bytes == 100_000


@pytest.mark.parametrize(
    ('spec', 'rate', 'seconds'),
    [
        ({'warmup_s': 3.0, 'warmup_per_s': 6.0}, 6, 3),
        ({'warmup_s': None}, 0, 0),
        ({}, 0, 0),
    ],
)
async def test_service_declares_what_a_cold_target_bears(
    store, client, spec, rate, seconds
):
    value = configuration()
    entry = next(
        one for one in value['resources'] if one['entry_type'] == 'services'
    )
    entry['spec'].update(spec)
    store.put('op/config', value)
    rule = ServiceRule(name='till', warmup_rate=rate, warmup_seconds=seconds)
    assert (await client.read()).declaration.services == (rule,)


@pytest.mark.parametrize('told', [{}, {'warmup_s_time': 2.5}])
async def test_target_tells_how_long_it_stays_cold(store, client, told):
    status = {'state': 'ready', 'sequence': 1, **told}
    store.put('servers/t1', registration('10.0.0.1:80', status=status))
    target = (await client.read_target('t1')).target
    assert target.warmup_seconds == told.get('warmup_s_time')


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [(b'1500', 1.5), (b'0', 0), (b'-3', None), (b'x', None), (b'', None)],
)
def test_answer_tells_how_long_its_target_stays_cold(text, seconds):
    head = ResponseHead(200, ((b'warmup-ms', text),))
    answer = PlatformDialect().read_answer(head)
    assert answer.statement.warmup_seconds == seconds


@pytest.mark.parametrize(
    ('kind', 'may_repeat'),
    [('safe', True), ('download', True), ('unsafe', False), ('new', False)],
)
async def test_kind_of_a_route_says_whether_it_may_run_twice(
    store, client, kind, may_repeat
):
    value = configuration()
    value['resources'][0]['spec']['kind'] = kind
    store.put('op/config', value)
    declaration = (await client.read()).declaration
    assert declaration.routes[0].idempotent is may_repeat
    assert declaration.unknown_kinds == (('new',) if kind == 'new' else ())


async def test_watch_returns_the_next_configuration(store, client, nursery):
    store.put('op/config', configuration(version=4))
    news = await client.read()
    nursery.start_soon(_put_later, store)
    news = await client.wait(news.revision, 5)
    assert news.declaration.version == 5
    news = await client.wait(news.revision, 0.05)
    assert not news.changed


async def _put_later(store):
    await trio.sleep(0.05)
    store.put('op/config', configuration(version=5))


async def test_watch_reports_that_its_target_is_deleted(store, client):
    store.put('servers/t1', registration('10.0.0.1:80'))
    store.put('servers/t10', registration('10.0.0.2:80'))
    news = await client.read_target('t1')
    assert news.target.name == 't1'
    store.put('servers/t10', registration('10.0.0.2:80', state='draining'))
    news = await client.wait_target('t1', news.revision, 0.05)
    assert not news.changed
    store.delete('servers/t1')
    news = await client.wait_target('t1', news.revision, 1)
    assert news.changed
    assert news.target is None
    assert (await client.read_target('t1')).target is None


async def test_dropped_history_raises_its_own_error(store, client):
    store.put('op/config', configuration())
    news = await client.read()
    store.put('op/config', configuration(version=2))
    store.drop_history()
    with pytest.raises(HistoryGoneError):
        await client.wait(news.revision, 0.05)


@pytest.mark.parametrize('mode', ['busy', 'reset', 'silent'])
async def test_missing_answer_is_an_error(store, client, mode, autojump_clock):
    store.mode = mode
    with pytest.raises(SourceError):
        await client.list_targets(may_lag=True)


def test_system_headers_replace_what_callers_sent():
    headers = PlatformDialect().target_headers(
        (
            (b'host', b'h'),
            (b'attempt-id', b'a1'),
            (b'tenant', b'forged'),
            (b'caller-service', b'forged'),
            (b'expect-instance', b'forged'),
            (b'deadline-ms', b'99999'),
            (b'authorization', b'Bearer secret'),
        ),
        CallContext(
            req_id='a1',
            seconds_left=1.5,
            target='i-1',
            account='shop',
            caller_service='s',
        ),
    )
    assert sorted(headers) == [
        (b'attempt-id', b'a1'),
        (b'caller-service', b's'),
        (b'deadline-ms', b'1500'),
        (b'expect-instance', b'i-1'),
        (b'host', b'h'),
        (b'tenant', b'shop'),
    ]


def test_account_header_of_a_caller_is_removed_on_public_routes():
    stamp = CallContext(
        req_id='a', seconds_left=1, target='i', account='', caller_service='s'
    )
    headers = PlatformDialect().target_headers(((b'tenant', b'x'),), stamp)
    assert all(name != b'tenant' for name, _ in headers)


def test_answer_headers_are_decoded():
    read = PlatformDialect().read_answer
    answer = read(
        ResponseHead(
            200,
            (
                (b'attempt-id', b'a1'),
                (b'server-seal', b'x'),
                (b'keep-alive', b'timeout=10'),
            ),
        ),
    )
    assert answer.sealed
    assert not answer.not_run
    assert answer.idle_seconds == 10
    assert read(ResponseHead(503, ((b'not-executed', b'1'),))).not_run
    assert read(ResponseHead(421, ())).misdirected
    assert not read(ResponseHead(503, ())).not_run


@pytest.mark.parametrize(
    ('headers', 'statement'),
    [
        ((), TargetStatement()),
        (((b'server-limit', b'2.8'),), TargetStatement(request_limit=2.8)),
        (((b'server-limit', b'0'),), TargetStatement(request_limit=0)),
        (
            ((b'server-limit', b'5'), (b'server-limit', b'3, x')),
            TargetStatement(request_limit=3),
        ),
        (((b'server-limit', b'soon'),), TargetStatement(limit_unreadable=True)),
        (((b'server-limit', b'nan'),), TargetStatement(limit_unreadable=True)),
        (((b'server-limit', b'-1'),), TargetStatement(limit_unreadable=True)),
        (((b'server-leaving', b'1'),), TargetStatement(leaving=True)),
        (((b'server-leaving', b'0'),), TargetStatement()),
    ],
)
def test_statements_of_targets_are_decoded(headers, statement):
    answer = PlatformDialect().read_answer(ResponseHead(200, headers))
    assert answer.statement == statement


@pytest.mark.parametrize(
    ('headers', 'timeout', 'key'),
    [
        (((b'deadline-ms', b'1500'),), 1.5, None),
        (((b'deadline-ms', b'soon'),), None, None),
        (((b'authorization', b'bearer k'),), None, 'k'),
        (((b'authorization', b'Basic k'),), None, None),
    ],
)
def test_caller_headers_are_decoded(headers, timeout, key):
    decoded = PlatformDialect().read_request(RequestHead('GET', '/', headers))
    assert decoded.timeout == timeout
    assert decoded.key == key


NODE = """
node = "n1"
zone = "a"
app_addr = "10.0.0.1:81"
service = "till"
port_range = [7640, 7655]
later = "unknown fields are ignored"
[listen]
inbound = "10.0.0.1:82"
outbound = "10.0.0.1:83"
ready = "10.0.0.1:84"
[bounds]
revoke_s = 5
[platform]
address = "10.0.0.9:80"
"""


def test_settings_file_is_read(tmp_path):
    path = tmp_path / 'settings.toml'
    path.write_text(NODE)
    settings = load_node(str(path)).unwrap()
    assert settings.caller_address == '10.0.0.1:83'
    assert settings.port_range == (7640, 7655)
    assert settings.bounds.revoke_seconds == 5


@pytest.mark.parametrize('contract', ['base', 'places'])
def test_zones_count_only_where_the_contract_names_places(tmp_path, contract):
    path = tmp_path / 'settings.toml'
    more = f'contracts = ["{contract}"]\nzones = {{ a = "north" }}\n[listen]'
    path.write_text(
        NODE.replace('[listen]', more).replace(
            'revoke_s = 5', 'revoke_s = 5\nevacuate_s = 4'
        )
    )
    settings = load_node(str(path)).unwrap()
    has_places = contract == 'places'
    assert settings.zone_regions == ({'a': 'north'} if has_places else None)
    assert settings.bounds.evacuate_seconds == (4 if has_places else None)


@pytest.mark.parametrize(
    ('old', 'new', 'named'),
    [
        ('service = "till"\n', '', 'service'),
        ('zone = "a"', 'zone = 3', 'zone'),
        ('"10.0.0.1:84"', '"nowhere"', 'listen.ready'),
        ('revoke_s = 5', 'revoke_s = "x"', 'bounds.revoke_s'),
        ('[listen]', '[listen', '.'),
    ],
)
def test_wrong_settings_name_the_field(tmp_path, old, new, named):
    path = tmp_path / 'settings.toml'
    path.write_text(NODE.replace(old, new))
    error = load_node(str(path)).unwrap_err()
    assert named in str(error)
    assert '\n' not in str(error)


def test_missing_settings_file_is_an_error(tmp_path):
    assert load_node(str(tmp_path / 'none.toml')).is_err()

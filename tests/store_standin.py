"""Stand-ins for the platform that operators run: its store and targets."""

import base64
import json
import math
from urllib.parse import parse_qs, urlsplit

import trio
from tests.ports import free_address

from clementinedeal._events import EventLog
from clementinedeal._http import HttpLimits
from clementinedeal._http_server import HttpServer

# Few, so that a list of targets takes several pages.
MAX_PAGE_ITEMS = 3
# Pieces of an answer that is sent slowly.
PIECE_BYTES = 4096


class StoreStandIn:
    """A key-value store with revisions and a history of its changes.

    ``mode`` is ``ok`` or how it fails: ``busy`` answers 503, ``silent`` never
    answers, ``reset`` closes the connection. ``calls`` holds the path and the
    query of each request. ``era`` is named in all answers. ``serve_instead``,
    if set, is called in place of ``serve`` with the connection and the
    request's head. ``bytes_per_second`` is the rate at which each answer is
    sent.
    """

    def __init__(self):
        self.bytes_per_second = math.inf
        self.items = {}
        self.revision = 10
        self.history = []
        self.dropped_revision = 0
        self.mode = 'ok'
        self.era = 1
        self.replica_state = None
        self.calls = []
        self.changed = trio.Event()
        self.address = free_address()
        self.serve_instead = None

    def put(self, key, value):
        self.revision += 1
        blob = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(blob).decode(),
            'revision': self.revision,
        }
        self._record({**self.items[key]})

    def delete(self, key):
        self.revision += 1
        del self.items[key]
        self._record({'key': key, 'revision': self.revision, 'deleted': True})

    def drop_history(self):
        """Delete the history; a watch from an earlier revision gets 410."""
        self.dropped_revision = self.revision
        self.history.clear()

    def freeze_replica(self):
        """Answer all further ``serializable`` reads with the current items."""
        self.replica_state = (dict(self.items), self.revision)

    def copy(self):
        """Return a copy of the items, for ``restore``."""
        return dict(self.items), list(self.history), self.revision

    def restore(self, copy):
        """Return to a copy: revisions after it are given out again."""
        items, history, self.revision = copy
        self.items, self.history = dict(items), list(history)
        self.era += 1
        self.changed.set()
        self.changed = trio.Event()

    def _record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = trio.Event()

    async def start(self, nursery):
        server = HttpServer(
            self.address,
            self.serve,
            HttpLimits(),
            EventLog('store', '1'),
        )
        await server.start(nursery)

    async def serve(self, conn, head):
        if self.serve_instead is not None:
            await self.serve_instead(conn, head)
            return
        await conn.discard_body()
        parts = urlsplit(head.path)
        query = {
            key: values[0] for key, values in parse_qs(parts.query).items()
        }
        self.calls.append((parts.path, query))
        match self.mode:
            case 'busy':
                await conn.respond(503, ())
                return
            case 'silent':
                await trio.sleep_forever()
            case 'reset':
                await conn.aclose()
                return
        handlers = {
            '/-/kv-key': self._key,
            '/-/kv-range': self._range,
            '/-/kv-watch': self._watch,
        }
        era = self.era
        status, body = await handlers[parts.path](query)
        if self.mode != 'ok':
            await trio.sleep_forever()
        if self.era != era:
            await conn.aclose()
            return
        headers = ((b'store-era', b'%d' % era),)
        await self._respond(conn, status, headers, json.dumps(body).encode())

    async def _respond(self, conn, status, headers, body):
        if len(body) < PIECE_BYTES or math.isinf(self.bytes_per_second):
            await conn.respond(status, headers, body)
            return
        await conn.start_answer(status, headers)
        for start in range(0, len(body), PIECE_BYTES):
            piece = body[start : start + PIECE_BYTES]
            await trio.sleep(len(piece) / self.bytes_per_second)
            await conn.send_piece(piece)
        await conn.end_answer()

    async def _key(self, query):
        item = self.items.get(query['key'])
        if item is None:
            return 404, {'at_rev': self.revision}
        return 200, {**item, 'at_rev': self.revision}

    async def _range(self, query):
        items, revision = self.items, self.revision
        if 'serializable' in query and self.replica_state is not None:
            items, revision = self.replica_state
        names = sorted(
            key
            for key in items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        page = [items[key] for key in names[:MAX_PAGE_ITEMS]]
        return 200, {
            'items': page,
            'has_more': len(names) > MAX_PAGE_ITEMS,
            'at_rev': revision,
        }

    async def _watch(self, query):
        after = int(query['after'])
        if after < self.dropped_revision or after > self.revision:
            return 410, {}
        era = self.era
        with trio.move_on_after(int(query['wait_ms']) / 1000):
            while (
                not self._events_since(query['prefix'], after)
                and self.era == era
            ):
                await self.changed.wait()
        events = self._events_since(query['prefix'], after)
        return 200, {'events': events, 'at_rev': self.revision}

    def _events_since(self, prefix, after):
        return [
            event
            for event in self.history
            if event['key'].startswith(prefix) and event['revision'] > after
        ]


def registration(address, service='till', state='ready', **more):
    """Return the registration that a target writes."""
    return {
        'address': address,
        'info': {
            'service': service,
            'version': 'v1',
            'zone': 'a',
            'slots': 7,
        },
        'status': {'state': state, 'sequence': 1, 'warmup_s_time': 0},
        'born': 5,
        **more,
    }


def large_configuration(version, route_count):
    """Return a configuration with many more routes."""
    document = configuration(version)
    (look, *_) = document['resources']
    for number in range(route_count):
        spec = {**look['spec'], 'prefix': f'/more/{number}/'}
        document['resources'].append(
            {
                'entry_type': 'routes',
                'metadata': {'name': f'more-{number}'},
                'spec': spec,
            }
        )
    return document


def configuration(version=1, **more):
    """Return one configuration with a route of each kind."""
    route = {
        'host': 'h.example',
        'timeout_s': 2,
        'target_latency_s': 1,
        'priority': 1,
        'service': 'till',
        'attempts': 2,
        'public': False,
    }
    routes = {
        'look': {**route, 'prefix': '/look/', 'kind': 'safe'},
        'book': {**route, 'prefix': '/book/', 'kind': 'unsafe'},
        'open': {**route, 'prefix': '/open/', 'kind': 'safe', 'public': True},
    }
    account = {
        'api_keys': ['key-1', 'key-2'],
        'priority': 1,
        'rate_per_s': 0,
        'burst': 0,
    }
    account.update(more)
    entries = [('routes', name, spec) for name, spec in routes.items()] + [
        ('services', 'till', {'health_path': '/health', 'max_conns': 360}),
        ('tenants', 'shop', account),
        (
            'limits',
            '',
            {
                'max_header_bytes': 16384,
                'max_body_bytes': 100_000,
                'header_timeout_s': 3,
                'idle_timeout_s': 15,
            },
        ),
    ]
    return {
        'version': version,
        'resources': [
            {'entry_type': kind, 'metadata': {'name': name}, 'spec': spec}
            for kind, name, spec in entries
        ],
    }


class TargetStandIn:
    """One target; ``mode`` sets how it answers or fails.

    The modes are ``ok``, ``shed`` (503, not run), ``fail`` (500), ``hang`` (no
    answer), ``reset`` (closes the connection after the run), ``foreign`` (the
    answer has another attempt id) and ``endless`` (a body without end). A path
    with ``deadly`` ends it, as a crash does.

    ``executed`` holds the requests that it ran as tuples of attempt id, path,
    headers and body. ``disconnects`` counts the connections that were closed
    while it hung, ``work_seconds`` is how long a request takes and
    ``answer_headers`` are added to its answers, which return the first
    ``echoed_bytes`` of the body, all if it is None. ``runs`` is for
    targets that record the times of their runs. ``serve_instead`` is as for
    the store.
    """

    def __init__(self, name, address):
        self.name = name
        self.address = address
        self.mode = 'ok'
        self.executed = []
        self.runs = []
        self.disconnects = 0
        self.work_seconds = 0.0
        self.answer_headers = ()
        self.crash_scope = trio.CancelScope()
        self.echoed_bytes = None
        self.serve_instead = None

    async def start(self, nursery):
        await nursery.start(self._run)

    async def _run(self, task_status):
        server = HttpServer(
            self.address,
            self.serve,
            HttpLimits(),
            EventLog(self.name, '1'),
        )
        with self.crash_scope:
            await server.run(task_status)

    async def serve(self, conn, head):
        if self.serve_instead is not None:
            await self.serve_instead(conn, head)
            return
        body = b''.join([piece async for piece in conn.read_body()])
        headers = dict(head.headers)
        attempt_id = headers[b'attempt-id']
        id_header = (b'attempt-id', attempt_id)
        if headers[b'expect-instance'] != self.name.encode():
            instance_header = (b'instance-id', self.name.encode())
            await conn.respond(421, (id_header, instance_header))
            return
        if self.mode == 'shed':
            await conn.respond(503, (id_header, (b'not-executed', b'1')))
            return
        self.executed.append((attempt_id.decode(), head.path, headers, body))
        if 'deadly' in head.path:
            self.crash_scope.cancel()
        if self.mode == 'hang':
            await conn.wait_disconnected()
            self.disconnects += 1
            return
        await trio.sleep(self.work_seconds)
        if self.mode == 'reset':
            await conn.aclose()
            return
        status = 500 if self.mode == 'fail' else 200
        if self.mode == 'foreign':
            attempt_id = b'another'
        answer_headers = (
            (b'attempt-id', attempt_id),
            (b'server-seal', b's'),
            *self.answer_headers,
        )
        if self.mode == 'endless':
            await conn.start_answer(200, answer_headers)
            # longer than any limit, but bounded to protect the test machine
            for _ in range(1024):
                await conn.send_piece(bytes(1 << 16))
            await conn.wait_disconnected()
        await conn.respond(
            status,
            answer_headers,
            self.name.encode() + b':' + body[: self.echoed_bytes],
        )

"""HTTP server of the platform stand-in.

Readers use ``GET /instances`` and ``GET /values/NAME``; with the query
parameters ``after`` (a version) and ``wait`` (seconds) the answer waits for a
newer version. If there is none in time, the status is 304, or 404 for a read
without ``after``. Calls under ``/operator/`` publish values and the instance
list, set the mode and return counters.
"""

from dataclasses import asdict

import msgspec
import trio
from result import Err

from clementinedeal_bench._platform import (
    Platform,
    PlatformSettings,
    PublishedValue,
    ReadLimiter,
)
from clementinedeal_bench._web_messages import WebAnswer, WebRequest
from clementinedeal_bench._web_server import WebServer

VALUES_PREFIX = '/values/'
INSTANCES_PATH = '/instances'
OPERATOR_PREFIX = '/operator'
INSTANCES_NAME = '/instances'  # name of the instance list among the values
MAX_WAIT_SECONDS = 60.0  # upper bound of ``wait``
# A waiting watch also checks at this interval, for values that become visible
# after their lag and for changes of a flapping mode.
RECHECK_INTERVAL_SECONDS = 0.1
MAX_CONNECTIONS = 4096


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance in the list; ``state`` is ``live`` or ``leaving``."""

    name: str
    state: str


class InstanceListBody(msgspec.Struct, frozen=True):
    """The instance list as published by an operator."""

    instances: tuple[ListedInstance, ...]


class VersionedInstanceListBody(msgspec.Struct, frozen=True):
    """The instance list as served to readers."""

    version: int
    instances: tuple[ListedInstance, ...]


class PlatformServer:
    """Answers readers of the platform and operator calls."""

    def __init__(self, platform: Platform, read_limiter: ReadLimiter) -> None:
        """Create a server.

        :param platform: the values and the mode to serve.
        :param read_limiter: limits the reads of all readers together.
        """
        self._platform = platform
        self._read_limiter = read_limiter
        self._changed = trio.Event()

    async def handle(self, req: WebRequest) -> WebAnswer:
        """Answer one request.

        :param req: the request.
        """
        if req.path.startswith(f'{OPERATOR_PREFIX}/'):
            return self._handle_operator(
                req, req.path.removeprefix(OPERATOR_PREFIX)
            )
        if req.method != 'GET':
            return WebAnswer(status=405)
        call_number = self._read_limiter.admit(trio.current_time())
        if call_number is None:
            return WebAnswer(status=429, headers=(('retry-after', '1'),))
        await trio.sleep(self._platform.answer_delay_seconds())
        if req.path == INSTANCES_PATH:
            return await self._watch(req, INSTANCES_NAME, call_number)
        if req.path.startswith(VALUES_PREFIX):
            name = req.path.removeprefix(VALUES_PREFIX)
            return await self._watch(req, name, call_number)
        return WebAnswer(status=404)

    async def _watch(
        self, req: WebRequest, name: str, call_number: int
    ) -> WebAnswer:
        try:
            after_version = int(req.query('after', '0'))
            wait_seconds = float(req.query('wait', '0'))
        except ValueError:
            return WebAnswer(status=400, body=b'after and wait are numbers\n')
        deadline = trio.current_time() + min(wait_seconds, MAX_WAIT_SECONDS)
        self._read_limiter.start_watch(call_number, trio.current_time())
        try:
            return await self._await_newer(name, after_version, deadline)
        finally:
            self._read_limiter.end_watch(call_number)

    async def _await_newer(
        self,
        name: str,
        after_version: int,
        deadline: float,
    ) -> WebAnswer:
        while True:
            now = trio.current_time()
            if self._platform.is_down(now):
                return WebAnswer(is_dropped=True)
            published = self._platform.read(name, now)
            if published is not None and published.version > after_version:
                return _value_answer(name, published)
            if now >= deadline:
                return WebAnswer(status=304 if after_version else 404)
            with trio.move_on_after(
                min(RECHECK_INTERVAL_SECONDS, deadline - now)
            ):
                await self._changed.wait()

    def _handle_operator(self, req: WebRequest, path: str) -> WebAnswer:
        if path == '/counters' and req.method == 'GET':
            return _json_answer(
                msgspec.json.encode(self._read_limiter.counters())
            )
        if req.method != 'PUT':
            return WebAnswer(status=405)
        try:
            return self._put(req, path)
        except msgspec.MsgspecError as exc:
            return WebAnswer(status=400, body=f'{exc}\n'.encode())

    def _put(self, req: WebRequest, path: str) -> WebAnswer:
        if path == '/mode':
            return self._put_mode(req.body)
        if path == INSTANCES_PATH:
            msgspec.json.decode(req.body, type=InstanceListBody)
            lag_seconds = self._platform.settings.lag
            return self._publish(INSTANCES_NAME, req.body, lag_seconds)
        if path.startswith(VALUES_PREFIX):
            name = path.removeprefix(VALUES_PREFIX)
            return self._publish(name, req.body, 0)
        return WebAnswer(status=404)

    def _put_mode(self, body: bytes) -> WebAnswer:
        change = msgspec.json.decode(body, type=dict[str, object])
        merged = asdict(self._platform.settings) | change
        settings = msgspec.convert(merged, PlatformSettings)
        self._platform.configure(settings, trio.current_time())
        self._notify_watches()
        return _json_answer(msgspec.json.encode(settings))

    def _publish(self, name: str, body: bytes, lag_seconds: float) -> WebAnswer:
        now = trio.current_time()
        published = self._platform.publish(name, body, now, lag_seconds)
        if isinstance(published, Err):
            return WebAnswer(
                status=413, body=f'{published.err_value}\n'.encode()
            )
        self._notify_watches()
        version = str(published.ok_value.version)
        return WebAnswer(headers=(('x-version', version),))

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _value_answer(name: str, published: PublishedValue) -> WebAnswer:
    headers = (('x-version', str(published.version)),)
    if name != INSTANCES_NAME:
        return WebAnswer(headers=headers, body=published.body)
    listed = msgspec.json.decode(published.body, type=InstanceListBody)
    body = VersionedInstanceListBody(published.version, listed.instances)
    return WebAnswer(headers=headers, body=msgspec.json.encode(body))


def _json_answer(body: bytes) -> WebAnswer:
    return WebAnswer(
        headers=(('content-type', 'application/json'),),
        body=body,
    )


async def serve_platform(
    host: str,
    port: int,
    settings: PlatformSettings,
) -> None:
    """Run a platform stand-in until cancelled.

    :param host: address to listen on.
    :param port: port to listen on.
    :param settings: the first mode and its parameters.
    """
    platform = PlatformServer(Platform(settings), ReadLimiter())
    server = WebServer(platform.handle, MAX_CONNECTIONS)
    await server.serve(await server.listen(host, port))

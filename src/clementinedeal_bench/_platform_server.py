"""HTTP side of the platform stand-in."""

from dataclasses import asdict

import msgspec
import trio
from result import Err

from clementinedeal_bench._platform import (
    Platform,
    PlatformSettings,
    ReadMeter,
    Versioned,
)
from clementinedeal_bench._web import WebServer
from clementinedeal_bench._web_messages import WebAnswer, WebRequest

VALUES_PREFIX = '/values/'
INSTANCES_PATH = '/instances'
OPERATOR_PREFIX = '/operator'
INSTANCES_NAME = '/instances'
WAIT_LIMIT_SECONDS = 60.0
RECHECK_SECONDS = 0.1
CONNECTIONS = 4096


class ListedInstance(msgspec.Struct, frozen=True):
    """One entry of the instance list; ``state`` is live or leaving."""

    name: str
    state: str


class InstanceList(msgspec.Struct, frozen=True):
    """The instance list as an operator puts it."""

    instances: tuple[ListedInstance, ...]


class VersionedInstances(msgspec.Struct, frozen=True):
    """The instance list as readers see it."""

    version: int
    instances: tuple[ListedInstance, ...]


class PlatformServer:
    """Answers readers, and the operator's side of the tests."""

    def __init__(self, platform: Platform, meter: ReadMeter) -> None:
        """Serve a platform.

        :param platform: the state served.
        :param meter: the cap over all readers.
        """
        self._platform = platform
        self._meter = meter
        self._changed = trio.Event()

    async def handle(self, req: WebRequest) -> WebAnswer:
        """Answer one request.

        :param req: the request.
        """
        if req.path.startswith(f'{OPERATOR_PREFIX}/'):
            return self._operate(req, req.path.removeprefix(OPERATOR_PREFIX))
        if req.method != 'GET':
            return WebAnswer(status=405)
        call = self._meter.admit(trio.current_time())
        if call is None:
            return WebAnswer(status=429, headers=(('retry-after', '1'),))
        await trio.sleep(self._platform.delay())
        if req.path == INSTANCES_PATH:
            return await self._watch(req, INSTANCES_NAME, call)
        if req.path.startswith(VALUES_PREFIX):
            name = req.path.removeprefix(VALUES_PREFIX)
            return await self._watch(req, name, call)
        return WebAnswer(status=404)

    async def _watch(self, req: WebRequest, name: str, call: int) -> WebAnswer:
        try:
            after = int(req.query('after', '0'))
            wait = float(req.query('wait', '0'))
        except ValueError:
            return WebAnswer(status=400, body=b'after and wait are numbers\n')
        deadline = trio.current_time() + min(wait, WAIT_LIMIT_SECONDS)
        self._meter.open_watch(call, trio.current_time())
        try:
            return await self._await_newer(name, after, deadline)
        finally:
            self._meter.close_watch(call)

    async def _await_newer(
        self,
        name: str,
        after: int,
        deadline: float,
    ) -> WebAnswer:
        while True:
            now = trio.current_time()
            if self._platform.is_down(now):
                return WebAnswer(drop=True)
            seen = self._platform.read(name, now)
            if seen is not None and seen.version > after:
                return _answer(name, seen)
            if now >= deadline:
                return WebAnswer(status=304 if after else 404)
            with trio.move_on_after(min(RECHECK_SECONDS, deadline - now)):
                await self._changed.wait()

    def _operate(self, req: WebRequest, path: str) -> WebAnswer:
        if path == '/counters' and req.method == 'GET':
            return _json(msgspec.json.encode(self._meter.counters()))
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
            msgspec.json.decode(req.body, type=InstanceList)
            lag = self._platform.settings.lag
            return self._publish(INSTANCES_NAME, req.body, lag)
        if path.startswith(VALUES_PREFIX):
            name = path.removeprefix(VALUES_PREFIX)
            return self._publish(name, req.body, 0)
        return WebAnswer(status=404)

    def _put_mode(self, body: bytes) -> WebAnswer:
        change = msgspec.json.decode(body, type=dict[str, object])
        merged = asdict(self._platform.settings) | change
        settings = msgspec.convert(merged, PlatformSettings)
        self._platform.configure(settings, trio.current_time())
        self._wake()
        return _json(msgspec.json.encode(settings))

    def _publish(self, name: str, body: bytes, lag: float) -> WebAnswer:
        now = trio.current_time()
        outcome = self._platform.publish(name, body, now, lag)
        if isinstance(outcome, Err):
            return WebAnswer(status=413, body=f'{outcome.err_value}\n'.encode())
        self._wake()
        version = str(outcome.ok_value.version)
        return WebAnswer(headers=(('x-version', version),))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _answer(name: str, seen: Versioned) -> WebAnswer:
    headers = (('x-version', str(seen.version)),)
    if name != INSTANCES_NAME:
        return WebAnswer(headers=headers, body=seen.body)
    listed = msgspec.json.decode(seen.body, type=InstanceList)
    body = VersionedInstances(seen.version, listed.instances)
    return WebAnswer(headers=headers, body=msgspec.json.encode(body))


def _json(body: bytes) -> WebAnswer:
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
    :param settings: mode and figures to begin with.
    """
    platform = PlatformServer(Platform(settings), ReadMeter())
    server = WebServer(platform.handle, CONNECTIONS)
    await server.serve(await server.listen(host, port))

"""HTTP side of the stand-in target."""

import json
import math
import random
import signal
import time
from dataclasses import asdict, dataclass, replace

import msgspec
import trio

from clementinedeal_bench._executions import (
    Execution,
    ExecutionLog,
    ExecutionState,
)
from clementinedeal_bench._gray import GrayMachine, GrayMode, GraySettings
from clementinedeal_bench._slots import Slots, SlotsFullError
from clementinedeal_bench._target_answer import (
    given_up,
    not_started,
    whole_answer,
)
from clementinedeal_bench._web import WebServer
from clementinedeal_bench._web_messages import WebAnswer, WebRequest

LEAVING_HEADER = ('x-target-state', 'leaving')


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetSettings:
    """Figures of one stand-in target.

    Service times are log-normal with a median of ``service`` seconds and the
    spread ``sigma``; zero makes them fixed. For the first ``cold`` seconds
    they are multiplied by ``cold_factor``. A leaving target takes new work
    for ``drain`` seconds more.
    """

    name: str
    host: str = '127.0.0.1'
    port: int = 0
    slots: int = 7
    queue: int = 7
    connections: int = 360
    service: float = 0.022
    sigma: float = 0.3
    probe: float = 0.025
    cold: float = 0.0
    cold_factor: float = 5.0
    drain: float = 2.0
    seed: int = 0


class _Task:
    """One request from its arrival to its answer."""

    def __init__(self, req: WebRequest) -> None:
        self.req = req
        self.request_id = req.header('x-request-id')
        self.scope = trio.CancelScope(deadline=_deadline(req))
        self.entry: Execution | None = None

    def given_up(self) -> WebAnswer:
        late = trio.current_time() >= self.scope.deadline
        cause = 'deadline' if late else 'cancelled'
        if self.entry is None:
            return not_started(cause)
        return given_up(cause)


class Target:
    """Serves requests in slots, misbehaves on demand, and records its work."""

    def __init__(self, settings: TargetSettings) -> None:
        """Create a target that is live from now on.

        :param settings: its figures.
        """
        self.settings = settings
        self.gray = GrayMachine(settings.seed)
        self.log = ExecutionLog(settings.name)
        self.slots = Slots(settings.slots, settings.queue)
        self._rng = random.Random(settings.seed)
        self._born = time.monotonic()
        self._left: float | None = None
        self.leaving = trio.Event()
        self._tasks: dict[str, _Task] = {}

    async def handle(self, req: WebRequest) -> WebAnswer:
        """Answer one request.

        :param req: the request.
        """
        answer = await self._dispatch(req)
        if self._left is None:
            return answer
        return replace(answer, headers=(*answer.headers, LEAVING_HEADER))

    def leave(self) -> None:
        """Begin to leave: say so in answers, then take no new work."""
        if self._left is None:
            self._left = time.monotonic()
            self.leaving.set()

    def leaving_for(self) -> float:
        """Return the seconds since the target began to leave."""
        return 0 if self._left is None else time.monotonic() - self._left

    def drained(self) -> bool:
        """Tell whether new work is refused because the target leaves."""
        return self._left is not None and (
            self.leaving_for() >= self.settings.drain
        )

    async def _dispatch(self, req: WebRequest) -> WebAnswer:
        if req.path == '/probe':
            return await self._probe()
        if req.path == '/load':
            return self._load()
        if req.path.startswith('/cancel/'):
            return self._cancel(req.path.removeprefix('/cancel/'))
        if req.path.startswith('/control/'):
            return self._control(req)
        return await self._serve(req)

    async def _probe(self) -> WebAnswer:
        await trio.sleep(self.settings.probe)
        if self.gray.mode(time.monotonic()) is GrayMode.MISLEADING:
            return _json({'state': 'failing'}, status=503)
        return _json({'state': 'live' if self._left is None else 'leaving'})

    def _load(self) -> WebAnswer:
        in_use = self.slots.in_use
        if self.gray.mode(time.monotonic()) is GrayMode.MISLEADING:
            in_use = self.settings.slots - in_use
        return _json({'in_use': in_use, 'queue': self.slots.queued})

    def _cancel(self, request_id: str) -> WebAnswer:
        task = self._tasks.get(request_id)
        if task is None:
            return _json({'cancelled': 'unknown'}, status=404)
        task.scope.cancel()
        started = task.entry is not None
        return _json({'cancelled': 'started' if started else 'not-started'})

    def _control(self, req: WebRequest) -> WebAnswer:
        action = (req.method, req.path)
        if action == ('GET', '/control/executions'):
            return WebAnswer(body=self.log.lines())
        if action == ('GET', '/control/state'):
            return _json({'left': self._left} | self.log.counts())
        if action == ('POST', '/control/drain'):
            self.leave()
            return WebAnswer(status=204)
        if action == ('PUT', '/control/mode'):
            return self._put_mode(req.body)
        return WebAnswer(status=404)

    def _put_mode(self, body: bytes) -> WebAnswer:
        try:
            change = msgspec.json.decode(body, type=dict[str, object])
            merged = asdict(self.gray.settings) | change
            settings = msgspec.convert(merged, GraySettings)
        except msgspec.MsgspecError as exc:
            return WebAnswer(status=400, body=f'{exc}\n'.encode())
        self.gray.configure(settings, time.monotonic())
        return WebAnswer(body=msgspec.json.encode(settings))

    async def _serve(self, req: WebRequest) -> WebAnswer:
        if self.drained():
            return not_started('leaving')
        task = _Task(req)
        self._tasks[task.request_id] = task
        try:
            with task.scope:
                return await self._run_in_slot(task)
        except SlotsFullError:
            return not_started('full')
        finally:
            self._tasks.pop(task.request_id, None)
        return task.given_up()

    async def _run_in_slot(self, task: '_Task') -> WebAnswer:
        await self.slots.acquire()
        try:
            return await self._execute(task)
        finally:
            self.slots.release()

    async def _execute(self, task: '_Task') -> WebAnswer:
        now = time.monotonic()
        plan = self.gray.plan(now)
        entry = self.log.begin(task.req, now, self.leaving_for())
        task.entry = entry
        state = ExecutionState.STOPPED
        try:
            await self._work(plan.factor, hang=plan.hang)
            state = ExecutionState.FINISHED
        finally:
            self.log.end(entry, state, time.monotonic())
        await trio.sleep(plan.late)
        return whole_answer(self.settings.name, task.req, plan)

    async def _work(self, factor: float, *, hang: bool) -> None:
        if hang:
            await trio.sleep_forever()
        await trio.sleep(self._service_time() * factor)

    def _service_time(self) -> float:
        cfg = self.settings
        drawn = cfg.service
        if cfg.sigma and cfg.service:
            drawn = self._rng.lognormvariate(math.log(cfg.service), cfg.sigma)
        if time.monotonic() - self._born < cfg.cold:
            return drawn * cfg.cold_factor
        return drawn


def _deadline(req: WebRequest) -> float:
    left = req.header('x-deadline-ms')
    return trio.current_time() + float(left) / 1000 if left else math.inf


def _json(body: object, status: int = 200) -> WebAnswer:
    return WebAnswer(
        status=status,
        headers=(('content-type', 'application/json'),),
        body=json.dumps(body).encode(),
    )


async def serve_target(settings: TargetSettings) -> None:
    """Run a stand-in target until it has left after SIGTERM or a drain call.

    :param settings: figures of the target.
    """
    target = Target(settings)
    server = WebServer(target.handle, settings.connections)
    listener = await server.listen(settings.host, settings.port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_leave_on_signal, target)
        nursery.start_soon(server.serve, listener)
        await target.leaving.wait()
        await trio.sleep(settings.drain)
        await server.finish()
        nursery.cancel_scope.cancel()


async def _leave_on_signal(target: Target) -> None:
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            target.leave()

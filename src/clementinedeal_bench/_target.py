"""HTTP server of the stand-in target.

``/probe`` is the health probe, ``/load`` the load report, ``/cancel/ID``
cancels a request, paths under ``/control/`` let tests control the target, and
every other path is a request to the service.
"""

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
from clementinedeal_bench._gray_failures import (
    FaultInjector,
    GrayMode,
    GraySettings,
)
from clementinedeal_bench._slots import Slots, SlotsFullError
from clementinedeal_bench._target_answer import (
    abandonment_answer,
    not_started_answer,
    service_answer,
)
from clementinedeal_bench._web_messages import WebAnswer, WebRequest
from clementinedeal_bench._web_server import WebServer

LEAVING_HEADER = ('x-target-state', 'leaving')


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetSettings:
    """Settings of one stand-in target.

    :param name: target name, part of its answers and records.
    :param host: address to listen on.
    :param port: port to listen on; 0 for any.
    :param slots: requests served at once.
    :param queue_limit: requests that may wait for a slot.
    :param max_connections: open connections; further ones are closed.
    :param service_seconds: median of the log-normal service time.
    :param service_time_sigma: standard deviation of the logarithm of the
        service time; 0 makes all service times equal.
    :param probe_seconds: time that a probe takes.
    :param cold_seconds: how long after the start requests are slow.
    :param cold_factor: multiplies the service time while cold.
    :param drain_seconds: how long a leaving target still takes new work.
    :param seed: makes service times and faults repeatable.
    """

    name: str
    host: str = '127.0.0.1'
    port: int = 0
    slots: int = 7
    queue_limit: int = 7
    max_connections: int = 360
    service_seconds: float = 0.022
    service_time_sigma: float = 0.3
    probe_seconds: float = 0.025
    cold_seconds: float = 0.0
    cold_factor: float = 5.0
    drain_seconds: float = 2.0
    seed: int = 0


class _ActiveRequest:
    """A request from its arrival to its answer.

    ``execution`` is set once work has started; ``scope`` is cancelled at the
    request's deadline or by a cancel call.
    """

    def __init__(self, req: WebRequest) -> None:
        self.req = req
        self.request_id = req.header('x-request-id')
        self.scope = trio.CancelScope(deadline=_deadline(req))
        self.execution: Execution | None = None

    def abandonment_answer(self) -> WebAnswer:
        is_overdue = trio.current_time() >= self.scope.deadline
        cause = 'deadline' if is_overdue else 'cancelled'
        if self.execution is None:
            return not_started_answer(cause)
        return abandonment_answer(cause)


class Target:
    """A stand-in target: limited slots, injected faults, recorded executions.

    Each request that starts work is recorded in ``execution_log``, which tests
    compare with what callers and daemons report. ``leaving`` is set when the
    target begins to leave.
    """

    def __init__(self, settings: TargetSettings) -> None:
        """Create a live target.

        :param settings: limits, service times and seed.
        """
        self.settings = settings
        self.fault_injector = FaultInjector(settings.seed)
        self.execution_log = ExecutionLog(settings.name)
        self.slots = Slots(settings.slots, settings.queue_limit)
        self._rng = random.Random(settings.seed)
        self._created_at = time.monotonic()
        self._leaving_since: float | None = None
        self.leaving = trio.Event()
        self._active_requests: dict[str, _ActiveRequest] = {}

    async def handle(self, req: WebRequest) -> WebAnswer:
        """Answer one request of any kind.

        :param req: the request.
        """
        answer = await self._dispatch(req)
        if self._leaving_since is None:
            return answer
        return replace(answer, headers=(*answer.headers, LEAVING_HEADER))

    def begin_leaving(self) -> None:
        """Announce in answers that the target leaves.

        New requests are refused once ``drain_seconds`` have passed.
        """
        if self._leaving_since is None:
            self._leaving_since = time.monotonic()
            self.leaving.set()

    def seconds_leaving(self) -> float:
        """Return the seconds since the target began to leave, else 0."""
        return (
            0
            if self._leaving_since is None
            else time.monotonic() - self._leaving_since
        )

    def is_drain_over(self) -> bool:
        """Return whether new requests are refused because the target leaves."""
        return self._leaving_since is not None and (
            self.seconds_leaving() >= self.settings.drain_seconds
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
        await trio.sleep(self.settings.probe_seconds)
        if (
            self.fault_injector.current_mode(time.monotonic())
            is GrayMode.MISLEADING
        ):
            return _json_answer({'state': 'failing'}, status=503)
        return _json_answer(
            {'state': 'live' if self._leaving_since is None else 'leaving'}
        )

    def _load(self) -> WebAnswer:
        in_use = self.slots.in_use
        if (
            self.fault_injector.current_mode(time.monotonic())
            is GrayMode.MISLEADING
        ):
            in_use = self.settings.slots - in_use
        return _json_answer({'in_use': in_use, 'queue': self.slots.queued})

    def _cancel(self, request_id: str) -> WebAnswer:
        active = self._active_requests.get(request_id)
        if active is None:
            return _json_answer({'cancelled': 'unknown'}, status=404)
        active.scope.cancel()
        is_started = active.execution is not None
        return _json_answer(
            {'cancelled': 'started' if is_started else 'not-started'}
        )

    def _control(self, req: WebRequest) -> WebAnswer:
        action = (req.method, req.path)
        if action == ('GET', '/control/executions'):
            return WebAnswer(body=self.execution_log.json_lines())
        if action == ('GET', '/control/state'):
            return _json_answer(
                {'left': self._leaving_since}
                | self.execution_log.count_by_state()
            )
        if action == ('POST', '/control/drain'):
            self.begin_leaving()
            return WebAnswer(status=204)
        if action == ('PUT', '/control/mode'):
            return self._put_mode(req.body)
        return WebAnswer(status=404)

    def _put_mode(self, body: bytes) -> WebAnswer:
        try:
            change = msgspec.json.decode(body, type=dict[str, object])
            merged = asdict(self.fault_injector.settings) | change
            settings = msgspec.convert(merged, GraySettings)
        except msgspec.MsgspecError as exc:
            return WebAnswer(status=400, body=f'{exc}\n'.encode())
        self.fault_injector.configure(settings, time.monotonic())
        return WebAnswer(body=msgspec.json.encode(settings))

    async def _serve(self, req: WebRequest) -> WebAnswer:
        if self.is_drain_over():
            return not_started_answer('leaving')
        active = _ActiveRequest(req)
        self._active_requests[active.request_id] = active
        try:
            with active.scope:
                return await self._run_in_slot(active)
        except SlotsFullError:
            return not_started_answer('full')
        finally:
            self._active_requests.pop(active.request_id, None)
        return active.abandonment_answer()

    async def _run_in_slot(self, active: '_ActiveRequest') -> WebAnswer:
        await self.slots.acquire()
        try:
            return await self._execute(active)
        finally:
            self.slots.release()

    async def _execute(self, active: '_ActiveRequest') -> WebAnswer:
        now = time.monotonic()
        faults = self.fault_injector.choose_faults(now)
        execution = self.execution_log.begin(
            active.req, now, self.seconds_leaving()
        )
        active.execution = execution
        state = ExecutionState.STOPPED
        try:
            await self._simulate_service(
                faults.service_time_factor, hangs=faults.hangs
            )
            state = ExecutionState.FINISHED
        finally:
            self.execution_log.end(execution, state, time.monotonic())
        await trio.sleep(faults.late_seconds)
        return service_answer(self.settings.name, active.req, faults)

    async def _simulate_service(
        self, service_time_factor: float, *, hangs: bool
    ) -> None:
        if hangs:
            await trio.sleep_forever()
        await trio.sleep(self._draw_service_seconds() * service_time_factor)

    def _draw_service_seconds(self) -> float:
        cfg = self.settings
        seconds = cfg.service_seconds
        if cfg.service_time_sigma and cfg.service_seconds:
            seconds = self._rng.lognormvariate(
                math.log(cfg.service_seconds), cfg.service_time_sigma
            )
        if time.monotonic() - self._created_at < cfg.cold_seconds:
            return seconds * cfg.cold_factor
        return seconds


def _deadline(req: WebRequest) -> float:
    remaining_ms = req.header('x-deadline-ms')
    return (
        trio.current_time() + float(remaining_ms) / 1000
        if remaining_ms
        else math.inf
    )


def _json_answer(body: object, status: int = 200) -> WebAnswer:
    return WebAnswer(
        status=status,
        headers=(('content-type', 'application/json'),),
        body=json.dumps(body).encode(),
    )


async def serve_target(settings: TargetSettings) -> None:
    """Run a stand-in target until it is drained.

    It begins to drain at SIGTERM or ``POST /control/drain``.

    :param settings: settings of the target.
    """
    target = Target(settings)
    server = WebServer(target.handle, settings.max_connections)
    listener = await server.listen(settings.host, settings.port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_leave_on_signal, target)
        nursery.start_soon(server.serve, listener)
        await target.leaving.wait()
        await trio.sleep(settings.drain_seconds)
        await server.close_when_idle()
        nursery.cancel_scope.cancel()


async def _leave_on_signal(target: Target) -> None:
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            target.begin_leaving()

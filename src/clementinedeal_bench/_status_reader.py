"""Reads the status of daemons and the executions of targets over HTTP."""

from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import msgspec
import trio
from result import Err

from clementinedeal import Instance, Target
from clementinedeal_bench._errors import BenchError
from clementinedeal_bench._executions import Execution, decode_lines
from clementinedeal_bench._web_client import WebClient
from clementinedeal_bench._web_messages import WebAnswer, WebRequest

REQUEST_TIMEOUT_SECONDS = 3.0
POLL_INTERVAL_SECONDS = 0.05
OK_STATUS = 200
ItemT = TypeVar('ItemT')
FoundT = TypeVar('FoundT')


class OwnedTarget(msgspec.Struct, frozen=True):
    """A target in the status of its owner, the daemon beside it."""

    name: str
    state: str


class InstanceStatus(msgspec.Struct, frozen=True):
    """The fields of a daemon's ``/status`` that the bench reads.

    :param instance: name of the daemon's instance.
    :param config_version: configuration version in force.
    :param preset: name of the preset in force.
    :param serving: whether the daemon takes requests.
    :param targets: the targets that the daemon owns.
    """

    instance: str
    config_version: int
    preset: str
    serving: bool
    targets: tuple[OwnedTarget, ...] = ()

    def states(self) -> dict[str, str]:
        """Return the states of the owned targets by name."""
        return {target.name: target.state for target in self.targets}


async def get(address: str, path: str) -> bytes | None:
    """Return the body of the answer to a GET, None unless its status is 200.

    :param address: ``ip:port``.
    :param path: path and query.
    """
    return await _request_body(address, WebRequest(method='GET', target=path))


async def put(address: str, path: str, body: bytes) -> bytes | None:
    """Return the body of the answer to a PUT, None unless its status is 200.

    :param address: ``ip:port``.
    :param path: path and query.
    :param body: body of the request.
    """
    req = WebRequest(method='PUT', target=path, body=body)
    return await _request_body(address, req)


async def _request_body(address: str, req: WebRequest) -> bytes | None:
    client = WebClient(address)
    answer: WebAnswer | None = None
    with trio.move_on_after(REQUEST_TIMEOUT_SECONDS):
        result = await client.request(req)
        answer = None if isinstance(result, Err) else result.ok_value
    client.close()
    if answer is None or answer.status != OK_STATUS:
        return None
    return answer.body


async def await_ready(
    address: str,
    path: str,
    timeout_seconds: float,
    check_running: Callable[[], None],
) -> None:
    """Wait until a GET is answered with status 200.

    :param address: ``ip:port``.
    :param path: path and query.
    :param timeout_seconds: longest wait.
    :param check_running: called between attempts; raises ``BenchError`` if the
        process has ended.
    :raises BenchError: there is no such answer in time.
    """
    deadline = trio.current_time() + timeout_seconds
    while await get(address, path) is None:
        check_running()
        if trio.current_time() >= deadline:
            raise BenchError(
                f'{address}{path}: not ready in {timeout_seconds} s'
            )
        await trio.sleep(POLL_INTERVAL_SECONDS)
    check_running()


async def gather(
    job: Callable[[ItemT], Awaitable[FoundT]],
    items: Iterable[ItemT],
) -> list[FoundT]:
    """Run a job for many items concurrently and return the results.

    :param job: called with each item.
    :param items: the items; results come in the order of completion.
    """
    results: list[FoundT] = []

    async def run_one(item: ItemT) -> None:  # noqa: WPS430 - binds the list
        results.append(await job(item))

    async with trio.open_nursery() as nursery:
        for item in items:
            nursery.start_soon(run_one, item)
    return results


async def read_status(instance: Instance) -> InstanceStatus | None:
    """Return a daemon's status, None if it does not answer.

    :param instance: the daemon.
    """
    body = await get(instance.operator, '/status')
    return body and msgspec.json.decode(body, type=InstanceStatus) or None


async def read_executions(target: Target) -> list[Execution] | None:
    """Return a target's executions, None if it does not answer.

    :param target: the target.
    """
    body = await get(target.address, '/control/executions')
    return None if body is None else decode_lines(body)

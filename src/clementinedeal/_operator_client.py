"""Client that queries the operator endpoints of instances."""

from collections.abc import Iterable
from dataclasses import dataclass

import trio

from clementinedeal._errors import ClementinedealError
from clementinedeal._http import ConnLostError, HttpError, RequestHead
from clementinedeal._model import Instance
from clementinedeal._pool import ConnPool
from clementinedeal._timers import MonotonicClock

REQUEST_TIMEOUT_SECONDS = 3.0
# An instance keeps 20,000 events of about 1 KB each, which is 20 MB;
# the remainder is a margin.
MAX_ANSWER_BYTES = 32 << 20
_OK = 200


class NoAnswerError(ClementinedealError):
    """An instance gave no usable answer."""


@dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """Answer of one instance.

    ``body`` is None if the instance gave no usable answer; ``error`` is then
    the reason.
    """

    instance: Instance
    body: bytes | None
    error: str = ''


async def fetch_all(
    instances: Iterable[Instance],
    path: str,
) -> tuple[OperatorAnswer, ...]:
    """Request one path from every instance, all at the same time.

    :param instances: the instances to query.
    :param path: path and query, such as ``/status``.
    :return: one answer for each instance, ordered by instance name.
    """
    pool = ConnPool(MonotonicClock())
    answers: list[OperatorAnswer] = []
    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(_fetch, pool, instance, path, answers)
    await pool.stop()
    return tuple(sorted(answers, key=lambda answer: answer.instance.name))


async def fetch(address: str, path: str) -> bytes:
    """Request one path from one instance.

    :param address: ``ip:port`` of its operator endpoint.
    :param path: path and query.
    :raises ClementinedealError: there is no usable answer.
    """
    pool = ConnPool(MonotonicClock())
    try:
        with trio.fail_after(REQUEST_TIMEOUT_SECONDS):
            return await _get(pool, address, path)
    except (ConnLostError, HttpError, trio.TooSlowError) as exc:
        raise NoAnswerError(f'{address}: {exc or "no answer"}') from exc
    finally:
        await pool.stop()


async def _fetch(
    pool: ConnPool,
    instance: Instance,
    path: str,
    answers: list[OperatorAnswer],
) -> None:
    try:
        with trio.fail_after(REQUEST_TIMEOUT_SECONDS):
            body = await _get(pool, instance.operator, path)
    except (ConnLostError, HttpError, trio.TooSlowError) as exc:
        answers.append(OperatorAnswer(instance, None, str(exc)))
        return
    answers.append(OperatorAnswer(instance, body))


async def _get(pool: ConnPool, address: str, path: str) -> bytes:
    conn = await pool.acquire(address)
    head = RequestHead('GET', path, ((b'host', address.encode()),))
    try:
        await conn.send_whole(head, b'')
        answer = await conn.read_head()
        body = bytes(await conn.read_whole(MAX_ANSWER_BYTES))
    finally:
        await conn.aclose()
    if answer.status != _OK:
        raise HttpError(f'unexpected status {answer.status}')
    return body

"""Targets of the soak that work slowly, call others and may answer twice."""

import math
import random
import weakref
from dataclasses import dataclass

import trio
from tests.store_standin import TargetStandIn

ATTEMPT_ID = b'attempt-id'
# Fraction of the answers that are sent a second time in mode ``extra``.
EXTRA_ANSWER_FRACTION = 0.3
_EXTRA_ANSWER = (
    b'HTTP/1.1 200 OK\r\nattempt-id: %s\r\nserver-seal: s\r\n'
    b'content-length: %d\r\n\r\n%s'
)


@dataclass(slots=True)
class Run:
    """One run as its target recorded it.

    Times are those of ``trio.current_time``. The status is 0 while it runs, and
    stays 0 if the daemon disconnects.
    """

    attempt_id: str
    started_at: float
    ended_at: float = math.inf
    status: int = 0


class SlowTarget(TargetStandIn):
    """Works for a time drawn for each path; stops if the daemon disconnects.

    In the mode ``extra`` it sends some answers a second time, while the next
    request on the same connection runs.

    :param seed: of the soak; it and the path determine the work of a request.
    """

    def __init__(self, name, address, seed):
        super().__init__(name, address)
        # sends a request to the target's own daemon; returns the ``Call``
        self.send_request = None
        self._seed = seed
        self._extra_answers = weakref.WeakKeyDictionary()

    async def serve(self, conn, head):
        body = b''.join([piece async for piece in conn.read_body()])
        headers = dict(head.headers)
        if headers[b'expect-instance'] != self.name.encode():
            await conn.respond(421, ((b'instance-id', self.name.encode()),))
            return
        attempt_id = headers[ATTEMPT_ID].decode()
        self.executed.append((attempt_id, head.path, headers, body))
        run = Run(attempt_id, trio.current_time())
        self.runs.append(run)
        rng = random.Random(f'{self._seed} {head.path}')
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, conn, nursery)
                nursery.start_soon(
                    self._send_extra_answer, conn, rng.uniform(0, 0.1)
                )
                run.status = await self._work(head.path, headers, rng)
                nursery.cancel_scope.cancel()
        finally:
            run.ended_at = trio.current_time()
        if not run.status:
            self.disconnects += 1
            return
        answer_body = self.name.encode() + b':' + body
        answer_headers = (
            (ATTEMPT_ID, headers[ATTEMPT_ID]),
            (b'server-seal', b's'),
        )
        await conn.respond(run.status, answer_headers, answer_body)
        if self.mode == 'extra' and rng.random() < EXTRA_ANSWER_FRACTION:
            self._extra_answers[conn] = _EXTRA_ANSWER % (
                headers[ATTEMPT_ID],
                len(answer_body),
                answer_body,
            )

    async def _work(self, path, headers, rng):
        """Work, and return the status of the answer.

        It is 500 if a call of the target failed, and 504 at the deadline.
        """
        with trio.move_on_after(int(headers[b'deadline-ms']) / 1000) as scope:
            if path.startswith('/open/'):
                await trio.sleep(rng.uniform(0.02, rng.choice([0.3, 1.5])))
                return 200
            seconds = rng.uniform(*rng.choice([(0.2, 1), (0.2, 1), (1, 4)]))
            call_count = rng.choice([0, 0, 1, 2])
            for _ in range(call_count):
                await trio.sleep(seconds / (call_count + 1))
                seconds_left = scope.deadline - trio.current_time()
                if (
                    await self.send_request(timeout_seconds=seconds_left)
                ).status != 200:
                    return 500
            await trio.sleep(seconds / (call_count + 1))
            return 200
        return 504

    async def _send_extra_answer(self, conn, delay_seconds):
        extra = self._extra_answers.pop(conn, b'')
        if extra:
            await trio.sleep(delay_seconds)
            await conn._h11_stream.stream.send_all(extra)


async def _cancel_on_disconnect(conn, nursery):
    """Cancel a nursery when the daemon closes its connection."""
    await conn.wait_disconnected()
    nursery.cancel_scope.cancel()

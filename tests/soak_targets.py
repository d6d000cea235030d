"""Targets that work for a while, call other targets and answer twice."""

import math
import random
import weakref
from dataclasses import dataclass

import trio
from tests.store_standin import TargetStandIn

ECHO = b'attempt-id'
LATE_SHARE = 0.3
_LATE = (
    b'HTTP/1.1 200 OK\r\nattempt-id: %s\r\nserver-seal: s\r\n'
    b'content-length: %d\r\n\r\n%s'
)


@dataclass(slots=True)
class Run:
    """One run as its target saw it; a status of 0: broken off from outside."""

    name: str
    begin: float
    end: float = math.inf
    status: int = 0


class WorkingTarget(TargetStandIn):
    """Works as drawn for each path, and stops when nobody waits any more.

    In the mode ``extra`` it sends some answers once more, behind the next
    request on their connection.
    """

    def __init__(self, name, address, seed):
        super().__init__(name, address)
        # sends a request of its own, and returns what came of it
        self.call = None
        self._seed = seed
        self._late = weakref.WeakKeyDictionary()

    async def serve(self, conn, head):
        body = b''.join([piece async for piece in conn.read_body()])
        headers = dict(head.headers)
        if headers[b'expect-instance'] != self.name.encode():
            await conn.respond(421, ((b'instance-id', self.name.encode()),))
            return
        name = headers[ECHO].decode()
        self.seen.append((name, head.path, headers, body))
        run = Run(name, trio.current_time())
        self.runs.append(run)
        rng = random.Random(f'{self._seed} {head.path}')
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_when_left, conn, nursery)
                nursery.start_soon(self._send_late, conn, rng.uniform(0, 0.1))
                run.status = await self._work(head.path, headers, rng)
                nursery.cancel_scope.cancel()
        finally:
            run.end = trio.current_time()
        if not run.status:
            self.left += 1
            return
        whole = self.name.encode() + b':' + body
        sent = ((ECHO, headers[ECHO]), (b'server-seal', b's'))
        await conn.respond(run.status, sent, whole)
        if self.mode == 'extra' and rng.random() < LATE_SHARE:
            self._late[conn] = _LATE % (headers[ECHO], len(whole), whole)

    async def _work(self, path, headers, rng):
        """Return the status after the work, or when the time is over."""
        with trio.move_on_after(int(headers[b'deadline-ms']) / 1000) as scope:
            if path.startswith('/open/'):
                await trio.sleep(rng.uniform(0.02, rng.choice([0.3, 1.5])))
                return 200
            seconds = rng.uniform(*rng.choice([(0.2, 1), (0.2, 1), (1, 4)]))
            calls = rng.choice([0, 0, 1, 2])
            for _ in range(calls):
                await trio.sleep(seconds / (calls + 1))
                left = scope.deadline - trio.current_time()
                if (await self.call(patience=left)).status != 200:
                    return 500
            await trio.sleep(seconds / (calls + 1))
            return 200
        return 504

    async def _send_late(self, conn, seconds):
        late = self._late.pop(conn, b'')
        if late:
            await trio.sleep(seconds)
            await conn._h11_stream.stream.send_all(late)


async def _cancel_when_left(conn, nursery):
    await conn.wait_disconnected()
    nursery.cancel_scope.cancel()

"""An owner on the event loop's clock, and a target that tells of itself."""

import bisect

import trio
from tests.trio_clock import TrioClock

from clementinedeal._events import EventLog
from clementinedeal._verdict import Verdict
from clementinedeal.mesh._call_failures import CallFailures
from clementinedeal.mesh._contracts import TargetStatement
from clementinedeal.mesh._evacuations import EvacuationTracker
from clementinedeal.mesh._metrics import DaemonMetrics
from clementinedeal.mesh._outcomes import MeshAttempt, MeshOutcome
from clementinedeal.mesh._owner import MeshOwner, MeshOwnerParts
from clementinedeal.mesh._target_client import BufferedRequest
from clementinedeal.mesh._types import Target

NOTHING = TargetStatement()
REQUEST = BufferedRequest('GET', '/', (), b'')
TARGET = Target(name='t1', service='s', address='h:1', zone='a', slots=7)


class SpeakingTarget:
    """Stands in for a target's client; answers carry ``statement``."""

    def __init__(self):
        self.statement = NOTHING
        self.on_statement = []
        self.arrivals = []
        self.work_seconds = 0.2

    async def call(self, request, context):
        sent_at = trio.current_time()
        self.arrivals.append(sent_at)
        await trio.sleep(self.work_seconds)
        for handler in self.on_statement:
            handler(self.statement, sent_at)
        return MeshOutcome(verdict=Verdict.RAN, reached=True, status=200)

    def most_arrivals(self, since, seconds=4):
        """Return the most arrivals in any window that begins after ``since``.

        :param seconds: length of the window.
        """
        arrivals = [at for at in self.arrivals if at >= since]
        return max(
            (
                bisect.bisect_left(arrivals, at + seconds) - number
                for number, at in enumerate(arrivals)
            ),
            default=0,
        )


def make_owner(target_client, nursery):
    clock = TrioClock()
    owner = MeshOwner(
        MeshOwnerParts(
            clock=clock,
            events=EventLog('i', '1'),
            target_client=target_client,
            call_failures=CallFailures(clock),
            evacuations=EvacuationTracker(clock, EventLog('i', '1')),
            metrics=DaemonMetrics(),
            nursery=nursery,
        ),
    )
    owner.set_target(TARGET)
    nursery.start_soon(owner.slot_queue.run)
    return owner


def make_attempt(number, **more):
    return MeshAttempt(
        attempt=f'a{number}',
        req_id=f'r{number}',
        target='t1',
        left=5.0,
        objective=1.0,
        idempotent=True,
        account='shop',
        caller='s',
        rank=more.pop('rank', (0, 0)),
        **more,
    )


async def submit_steadily(owner, seconds, rate=20, **more):
    """Submit ``rate`` attempts a second; return their executions."""
    executions = []
    for number in range(int(seconds * rate)):
        attempt = make_attempt(
            f'{trio.current_time()}.{number}', wait=number % 3 * 0.5, **more
        )
        executions.append(owner.submit(attempt, REQUEST))
        await trio.sleep(1 / rate)
    return executions

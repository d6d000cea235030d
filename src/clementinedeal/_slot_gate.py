"""The ``SlotGate`` of an owner, with one queue per owned target."""

from collections.abc import Callable

from clementinedeal._dispatch import Waiters
from clementinedeal._model import Config, Target
from clementinedeal._replies import AttemptRefusal
from clementinedeal._target_queue import (
    QueueActions,
    RejectRequest,
    StartRequest,
    TargetQueue,
)
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict

_EJECTED = AttemptRefusal(Verdict.NOT_RUN, Reason.TARGET_EJECTED)
_NOT_OWNED = AttemptRefusal(Verdict.NOT_RUN, Reason.NO_TARGET)


class QueuedSlotGate:
    """Queues requests for the slots of all owned targets."""

    def __init__(
        self,
        me: str,
        cfg: Config,
        clock: Clock,
        usable_fraction: Callable[[str, float], float],
    ) -> None:
        """Create a queue for each owned target.

        :param me: name of this instance.
        :param cfg: configuration with the owned targets, their slots and the
            queue limit.
        :param clock: clock of the queues.
        :param usable_fraction: returns the usable fraction of a target's
            slots, 0 to 1, from its name and the monotonic time in seconds.
        """
        self._me = me
        self._clock = clock
        self._usable_fraction = usable_fraction
        self._targets: dict[str, Target] = {}
        self._queues: dict[str, TargetQueue] = {}
        # Targets by the ids of the attempts that wait for them.
        self._waiting: dict[str, str] = {}
        self._waiters: Waiters[AttemptRefusal | None] = Waiters()
        self.on_config(cfg, clock.now())

    def on_config(self, cfg: Config, now: float) -> None:
        """Use a new configuration; the queues of kept targets stay.

        :param cfg: the configuration in force.
        :param now: current monotonic time in seconds.
        """
        self._targets = {
            name: target
            for name, target in cfg.targets.items()
            if target.instance == self._me
        }
        limit = cfg.active_preset.queue_limit
        for name, target in self._targets.items():
            queue = self._queues.get(name)
            if queue is None:
                self._queues[name] = TargetQueue(target.slots, limit)
            else:
                queue.set_max_waiting(limit)

    def on_tick(self, now: float) -> None:
        """Refuse expired requests and adapt slots to slow starts.

        :param now: current monotonic time in seconds.
        """
        for name, target in self._targets.items():
            queue = self._queues[name]
            slots = round(self._usable_fraction(name, now) * target.slots)
            self._perform(queue.resize(max(1, slots), now))
            self._perform(queue.on_tick(now))

    async def acquire(
        self,
        attempt_id: str,
        target: str,
        account: str,
        seconds_left: float,
    ) -> AttemptRefusal | None:
        """Wait for a slot of a target.

        ``release`` must be called in any case, also if the wait is cancelled.

        :param attempt_id: unique id of the attempt.
        :param target: name of an owned target.
        :param account: client account; accounts are served round-robin.
        :param seconds_left: time within which the request must start.
        :returns: None if a slot was acquired, else why not.
        """
        queue = self._queues.get(target)
        if queue is None:
            return _NOT_OWNED
        now = self._clock.now()
        self._waiters.expect(attempt_id)
        self._waiting[attempt_id] = target
        self._perform(queue.offer(attempt_id, account, now + seconds_left, now))
        return await self._waiters.wait(attempt_id)

    def release(self, attempt_id: str, target: str) -> None:
        """Release a slot, or leave the queue.

        :param attempt_id: unique id of the attempt.
        :param target: name of an owned target.
        """
        self._waiting.pop(attempt_id, None)
        queue = self._queues.get(target)
        if queue is not None:
            self._perform(queue.cancel(attempt_id))
            self._perform(queue.finish(attempt_id, self._clock.now()))

    def load(self, target: str) -> float:
        """Return the running and waiting requests per slot.

        :param target: name of a target.
        :returns: the load, 0 for a target that is not owned.
        """
        queue = self._queues.get(target)
        if queue is None or target not in self._targets:
            return 0
        return (queue.running + queue.waiting) / self._targets[target].slots

    def reject_waiting(self, target: str) -> None:
        """Refuse all requests that wait for a target that was ejected.

        :param target: name of an owned target.
        """
        waiting = [
            attempt_id
            for attempt_id, waits_for in self._waiting.items()
            if waits_for == target
        ]
        for attempt_id in waiting:
            self._waiting.pop(attempt_id)
            self._queues[target].cancel(attempt_id)
            self._waiters.resolve(attempt_id, _EJECTED)

    def _perform(self, actions: QueueActions) -> None:
        for action in actions:
            self._waiting.pop(action.req_id, None)
            match action:
                case StartRequest():
                    self._waiters.resolve(action.req_id, None)
                case RejectRequest():
                    self._waiters.resolve(action.req_id, _to_refusal(action))


def _to_refusal(rejection: RejectRequest) -> AttemptRefusal:
    return AttemptRefusal(
        Verdict.NOT_RUN,
        rejection.reason,
        rejection.retry_after_seconds,
    )

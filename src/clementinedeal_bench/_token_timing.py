"""Measures the processor time of taking a token.

Run as ``python -m clementinedeal_bench._token_timing``; prints one JSON line.
Keys that end in _us hold microseconds.
"""

import json
import time

from clementinedeal._borrowing import TokenActions
from clementinedeal._draws import TokenGranted
from clementinedeal._messages import Send
from clementinedeal._tokens import TokenManager
from clementinedeal_bench._token_config import ACCOUNT_NAME, make_config

CALL_COUNT = 20_000
LARGE_AMOUNT = 1_000_000.0  # a rate, burst or age that limits nothing
LOW_RATE = 9.0  # requests per second; each measured take needs a draw
NANOS_PER_MICRO = 1000
WARM_UP_STEPS = 40
STEP_SECONDS = 0.25
CALL_SECONDS = 0.001


class TimedFleet:
    """Three daemons: the two holders of an account's shares, and an owner.

    A holder keeps a share of the account's rate and burst. The owner holds no
    share, so it draws its tokens from a holder.
    """

    def __init__(self, rate: float) -> None:
        """Start three daemons with full shares.

        :param rate: rate of the account, in requests per second.
        """
        cfg = make_config(rate, LARGE_AMOUNT, 3)
        self.now = 0.0
        self.managers = {
            name: TokenManager(
                name, cfg, 0, incarnation=1, config_age_seconds=LARGE_AMOUNT
            )
            for name in cfg.instances
        }
        self.holders = self.managers['i0'].holders(ACCOUNT_NAME)
        for _ in range(WARM_UP_STEPS):
            self.now += STEP_SECONDS
            self.tick()

    def tick(self) -> None:
        """Tick all daemons and mark their configuration as fresh."""
        for manager in self.managers.values():
            manager.on_tick(self.now)
            manager.set_fresh(True, self.now)

    def deliver(self, sender: str, actions: TokenActions) -> int:
        """Deliver messages and the answers to them, until there are no more.

        Returns the number of requests that were admitted.

        :param sender: instance name of the daemon that returned the actions.
        :param actions: messages to deliver and results of requests.
        """
        admitted = 0
        for action in actions:
            if isinstance(action, Send):
                manager = self.managers[action.to]
                answer = manager.on_message(sender, action.body, self.now)
                admitted += self.deliver(action.to, answer)
            admitted += isinstance(action, TokenGranted)
        return admitted


def measure_local_take() -> float:
    """Return the microseconds of a take from the daemon's own share."""
    fleet = TimedFleet(LARGE_AMOUNT)
    manager = fleet.managers[fleet.holders[0]]
    started_ns = time.process_time_ns()
    for index in range(CALL_COUNT):
        manager.take(str(index), ACCOUNT_NAME, fleet.now)
    return (time.process_time_ns() - started_ns) / NANOS_PER_MICRO / CALL_COUNT


def measure_take_with_draw() -> tuple[float, int]:
    """Return the microseconds of a take with a draw, and how many succeeded.

    A draw asks a holder for tokens. The time is that of the owner and the
    holder together.
    """
    fleet = TimedFleet(LOW_RATE)
    owner = next(name for name in fleet.managers if name not in fleet.holders)
    spent_ns = 0
    admitted = 0
    for index in range(CALL_COUNT // 10):
        fleet.now += STEP_SECONDS
        fleet.tick()
        started_ns = time.process_time_ns()
        actions = fleet.managers[owner].take(
            str(index), ACCOUNT_NAME, fleet.now
        )
        admitted += fleet.deliver(owner, actions)
        spent_ns += time.process_time_ns() - started_ns
    return spent_ns / NANOS_PER_MICRO / (CALL_COUNT // 10), admitted


def main() -> None:
    """Measure and print the result as one JSON line."""
    take_with_draw_micros, admitted = measure_take_with_draw()
    report = {
        'take_local_us': round(measure_local_take(), 2),
        'take_with_draw_both_sides_us': round(take_with_draw_micros, 2),
        'draws': CALL_COUNT // 10,
        'admitted': admitted,
    }
    print(json.dumps(report))  # noqa: WPS421


if __name__ == '__main__':
    main()

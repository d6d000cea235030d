"""Probes of targets that are leaving."""

import trio

from clementinedeal._pool import ConnPool
from clementinedeal._prober import Prober
from clementinedeal._timers import MonotonicClock
from fleet import running_fleet


async def test_a_leaving_target_is_not_reported_as_back() -> None:
    async with running_fleet(('a', 'b')) as fleet:
        leaving = fleet.cfg.targets['t-a']
        fleet.targets['t-a'].begin_leaving()
        back: list[str] = []
        seen = trio.Event()

        def on_back(name: str) -> None:
            back.append(name)
            seen.set()

        watched = [leaving]
        prober = Prober(
            ConnPool(MonotonicClock()),
            lambda: tuple(watched),
            on_back,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(prober.run)
            with trio.move_on_after(1.5):
                await seen.wait()
            assert back == []
            watched.append(fleet.cfg.targets['t-b'])
            await seen.wait()
            nursery.cancel_scope.cancel()
    assert set(back) == {'t-b'}

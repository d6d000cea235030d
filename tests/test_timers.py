"""Timers under a virtual clock."""

from clementinedeal._timers import Timers, VirtualClock


def test_subscribers_are_called_when_due_and_not_after_cancel() -> None:
    clock = VirtualClock()
    timers = Timers(clock)
    calls: list[float] = []
    timers.after(0.1, calls.append)
    periodic = timers.every(0.2, calls.append)
    clock.advance(0.1)
    timers.tick()
    clock.advance(0.1)
    timers.tick()
    periodic.cancel()
    clock.advance(0.3)
    timers.tick()
    assert calls == [0.1, 0.2]


def test_a_pause_is_reported_before_anything_due_runs() -> None:
    clock = VirtualClock()
    timers = Timers(clock)
    calls: list[str] = []
    timers.after(0.1, lambda now: calls.append('due'))
    timers.on_pause(lambda gap: calls.append(f'pause {gap:.0f}'))
    clock.advance(30)
    timers.tick()
    assert calls == ['pause 30', 'due']


def test_periods_with_common_multiples_share_a_wake_up() -> None:
    clock = VirtualClock(start=0.03)
    timers = Timers(clock)
    calls: list[str] = []
    timers.every(0.1, lambda now: calls.append('often'))
    clock.advance(0.02)
    timers.every(0.2, lambda now: calls.append('seldom'))
    clock.advance(0.05)
    timers.tick()
    assert calls == ['often']
    clock.advance(0.1)
    timers.tick()
    assert calls == ['often', 'often', 'seldom']

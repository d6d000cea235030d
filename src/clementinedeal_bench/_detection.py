"""Bench of detection: time to ejection against wrongful ejections.

``python -m clementinedeal_bench._detection`` prints JSON lines.
"""

import heapq
import json
import random
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from absl import app, flags

from clementinedeal_bench._ejection_policies import (
    ConsecutiveErrors,
    FixedLatency,
    Managers,
    NoPolicy,
    Policy,
)
from clementinedeal_bench._model_targets import Mode, ModelTarget, Work

FLAGS = flags.FLAGS
flags.DEFINE_integer('seeds', 30, 'Runs of each case.')
flags.DEFINE_integer('first_seed', 1, 'Seed of the first run.')
flags.DEFINE_float('rate', 13.0, 'Requests a second at each target.')
flags.DEFINE_float('after', 40.0, 'Seconds simulated after the onset.')
flags.DEFINE_list('thresholds', ['18'], 'Thresholds of ours, in nats.')
flags.DEFINE_list('modes', [mode.value for mode in Mode], 'Modes to run.')
flags.DEFINE_bool('baselines', True, 'Whether to run the other policies.')

SIZES = (8, 12, 16)
OUT_RATIO = 4
# Nothing is judged before; permits are lent after 26 s.
WARM_UP_SECONDS = 40.0
TICK_SECONDS = 0.05
HOUR_SECONDS = 3600.0


@dataclass(frozen=True, slots=True)
class Load:
    """Requests a second at each target, and seconds run after the onset."""

    rate: float = 13.0
    after: float = 40.0


@dataclass(order=True, slots=True)
class Event:
    """Arrival at a target, or the end of its work."""

    at: float
    order: int
    target: str = field(compare=False)
    work: Work | None = field(compare=False, default=None)


@dataclass(slots=True)
class Finding:
    """Outcome of one run; ``detected`` is seconds from the onset."""

    detected: float | None = None
    wrongful: int = 0
    healthy_seconds: float = 0.0


class Run:
    """One service in virtual time under one policy."""

    def __init__(
        self,
        mode: Mode,
        seed: int,
        policy: Policy,
        load: Load,
    ) -> None:
        """Draw the targets; the fault is at the first one, or at all.

        :param mode: the fault.
        :param seed: of all randomness.
        :param policy: what ejects.
        :param load: how much and how long.
        """
        self._load = load
        self._rng = random.Random(seed)
        self._mode = mode
        self._policy = policy
        self._events: list[Event] = []
        self._order = 0
        self.onset = WARM_UP_SECONDS + self._rng.random()
        self._end = self.onset + load.after
        size = size_of(seed)
        self._targets = {
            f't{number}': self._target(number) for number in range(size)
        }
        self._working: dict[str, list[Work]] = {
            name: [] for name in self._targets
        }

    def finish(self) -> Finding:
        """Simulate to the end."""
        finding = Finding()
        for target in self._targets:
            self._push(self._gap(), target, None)
        now = 0.0
        while now < self._end:
            now += TICK_SECONDS
            while self._events[0].at <= now:
                self._handle(heapq.heappop(self._events))
                self._judge(finding, now)
            self._policy.on_tick(self._inflight(now), now)
            self._judge(finding, now)
        sick = (
            self._mode is not Mode.ALL_SLOW and self._mode is not Mode.HEALTHY
        )
        judged = self._end - WARM_UP_SECONDS
        finding.healthy_seconds = judged * len(self._targets)
        finding.healthy_seconds -= self._load.after if sick else 0
        return finding

    def _target(self, number: int) -> ModelTarget:
        sick = number == 0 or self._mode is Mode.ALL_SLOW
        mode = self._mode if sick else Mode.HEALTHY
        rng = random.Random(self._rng.random())
        return ModelTarget(mode, self.onset, rng)

    def _gap(self) -> float:
        return self._rng.expovariate(self._load.rate)

    def _push(self, at: float, target: str, work: Work | None) -> None:
        self._order += 1
        heapq.heappush(self._events, Event(at, self._order, target, work))

    def _handle(self, event: Event) -> None:
        name = event.target
        if event.work is not None:
            self._working[name].remove(event.work)
            self._policy.on_outcome(name, event.work.outcome, event.at)
            return
        self._push(event.at + self._gap(), name, None)
        if self._rng.random() < self._policy.share(name, event.at):
            work = self._targets[name].serve(event.at)
            self._working[name].append(work)
            self._push(work.ends, name, work)

    def _inflight(self, now: float) -> dict[str, list[float]]:
        return {
            name: [one.started for one in works if one.started <= now]
            for name, works in self._working.items()
        }

    def _judge(self, finding: Finding, now: float) -> None:
        ejections = self._policy.ejections if now > WARM_UP_SECONDS else []
        for name in ejections:
            target = self._targets[name]
            sick = target.mode not in {Mode.HEALTHY, Mode.ALL_SLOW}
            if not sick or now < self.onset:
                finding.wrongful += 1
            elif finding.detected is None:
                finding.detected = now - self.onset
        self._policy.ejections.clear()


def size_of(seed: int) -> int:
    """Return the number of targets in a run.

    :param seed: of the run.
    """
    return SIZES[seed % len(SIZES)]


def policies() -> Iterator[tuple[str, Callable[[int], Policy]]]:
    """Yield the name of each policy and its factory by number of targets."""
    for threshold in FLAGS.thresholds:
        yield f'ours-{threshold}', _ours(float(threshold))
    if FLAGS.baselines:
        yield (
            'consecutive-errors',
            lambda size: ConsecutiveErrors(size // OUT_RATIO),
        )
        yield 'fixed-latency', lambda size: FixedLatency(size // OUT_RATIO)
        yield 'none', lambda size: NoPolicy()


def _ours(threshold: float) -> Callable[[int], Policy]:
    return lambda size: Managers(size, size - size // OUT_RATIO, threshold)


def report(
    mode: Mode,
    name: str,
    factory: Callable[[int], Policy],
) -> dict[str, object]:
    """Run one case over all seeds and return the line to print.

    :param mode: the fault.
    :param name: of the policy.
    :param factory: of the policy, by number of targets.
    """
    seeds = range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.seeds)
    load = Load(FLAGS.rate, FLAGS.after)
    findings = [
        Run(mode, seed, factory(size_of(seed)), load).finish() for seed in seeds
    ]
    times = sorted(one.detected for one in findings if one.detected is not None)
    hours = sum(one.healthy_seconds for one in findings) / HOUR_SECONDS
    wrongful = sum(one.wrongful for one in findings)
    return {
        'mode': mode.value,
        'policy': name,
        'seeds': [seeds[0], seeds[-1]],
        'detected': f'{len(times)}/{len(findings)}',
        'p50_s': _quantile(times, 0.5),
        'p90_s': _quantile(times, 0.9),
        'max_s': _quantile(times, 1.0),
        'wrongful': wrongful,
        'healthy_target_hours': round(hours, 2),
        'wrongful_per_1000_hours': round(1000 * wrongful / hours, 1),
    }


def _quantile(times: list[float], share: float) -> float | None:
    if not times:
        return None
    index = min(int(share * len(times)), len(times) - 1)
    return round(times[index], 2)


def main(argv: list[str]) -> None:
    """Run every case.

    :param argv: unused.
    """
    for mode in map(Mode, FLAGS.modes):
        for name, factory in policies():
            line = json.dumps(report(mode, name, factory))
            sys.stdout.write(f'{line}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    app.run(main)

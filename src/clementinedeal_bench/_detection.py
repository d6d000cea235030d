"""Detection bench: measures how policies eject faulty and healthy targets.

Each case is a fault mode and an ejection policy, run over many seeds in virtual
time. ``python -m clementinedeal_bench._detection`` prints a JSON line for each.
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
    EjectionManagers,
    FixedLatency,
    NoPolicy,
    Policy,
)
from clementinedeal_bench._model_targets import (
    FaultMode,
    ModelTarget,
    ServedRequest,
)

FLAGS = flags.FLAGS
flags.DEFINE_integer('seeds', 30, 'Runs of each case.')
flags.DEFINE_integer('first_seed', 1, 'Seed of the first run.')
flags.DEFINE_float('rate', 13.0, 'Requests a second at each target.')
flags.DEFINE_float('after', 40.0, 'Seconds simulated after the onset.')
flags.DEFINE_list('thresholds', ['18'], 'Detector thresholds, in nats.')
flags.DEFINE_list('modes', [mode.value for mode in FaultMode], 'Modes to run.')
flags.DEFINE_bool('baselines', True, 'Whether to run the other policies.')

TARGET_COUNTS = (8, 12, 16)  # targets of a service; the seed selects one
# The number of targets divided by this, rounded down, may be ejected at once.
MAX_EJECTED_DIVISOR = 4
# Ejections before this time are not counted: managers lend ejection permits to
# one another only after 26 s.
WARM_UP_SECONDS = 40.0
TICK_SECONDS = 0.05
HOUR_SECONDS = 3600.0


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Load of a run.

    :param rate: requests per second at each target.
    :param seconds_after_onset: seconds simulated after the onset of the fault.
    """

    rate: float = 13.0
    seconds_after_onset: float = 40.0


@dataclass(order=True, slots=True)
class SimulationEvent:
    """An arrival at a target, or the end of a request that it served.

    :param at: virtual time in seconds.
    :param sequence: orders events of the same time.
    :param target: name of the target.
    :param served: the request that ends; ``None`` for an arrival.
    """

    at: float
    sequence: int
    target: str = field(compare=False)
    served: ServedRequest | None = field(compare=False, default=None)


@dataclass(slots=True)
class DetectionResult:
    """Result of one run.

    :param detection_seconds: time from the onset to the ejection of the faulty
        target, ``None`` without one.
    :param wrongful_ejections: ejections of targets that were not faulty.
    :param healthy_target_seconds: seconds of all targets together during which
        an ejection would have been wrongful.
    """

    detection_seconds: float | None = None
    wrongful_ejections: int = 0
    healthy_target_seconds: float = 0.0


class DetectionRun:
    """Simulates one service in virtual time under one policy.

    ``onset_at`` is the virtual time in seconds at which the fault begins.
    """

    def __init__(
        self,
        mode: FaultMode,
        seed: int,
        policy: Policy,
        load: LoadSettings,
    ) -> None:
        """Create the targets; the first one, or all of them, get the fault.

        :param mode: the fault; with ``ALL_SLOW`` all targets have it.
        :param seed: seed of all randomness.
        :param policy: decides on ejections.
        :param load: rate of requests and length of the run.
        """
        self._load = load
        self._rng = random.Random(seed)
        self._mode = mode
        self._policy = policy
        self._events: list[SimulationEvent] = []
        self._sequence = 0
        self.onset_at = WARM_UP_SECONDS + self._rng.random()
        self._ends_at = self.onset_at + load.seconds_after_onset
        target_count = target_count_of(seed)
        self._targets = {
            f't{number}': self._make_target(number)
            for number in range(target_count)
        }
        self._unfinished: dict[str, list[ServedRequest]] = {
            name: [] for name in self._targets
        }

    def simulate(self) -> DetectionResult:
        """Simulate the whole run and return its result."""
        result = DetectionResult()
        for target in self._targets:
            self._schedule(self._draw_arrival_gap(), target, None)
        now = 0.0
        while now < self._ends_at:
            now += TICK_SECONDS
            while self._events[0].at <= now:
                self._handle(heapq.heappop(self._events))
                self._record_ejections(result, now)
            self._policy.on_tick(self._in_flight_starts(now), now)
            self._record_ejections(result, now)
        has_faulty_target = (
            self._mode is not FaultMode.ALL_SLOW
            and self._mode is not FaultMode.HEALTHY
        )
        measured_seconds = self._ends_at - WARM_UP_SECONDS
        result.healthy_target_seconds = measured_seconds * len(self._targets)
        result.healthy_target_seconds -= (
            self._load.seconds_after_onset if has_faulty_target else 0
        )
        return result

    def _make_target(self, number: int) -> ModelTarget:
        is_faulty = number == 0 or self._mode is FaultMode.ALL_SLOW
        mode = self._mode if is_faulty else FaultMode.HEALTHY
        rng = random.Random(self._rng.random())
        return ModelTarget(mode, self.onset_at, rng)

    def _draw_arrival_gap(self) -> float:
        return self._rng.expovariate(self._load.rate)

    def _schedule(
        self, at: float, target: str, served: ServedRequest | None
    ) -> None:
        self._sequence += 1
        heapq.heappush(
            self._events, SimulationEvent(at, self._sequence, target, served)
        )

    def _handle(self, event: SimulationEvent) -> None:
        name = event.target
        if event.served is not None:
            self._unfinished[name].remove(event.served)
            self._policy.on_outcome(name, event.served.outcome, event.at)
            return
        self._schedule(event.at + self._draw_arrival_gap(), name, None)
        if self._rng.random() < self._policy.usable_fraction(name, event.at):
            served = self._targets[name].serve(event.at)
            self._unfinished[name].append(served)
            self._schedule(served.ends_at, name, served)

    def _in_flight_starts(self, now: float) -> dict[str, list[float]]:
        return {
            name: [
                request.started_at
                for request in requests
                if request.started_at <= now
            ]
            for name, requests in self._unfinished.items()
        }

    def _record_ejections(self, result: DetectionResult, now: float) -> None:
        ejections = self._policy.ejections if now > WARM_UP_SECONDS else []
        for name in ejections:
            target = self._targets[name]
            is_faulty = target.mode not in {
                FaultMode.HEALTHY,
                FaultMode.ALL_SLOW,
            }
            if not is_faulty or now < self.onset_at:
                result.wrongful_ejections += 1
            elif result.detection_seconds is None:
                result.detection_seconds = now - self.onset_at
        self._policy.ejections.clear()


def target_count_of(seed: int) -> int:
    """Return the number of targets in a run.

    :param seed: seed of the run.
    """
    return TARGET_COUNTS[seed % len(TARGET_COUNTS)]


def policy_factories() -> Iterator[tuple[str, Callable[[int], Policy]]]:
    """Yield the name and the factory of each policy that the flags select.

    A factory takes the number of targets of the service.
    """
    for threshold in FLAGS.thresholds:
        yield f'ours-{threshold}', _ejection_managers_factory(float(threshold))
    if FLAGS.baselines:
        yield (
            'consecutive-errors',
            lambda size: ConsecutiveErrors(size // MAX_EJECTED_DIVISOR),
        )
        yield (
            'fixed-latency',
            lambda size: FixedLatency(size // MAX_EJECTED_DIVISOR),
        )
        yield 'none', lambda size: NoPolicy()


def _ejection_managers_factory(
    threshold_nats: float,
) -> Callable[[int], Policy]:
    return lambda size: EjectionManagers(
        size, size - size // MAX_EJECTED_DIVISOR, threshold_nats
    )


def run_case(
    mode: FaultMode,
    name: str,
    factory: Callable[[int], Policy],
) -> dict[str, object]:
    """Run one case over all seeds and return the fields of its JSON line.

    :param mode: the fault.
    :param name: name of the policy.
    :param factory: creates the policy for a number of targets.
    """
    seeds = range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.seeds)
    load = LoadSettings(FLAGS.rate, FLAGS.after)
    results = [
        DetectionRun(
            mode, seed, factory(target_count_of(seed)), load
        ).simulate()
        for seed in seeds
    ]
    detection_times = sorted(
        result.detection_seconds
        for result in results
        if result.detection_seconds is not None
    )
    hours = (
        sum(result.healthy_target_seconds for result in results) / HOUR_SECONDS
    )
    wrongful = sum(result.wrongful_ejections for result in results)
    return {
        'mode': mode.value,
        'policy': name,
        'seeds': [seeds[0], seeds[-1]],
        'detected': f'{len(detection_times)}/{len(results)}',
        'p50_s': _quantile(detection_times, 0.5),
        'p90_s': _quantile(detection_times, 0.9),
        'max_s': _quantile(detection_times, 1.0),
        'wrongful': wrongful,
        'healthy_target_hours': round(hours, 2),
        'wrongful_per_1000_hours': round(1000 * wrongful / hours, 1),
    }


def _quantile(sorted_seconds: list[float], fraction: float) -> float | None:
    if not sorted_seconds:
        return None
    index = min(int(fraction * len(sorted_seconds)), len(sorted_seconds) - 1)
    return round(sorted_seconds[index], 2)


def main(argv: list[str]) -> None:
    """Run every case that the flags select.

    :param argv: unused.
    """
    for mode in map(FaultMode, FLAGS.modes):
        for name, factory in policy_factories():
            line = json.dumps(run_case(mode, name, factory))
            sys.stdout.write(f'{line}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    app.run(main)

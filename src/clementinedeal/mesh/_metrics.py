"""Counters, latency histograms and gauges of a mesh daemon."""

import bisect
import collections
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from prometheus_client.core import Metric

# Upper bounds of the histogram buckets.
BUCKET_BOUNDS_SECONDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    float('inf'),
)
_PREFIX = 'clementinedeal_'

# Label values, in the order of the label names below.
Labels: TypeAlias = tuple[str, ...]

# Name: (help text, label names).
_COUNTERS = {
    'requests': (
        'Requests finished at this entry.',
        ('service', 'account', 'verdict', 'reason'),
    ),
    'attempts': (
        'Attempts ended at the owned target.',
        ('verdict', 'reason'),
    ),
    'early': ('Requests run before their turn on a connection.', ()),
    'left': ('Callers that left before their answer.', ()),
    'platform_failures': ('Calls to the platform that failed.', ('part',)),
}
_HISTOGRAMS = {
    'request_seconds': (
        'Time from the head of a request to its outcome.',
        ('service',),
    ),
    'target_seconds': ('Time that the owned target took.', ()),
    'queue_seconds': ('Time that attempts waited for a slot.', ()),
    'config_seconds': (
        'Time that a declaration took until it was in force, by step.',
        ('step',),
    ),
}


class DaemonMetrics:
    """Metrics of one daemon, in plain containers until they are scraped.

    ``gauges`` holds a function for each gauge, called at each scrape, and
    ``service_gauges`` one that returns the values by service.
    """

    def __init__(self) -> None:
        """Create metrics that are all zero."""
        self._counts: dict[str, collections.Counter[Labels]] = {
            name: collections.Counter() for name in _COUNTERS
        }
        self._buckets: dict[str, dict[Labels, list[int]]] = {
            name: {} for name in _HISTOGRAMS
        }
        self._sums: collections.defaultdict[tuple[str, Labels], float]
        self._sums = collections.defaultdict(float)
        self.gauges: dict[str, Callable[[], float]] = {}
        self.service_gauges: dict[str, Callable[[], Mapping[str, float]]] = {}

    def count(self, name: str, *labels: str) -> None:
        """Add one to a counter.

        :param name: a key of ``_COUNTERS``.
        :param labels: label values, in the order of the label names.
        """
        self._counts[name][labels] += 1

    def observe(self, name: str, seconds: float, *labels: str) -> None:
        """Add an observation to a histogram.

        :param name: a key of ``_HISTOGRAMS``.
        :param seconds: the observed time.
        :param labels: label values, in the order of the label names.
        """
        buckets = self._buckets[name].get(labels)
        if buckets is None:
            buckets = [0 for _ in BUCKET_BOUNDS_SECONDS]
            self._buckets[name][labels] = buckets
        buckets[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self._sums[name, labels] += seconds

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # imported at the first scrape, because the import would make the start
        # of the process a fifth longer
        from prometheus_client import (  # noqa: PLC0415
            CollectorRegistry,
            generate_latest,
        )

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterable['Metric']:
        """Yield the metrics; called by prometheus_client's registry."""
        from prometheus_client.core import (  # noqa: PLC0415
            CounterMetricFamily,
            HistogramMetricFamily,
        )

        for name, (description, label_names) in _COUNTERS.items():
            counter = CounterMetricFamily(
                _PREFIX + name, description, labels=label_names
            )
            for labels, total in self._counts[name].items():
                counter.add_metric(labels, total)
            yield counter
        for name, (description, label_names) in _HISTOGRAMS.items():
            histogram = HistogramMetricFamily(
                _PREFIX + name,
                description,
                labels=label_names,
            )
            for labels, buckets in self._buckets[name].items():
                histogram.add_metric(
                    labels,
                    _accumulate(buckets),
                    self._sums[name, labels],
                )
            yield histogram
        yield from self._collect_gauges()

    def _collect_gauges(self) -> Iterable['Metric']:
        from prometheus_client.core import GaugeMetricFamily  # noqa: PLC0415

        for name, read in self.gauges.items():
            yield GaugeMetricFamily(_PREFIX + name, name, value=read())
        for name, read_all in self.service_gauges.items():
            gauge = GaugeMetricFamily(_PREFIX + name, name, labels=['service'])
            for service, value in read_all().items():
                gauge.add_metric((service,), value)
            yield gauge


def _accumulate(buckets: list[int]) -> list[tuple[str, int]]:
    """Return upper bounds with cumulative counts, as Prometheus wants them."""
    total = 0
    rows = []
    for bound, count in zip(BUCKET_BOUNDS_SECONDS, buckets, strict=True):
        total += count
        rows.append(('+Inf' if bound == float('inf') else str(bound), total))
    return rows

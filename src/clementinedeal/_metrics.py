"""Prometheus metrics of one daemon."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

_LATENCY_BUCKETS_SECONDS = (
    0.0005,
    0.001,
    0.0023,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    10.0,
)


class Metrics:
    """The daemon's collectors, in a registry of their own."""

    def __init__(self) -> None:
        """Create the collectors."""
        self.registry = CollectorRegistry()
        self.requests = Counter(
            'clementinedeal_requests_total',
            'Requests finished at this entry.',
            ('service', 'account', 'verdict', 'outcome'),
            registry=self.registry,
        )
        self.early_refusals = Counter(
            'clementinedeal_early_refusals_total',
            'Requests refused at this entry by route or key.',
            ('reason',),
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            'clementinedeal_request_seconds',
            'Time from request head to the end of its answer.',
            ('service',),
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.added_seconds = Histogram(
            'clementinedeal_added_seconds',
            'Time that the system adds to the time of the target.',
            ('service',),
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.executions = Counter(
            'clementinedeal_executions_total',
            'Attempts run at owned targets.',
            ('target', 'outcome'),
            registry=self.registry,
        )
        self.target_state = Gauge(
            'clementinedeal_target_state',
            'One for the state that an owned target is in.',
            ('target', 'state'),
            registry=self.registry,
        )
        self.target_load = Gauge(
            'clementinedeal_target_load',
            'Requests running and queued per slot of an owned target.',
            ('target',),
            registry=self.registry,
        )
        self.ejections = Counter(
            'clementinedeal_ejections_total',
            'Ejections of owned targets.',
            ('target', 'cause'),
            registry=self.registry,
        )
        self.token_takes = Counter(
            'clementinedeal_token_takes_total',
            'Requests of accounts that got a token at this owner, or none.',
            ('outcome',),
            registry=self.registry,
        )
        self._add_gauges()

    def _add_gauges(self) -> None:
        self.config_version = self._gauge(
            'config_version',
            'Version of the configuration in force.',
        )
        self.fresh = self._gauge(
            'config_fresh',
            'One while the configuration is known to be recent.',
        )
        self.config_age = self._gauge(
            'config_known_seconds',
            'Seconds for which the version in force is known at least.',
        )
        self.in_flight = self._gauge(
            'in_flight',
            'Attempts running or queued at owned targets.',
        )
        self.control_bytes = self._gauge(
            'control_bytes',
            'Control bytes sent and received since the start.',
        )
        self.control_messages = self._gauge(
            'control_messages',
            'Control messages sent and received since the start.',
        )
        self.platform_reads = self._gauge(
            'platform_reads',
            'Reads and watches of the platform since the start.',
        )

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f'clementinedeal_{name}', text, registry=self.registry)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

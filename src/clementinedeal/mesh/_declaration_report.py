"""Logs and measures how declarations reach this daemon."""

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._contracts import SourceError
from clementinedeal.mesh._metrics import DaemonMetrics
from clementinedeal.mesh._types import Declaration, Revision, Transfer

# The declaration's way from the first notice of it to where it is in force.
_STEPS = 'config_seconds'


class DeclarationReport:
    """What operators are told of the feed of declarations.

    ``failures`` counts the calls to the platform that failed in a row.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        metrics: DaemonMetrics | None = None,
    ) -> None:
        """Create a report of a feed that has read nothing yet.

        :param clock: monotonic time.
        :param events: log of changes and outages.
        :param metrics: gets the time of each step, if there are any.
        """
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._noticed_version = 0
        self._noticed_at = clock.now()
        self._failing_since = 0.0
        self.failures = 0

    def on_noticed(self, version: int) -> None:
        """Record when a version was first heard of.

        :param version: a version that is not in force here.
        """
        if version > self._noticed_version:
            self._noticed_version = version
            self._noticed_at = self._clock.now()

    def on_in_force(
        self,
        declaration: Declaration,
        revision: Revision,
        transfer: Transfer,
    ) -> None:
        """Log a version that is in force from now on.

        :param declaration: the version.
        :param revision: the revision of the store that shows it.
        :param transfer: how it came here.
        """
        noticed_seconds = 0.0
        if self._noticed_version >= declaration.version:
            noticed_seconds = self._clock.now() - self._noticed_at
        steps = {
            'receive': transfer.receive_seconds,
            'decode': transfer.decode_seconds,
            'noticed': noticed_seconds,
        }
        if self._metrics is not None:
            for step, seconds in steps.items():
                self._metrics.observe(_STEPS, seconds, step)
        texts = {key: f'{took:.3f}' for key, took in steps.items()}
        self._events.emit(
            'config-in-force',
            version=declaration.version,
            era=revision.era,
            revision=revision.number,
            routes=len(declaration.routes),
            accounts=len(declaration.accounts),
            unknown_kinds=','.join(declaration.unknown_kinds),
            source=transfer.source,
            bytes=transfer.size,
            **texts,
        )

    def on_ignored(
        self, version: int, in_force: int, revision: Revision
    ) -> None:
        """Log a version that is older than the one in force.

        :param version: the version, 0 if it can't be read.
        :param in_force: the version in force.
        :param revision: the revision of the store that shows it.
        """
        self._events.emit(
            'config-ignored',
            version=version,
            in_force=in_force,
            era=revision.era,
            revision=revision.number,
        )

    def on_call_failed(self, exc: SourceError, age: float) -> None:
        """Log a failed call; of many in a row the first, second, fourth...

        :param exc: why it failed.
        :param age: seconds since the declaration was proved to be the newest.
        """
        if not self.failures:
            self._failing_since = self._clock.now()
        self.failures += 1
        if self._metrics is not None:
            self._metrics.count('platform_failures', 'declarations')
        if self.failures & (self.failures - 1) == 0:
            self._events.emit(
                'platform-lost',
                part='declarations',
                reason=exc,
                failures=self.failures,
                age=f'{age:.2f}',
            )

    def on_call_answered(self) -> None:
        """Log the end of a series of failed calls, if there was one."""
        if self.failures:
            self._events.emit(
                'platform-back',
                part='declarations',
                failures=self.failures,
                seconds=f'{self._clock.now() - self._failing_since:.2f}',
            )
            self.failures = 0

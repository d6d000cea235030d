"""State of a daemon's view of the fleet, and how its parts are connected."""

import random
from collections.abc import Iterator, Mapping
from typing import Any

from clementinedeal._acceptance import Acceptance
from clementinedeal._errors import DECODE_ERRORS
from clementinedeal._freshness import Freshness
from clementinedeal._gossip import Gossip
from clementinedeal._membership import Membership
from clementinedeal._messages import Send
from clementinedeal._model import Config, Instance
from clementinedeal._read_schedule import (
    READER_COUNT,
    ReadSchedule,
    reader_order,
)
from clementinedeal._settings import DaemonSettings
from clementinedeal._version_ages import VersionAges
from clementinedeal._version_sync import VersionSync
from clementinedeal._view_actions import (
    ConfigInForce,
    InstanceLeft,
    PeerAddress,
    ReadPlatform,
    WatchRoot,
)

INCARNATION_BITS = 48
# Interval at which changes among members are looked for.
SWEEP_INTERVAL_SECONDS = 1.0


class ViewState:
    """State shared by ``ViewHandlers`` and ``FleetView``.

    A reader is one of the ``READER_COUNT`` daemons that read the platform for
    the fleet; the others learn of new versions from their peers.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        rng: random.Random,
        now: float,
    ) -> None:
        """Create the state of a daemon that has just started.

        :param settings: the daemon's own settings.
        :param rng: source of jitter, choice of peers and incarnations.
        :param now: monotonic seconds.
        """
        self.me = settings.instance
        self.leaving = False
        self.acceptance = Acceptance()
        self.version_ages = VersionAges()
        self.freshness = Freshness()
        self.members = Membership(self.me)
        self.gossip = Gossip(self.me, self.members, rng)
        self.version_sync = VersionSync(self.me, self.acceptance)
        self.schedule = ReadSchedule(rng, now)
        self._control = settings.control
        self._rng = rng
        self._reader_order: list[str] = []
        self._sweep_due_at = now
        self.incarnation = 0
        self.renew_incarnation()

    @property
    def config(self) -> Config | None:
        """Return the configuration in force."""
        return self.acceptance.cfg

    def config_age_seconds(self, now: float) -> float:
        """Return the seconds since the version in force was published.

        This is a lower limit; the real age may be higher.

        :param now: monotonic seconds.
        """
        held = self.acceptance.in_force
        return self.version_ages.age_seconds(held.ref if held else None, now)

    def renew_incarnation(self) -> None:
        """Take a new random incarnation, never 0, which stands for unknown."""
        self.incarnation = self._rng.getrandbits(INCARNATION_BITS) + 1

    def is_fresh(self, now: float) -> bool:
        """Return whether the view is fresh, so that keyed requests are served.

        :param now: monotonic seconds.
        """
        return self.config is not None and self.freshness.is_fresh(now)

    def is_reader(self, now: float) -> bool:
        """Return whether this daemon is one of the readers.

        The readers are the first ``READER_COUNT`` instances in reader order
        that are neither silent nor leaving.

        :param now: monotonic seconds.
        """
        ahead = 0
        for name in self._reader_order:
            if name == self.me:
                return not self.leaving
            if not self.members.is_silent(name, now):
                ahead += not self.members.is_leaving(name)
            if ahead == READER_COUNT:
                return False
        return False

    def request_views(self, now: float) -> list[Send]:
        """Return the requests to peers for their views that are due.

        :param now: monotonic seconds.
        """
        held = self.acceptance.in_force
        return self.gossip.due_requests(
            now,
            control_address=self._control,
            held=None if held is None else held.ref,
        )

    def due_reads(self, now: float) -> Iterator[ReadPlatform | WatchRoot]:
        """Yield the reads of the root and the instance list that are due.

        :param now: monotonic seconds.
        """
        if self.config is None:
            yield from self.schedule.due_start_reads(now)
            return
        count = len(self._reader_order)
        yield from self.schedule.due_list_reads(now, count)
        is_reader = self.is_reader(now)
        if is_reader or self.freshness.lacks_contact(now):
            yield from self.schedule.due_root_reads(
                now,
                self.acceptance.highest_decided,
                is_reader=is_reader,
                published_count=count,
            )

    def sweep_members(self, now: float) -> Iterator[Any]:
        """Yield changes among members, every ``SWEEP_INTERVAL_SECONDS``.

        :param now: monotonic seconds.
        """
        if now < self._sweep_due_at:
            return
        self._sweep_due_at = now + SWEEP_INTERVAL_SECONDS
        self.freshness.on_quorum(self.members.roster.quorum_at(now))
        yield from self.members.changes(now)

    def apply_changes(self, actions: list[Any], now: float) -> list[Any]:
        """Update all parts of the view after an input, and return its actions.

        :param actions: actions that the input led to; others are appended.
        :param now: monotonic seconds.
        """
        held = self.acceptance.in_force
        if held is not None:
            self.version_ages.note_published(held.ref, now)
        for action in tuple(actions):
            if isinstance(action, ConfigInForce):
                actions.extend(self._adopt(action.cfg.instances, now))
        pull = self.version_sync.pull
        if pull is not None:
            self.freshness.on_known(pull.ref.version, now)
        if self.acceptance.highest_decided:
            self.freshness.on_decided(
                self.acceptance.highest_decided,
                self.acceptance.version,
                now,
            )
        if self.config is None and self.acceptance.gate.peers_asked_at is None:
            actions.extend(self._adopt_pulled_instances(now))
        return actions

    def _adopt(
        self,
        instances: Mapping[str, Instance],
        now: float,
    ) -> list[InstanceLeft]:
        left = self.members.roster.set_names(instances, now)
        self.version_sync.set_names(self.members.roster.names)
        self._reader_order = reader_order(instances)
        return [InstanceLeft(name) for name in left]

    def _adopt_pulled_instances(self, now: float) -> list[Any]:
        """Adopt the instances of the version that is being pulled.

        A daemon without a configuration needs them to ask its peers, before
        it accepts the version.
        """
        pull = self.version_sync.pull
        if pull is None or not pull.has_instances():
            return []
        try:
            entries = pull.instances()
        except DECODE_ERRORS as exc:
            return list(self.version_sync.reject(f'instances: {exc}'))
        if not entries:
            return list(
                self.version_sync.reject('instances: the list is empty')
            )
        self.acceptance.gate.on_peers_asked(now)
        self._adopt({entry.name: entry for entry in entries}, now)
        addresses = [
            PeerAddress(entry.name, entry.control) for entry in entries
        ]
        return [*addresses, *self.request_views(now)]

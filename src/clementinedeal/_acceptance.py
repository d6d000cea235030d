"""Which version of the configuration is in force."""

from collections.abc import Mapping
from dataclasses import dataclass

from result import Err

from clementinedeal._model import Config
from clementinedeal._publication import PartCache, Root, unpack
from clementinedeal._view_actions import ConfigInForce, ConfigRejected
from clementinedeal._view_messages import VersionRef

PEER_WAIT_SECONDS = 3.0
MAX_REJECTED = 16


@dataclass(frozen=True, slots=True)
class Bundle:
    """A version with all its values, ready to be decided on or handed on."""

    ref: VersionRef
    root: Root
    root_blob: bytes
    parts: Mapping[str, bytes]


class StartGate:
    """Keeps a restarted daemon from an older version than its peers have.

    It opens for a version when a peer that knows its own to be current has
    none above it, or when no such peer answered in time.
    """

    def __init__(self) -> None:
        """Create a closed gate."""
        self.peers_asked_at: float | None = None
        self._highest_at_peers = 0
        self._has_fresh_peer = False

    def on_peers_asked(self, now: float) -> None:
        """Note that peers are known and were asked.

        :param now: monotonic seconds.
        """
        if self.peers_asked_at is None:
            self.peers_asked_at = now

    def on_peer_answer(self, held: VersionRef | None, is_fresh: bool) -> None:
        """Take a peer's answer.

        :param held: what is in force there.
        :param fresh: whether it knows that to be current.
        """
        if held is not None:
            self._highest_at_peers = max(self._highest_at_peers, held.version)
            self._has_fresh_peer = self._has_fresh_peer or is_fresh

    def is_open(self, version: int, now: float) -> bool:
        """Return whether a version may come into force.

        :param version: the version at hand.
        :param now: monotonic seconds.
        """
        if version < self._highest_at_peers:
            return False
        if self._has_fresh_peer:
            return True
        return self.has_waited(now)

    def has_waited(self, now: float) -> bool:
        """Return whether peers had their time to answer.

        :param now: monotonic seconds.
        """
        return (
            self.peers_asked_at is not None
            and now - self.peers_asked_at >= PEER_WAIT_SECONDS
        )


class Acceptance:
    """Holds the version in force and refuses what must not replace it."""

    def __init__(self) -> None:
        """Create the state of a daemon that has just started."""
        self.gate = StartGate()
        self.in_force: Bundle | None = None
        self.cfg: Config | None = None
        self.newest_rejected: Bundle | None = None
        self._rejected: dict[VersionRef, None] = {}
        self._highest_rejected = 0
        self._part_cache = PartCache()

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return 0 if self.in_force is None else self.in_force.ref.version

    @property
    def highest_decided(self) -> int:
        """Return the highest version decided on, for or against."""
        return max(self.version, self._highest_rejected)

    def bundles(self) -> tuple[Bundle, ...]:
        """Return the whole versions held, also one that was refused."""
        both = (self.in_force, self.newest_rejected)
        return tuple(bundle for bundle in both if bundle is not None)

    def parts(self) -> dict[str, bytes]:
        """Return the parts of all whole versions, by digest."""
        known: dict[str, bytes] = {}
        for bundle in self.bundles():
            known.update(bundle.parts)
        return known

    def is_wanted(self, ref: VersionRef) -> bool:
        """Return whether a version could come into force.

        :param ref: the version heard of.
        """
        return ref.version > self.version and ref not in self._rejected

    def on_ref(self, ref: VersionRef) -> list[ConfigRejected]:
        """Report a version that was published twice with other content.

        :param ref: the version heard of.
        """
        if self.in_force is None or ref.version != self.version:
            return []
        return [] if ref == self.in_force.ref else self.reject_duplicate(ref)

    def reject_duplicate(self, ref: VersionRef) -> list[ConfigRejected]:
        """Refuse other content for a version that is taken already.

        :param ref: the other content.
        """
        return self.reject(ref, f'published twice, also as {ref.digest}')

    def reject(self, ref: VersionRef, reason: str) -> list[ConfigRejected]:
        """Refuse a version without its values.

        :param ref: the version.
        :param reason: why, for operators.
        """
        if ref in self._rejected:
            return []
        self._add_rejected(ref)
        return [ConfigRejected(ref.version, reason)]

    def offer(
        self,
        bundle: Bundle,
        now: float,
    ) -> list[ConfigInForce | ConfigRejected]:
        """Decide on a whole version; nothing while the gate is closed.

        :param bundle: the version with all its values.
        :param now: monotonic seconds.
        """
        if not self.is_wanted(bundle.ref):
            return []
        if self.in_force is None and not self.gate.is_open(
            bundle.ref.version, now
        ):
            return []
        outcome = unpack(bundle.root, bundle.parts, self._part_cache)
        if isinstance(outcome, Err):
            self._reject_bundle(bundle)
            return [ConfigRejected(bundle.ref.version, str(outcome.err_value))]
        self.in_force = bundle
        self.cfg = outcome.ok_value
        if (
            self.newest_rejected
            and self.newest_rejected.ref.version <= self.version
        ):
            self.newest_rejected = None
        return [ConfigInForce(outcome.ok_value)]

    def _reject_bundle(self, bundle: Bundle) -> None:
        self._add_rejected(bundle.ref)
        if (
            self.newest_rejected is None
            or bundle.ref > self.newest_rejected.ref
        ):
            self.newest_rejected = bundle

    def _add_rejected(self, ref: VersionRef) -> None:
        self._rejected[ref] = None
        self._highest_rejected = max(self._highest_rejected, ref.version)
        if len(self._rejected) > MAX_REJECTED:
            self._rejected.pop(next(iter(self._rejected)))

"""Decides which version of the configuration is in force."""

from collections.abc import Mapping
from dataclasses import dataclass

from result import Err

from clementinedeal._model import Config
from clementinedeal._publication import PartCache, Root, unpack
from clementinedeal._view_actions import ConfigInForce, ConfigRejected
from clementinedeal._view_messages import VersionRef

# How long a starting daemon waits for the versions of its peers.
PEER_WAIT_SECONDS = 3.0
MAX_REJECTED = 16  # rejected versions that are remembered


@dataclass(frozen=True, slots=True)
class Bundle:
    """A version with all its values, as served to peers.

    ``root_blob`` is the encoded root, ``parts`` holds the encoded parts by
    digest.
    """

    ref: VersionRef
    root: Root
    root_blob: bytes
    parts: Mapping[str, bytes]


class StartGate:
    """Stops a restarted daemon from using an older version than its peers.

    A stale replica of the platform can return an old version at start. A
    version may come into force when no peer that answered has a higher one,
    and either one of them knows its version to be current or
    ``PEER_WAIT_SECONDS`` have passed since peers were asked.
    """

    def __init__(self) -> None:
        """Create a gate that no peer has answered yet."""
        self.peers_asked_at: float | None = None
        self._highest_at_peers = 0
        self._has_fresh_peer = False

    def on_peers_asked(self, now: float) -> None:
        """Note when peers were first asked for their version.

        :param now: monotonic seconds.
        """
        if self.peers_asked_at is None:
            self.peers_asked_at = now

    def on_peer_answer(self, held: VersionRef | None, is_fresh: bool) -> None:
        """Note the version that a peer reported.

        :param held: the version in force at the peer, None for none.
        :param is_fresh: whether the peer knows it to be current.
        """
        if held is not None:
            self._highest_at_peers = max(self._highest_at_peers, held.version)
            self._has_fresh_peer = self._has_fresh_peer or is_fresh

    def is_open(self, version: int, now: float) -> bool:
        """Return whether a version may come into force.

        :param version: the version that would come into force.
        :param now: monotonic seconds.
        """
        if version < self._highest_at_peers:
            return False
        if self._has_fresh_peer:
            return True
        return self.has_waited(now)

    def has_waited(self, now: float) -> bool:
        """Return whether ``PEER_WAIT_SECONDS`` passed since peers were asked.

        :param now: monotonic seconds.
        """
        return (
            self.peers_asked_at is not None
            and now - self.peers_asked_at >= PEER_WAIT_SECONDS
        )


class Acceptance:
    """Holds the version in force and decides whether another replaces it.

    The version in force only increases. The first content accepted under a
    version number counts; other content under that number is rejected.

    ``in_force`` is the version in force and ``cfg`` its configuration, both
    None before the first one. ``newest_rejected`` is the highest complete
    version that was rejected and is above the one in force.
    """

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
        """Return the number of the version in force, 0 for none."""
        return 0 if self.in_force is None else self.in_force.ref.version

    @property
    def highest_decided(self) -> int:
        """Return the highest version that was accepted or rejected."""
        return max(self.version, self._highest_rejected)

    def bundles(self) -> tuple[Bundle, ...]:
        """Return the complete versions held here.

        These are the version in force and the newest rejected one. Peers may
        ask for the rejected one too, so that each decides on its own.
        """
        both = (self.in_force, self.newest_rejected)
        return tuple(bundle for bundle in both if bundle is not None)

    def parts(self) -> dict[str, bytes]:
        """Return the encoded parts of all complete versions, by digest."""
        known: dict[str, bytes] = {}
        for bundle in self.bundles():
            known.update(bundle.parts)
        return known

    def is_wanted(self, ref: VersionRef) -> bool:
        """Return whether a version is newer and was not rejected before.

        :param ref: number and digest of the version.
        """
        return ref.version > self.version and ref not in self._rejected

    def on_ref(self, ref: VersionRef) -> list[ConfigRejected]:
        """Reject a version that has the number in force but other content.

        :param ref: number and digest of a version that a peer or the
            platform holds.
        """
        if self.in_force is None or ref.version != self.version:
            return []
        return [] if ref == self.in_force.ref else self.reject_duplicate(ref)

    def reject_duplicate(self, ref: VersionRef) -> list[ConfigRejected]:
        """Reject a version whose number is already used by other content.

        :param ref: number and digest of the duplicate.
        """
        return self.reject(
            ref, f'version was published twice, also with root {ref.digest}'
        )

    def reject(self, ref: VersionRef, reason: str) -> list[ConfigRejected]:
        """Reject a version whose values are not all held.

        Nothing is returned if it was rejected before.

        :param ref: number and digest of the version.
        :param reason: why, as shown to operators.
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
        """Accept or reject a complete version.

        Nothing is decided, and nothing returned, about a version that is not
        newer or for which the start gate is not open yet.

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

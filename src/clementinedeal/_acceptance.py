"""Which version of the configuration is in force."""

from collections.abc import Mapping
from dataclasses import dataclass

from result import Err

from clementinedeal._model import Config
from clementinedeal._publication import PartMemo, Root, unpack
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
        self.asked_at: float | None = None
        self._highest_at_peers = 0
        self._vouched = False

    def on_asked(self, now: float) -> None:
        """Note that peers are known and were asked.

        :param now: monotonic seconds.
        """
        if self.asked_at is None:
            self.asked_at = now

    def on_peer(self, held: VersionRef | None, fresh: bool) -> None:
        """Take a peer's answer.

        :param held: what is in force there.
        :param fresh: whether it knows that to be current.
        """
        if held is not None:
            self._highest_at_peers = max(self._highest_at_peers, held.version)
            self._vouched = self._vouched or fresh

    def is_open(self, version: int, now: float) -> bool:
        """Return whether a version may come into force.

        :param version: the version at hand.
        :param now: monotonic seconds.
        """
        if version < self._highest_at_peers:
            return False
        if self._vouched:
            return True
        return self.waited(now)

    def waited(self, now: float) -> bool:
        """Return whether peers had their time to answer.

        :param now: monotonic seconds.
        """
        return (
            self.asked_at is not None
            and now - self.asked_at >= PEER_WAIT_SECONDS
        )


class Acceptance:
    """Holds the version in force and refuses what must not replace it."""

    def __init__(self) -> None:
        """Create the state of a daemon that has just started."""
        self.gate = StartGate()
        self.held: Bundle | None = None
        self.cfg: Config | None = None
        self.refused: Bundle | None = None
        self._rejected: dict[VersionRef, None] = {}
        self._highest_rejected = 0
        self._memo = PartMemo()

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return 0 if self.held is None else self.held.ref.version

    @property
    def settled(self) -> int:
        """Return the highest version decided on, for or against."""
        return max(self.version, self._highest_rejected)

    def bundles(self) -> tuple[Bundle, ...]:
        """Return the whole versions held, also one that was refused."""
        both = (self.held, self.refused)
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
        if self.held is None or ref.version != self.version:
            return []
        return [] if ref == self.held.ref else self.report_twin(ref)

    def report_twin(self, ref: VersionRef) -> list[ConfigRejected]:
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
        self._remember(ref)
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
        if self.held is None and not self.gate.is_open(bundle.ref.version, now):
            return []
        outcome = unpack(bundle.root, bundle.parts, self._memo)
        if isinstance(outcome, Err):
            self._refuse(bundle)
            return [ConfigRejected(bundle.ref.version, str(outcome.err_value))]
        self.held = bundle
        self.cfg = outcome.ok_value
        if self.refused and self.refused.ref.version <= self.version:
            self.refused = None
        return [ConfigInForce(outcome.ok_value)]

    def _refuse(self, bundle: Bundle) -> None:
        self._remember(bundle.ref)
        if self.refused is None or bundle.ref > self.refused.ref:
            self.refused = bundle

    def _remember(self, ref: VersionRef) -> None:
        self._rejected[ref] = None
        self._highest_rejected = max(self._highest_rejected, ref.version)
        if len(self._rejected) > MAX_REJECTED:
            self._rejected.pop(next(iter(self._rejected)))

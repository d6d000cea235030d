"""Transfer of configuration versions between daemons."""

import itertools
from collections.abc import Iterable
from typing import Any

from clementinedeal._acceptance import Acceptance
from clementinedeal._messages import Send
from clementinedeal._part_reads import PartReads
from clementinedeal._parts import digest_of
from clementinedeal._publication import read_root
from clementinedeal._pull import Pull
from clementinedeal._view_actions import ConfigRejected
from clementinedeal._view_messages import (
    Announcement,
    PartsAnswer,
    PartsRequest,
    RootAnswer,
    RootRequest,
    VersionRef,
)

# A pull without sources is given up after this long without progress.
MAX_IDLE_SECONDS = 5.0


class VersionSync:
    """Pulls newer versions from peers or the platform and announces them.

    At most one version is pulled at a time, the highest one known. When it is
    complete it is accepted or rejected and announced to the *fingers*: the
    instances at distances 1, 2, 4, 8 and so on in the sorted published names.
    Each of them pulls it and announces it in turn, so that a version reaches
    the whole fleet in a logarithmic number of steps.
    """

    def __init__(self, me: str, acceptance: Acceptance) -> None:
        """Start without a pull.

        :param me: name of this instance.
        :param acceptance: accepts or rejects complete versions.
        """
        self._me = me
        self._acceptance = acceptance
        self._fingers: list[str] = []
        self._pull: Pull | None = None
        self._progress_at = 0.0
        self._nonces = itertools.count(1)
        self._pending_request: tuple[str, int] | None = None
        self._part_reads = PartReads(acceptance)

    @property
    def pull(self) -> Pull | None:
        """Return the pull in progress, None without one."""
        return self._pull

    def find_part(self, digest: str) -> bytes | None:
        """Return an encoded part of the version being pulled, None without it.

        :param digest: digest of the part.
        """
        return None if self._pull is None else self._pull.find_part(digest)

    def set_names(self, names: tuple[str, ...]) -> None:
        """Compute the fingers of this instance.

        :param names: names of all published instances, sorted.
        """
        if self._me not in names:
            self._fingers = []
            return
        own_index = names.index(self._me)
        self._fingers = [
            names[(own_index + distance) % len(names)]
            for distance in _finger_distances(len(names))
        ]

    def on_ref(self, ref: VersionRef, source: str, now: float) -> list[Any]:
        """Note that a peer holds a version, and pull it if it is newer.

        :param ref: number and digest of the version.
        :param source: name of the peer.
        :param now: monotonic seconds.
        """
        reports = self._acceptance.on_ref(ref)
        duplicate = self._find_duplicate(ref)
        if duplicate is not None and not duplicate.sources:
            # A version that a peer holds takes precedence over other content
            # under the same number that only the platform has returned.
            reports.extend(self._acceptance.reject_duplicate(duplicate.ref))
            self._pull = None
        pull = self._pull_for(ref, now)
        if pull is not None:
            pull.add_source(source)
        return [*reports, *self._request_next(now)]

    def on_platform_root(self, blob: bytes, now: float) -> list[Any]:
        """Process a root that this daemon read from the platform.

        :param blob: the encoded root.
        :param now: monotonic seconds.
        """
        outcome = read_root(blob)
        if outcome.is_err():
            ref = VersionRef(0, digest_of(blob))
            return list(self._acceptance.reject(ref, str(outcome.err())))
        ref = VersionRef(outcome.unwrap().version, digest_of(blob))
        reports = self._acceptance.on_ref(ref)
        if self._find_duplicate(ref) is not None:
            reports.extend(self._acceptance.reject_duplicate(ref))
        pull = self._pull_for(ref, now)
        if pull is not None and pull.root is None:
            pull.on_root(blob, self._acceptance.parts())
        return [*reports, *self._offer_complete(now)]

    def on_platform_part(self, blob: bytes, now: float) -> list[Any]:
        """Process a part that this daemon read from the platform.

        :param blob: the encoded part.
        :param now: monotonic seconds.
        """
        self._part_reads.on_part(digest_of(blob))
        if self._pull is not None:
            self._pull.on_part(blob)
            self._progress_at = now
        return self._offer_complete(now)

    def on_root_answer(
        self,
        sender: str,
        body: RootAnswer,
        now: float,
    ) -> list[Any]:
        """Process a peer's answer to a request for the root.

        A late answer is used too: the digest shows whether it is the root of
        the version being pulled.

        :param sender: name of the peer.
        :param body: its answer.
        :param now: monotonic seconds.
        """
        pull = self._on_answer(sender, body.nonce, found=body.root is not None)
        if pull is None or body.root is None:
            return self._request_next(now)
        fault = pull.on_root(body.root, self._acceptance.parts())
        if fault:
            return list(self.reject(fault))
        self._progress_at = now
        return self._offer_complete(now)

    def on_parts_answer(
        self,
        sender: str,
        body: PartsAnswer,
        now: float,
    ) -> list[Any]:
        """Process a peer's answer to a request for parts.

        :param sender: name of the peer.
        :param body: its answer.
        :param now: monotonic seconds.
        """
        pull = self._on_answer(sender, body.nonce, found=bool(body.parts))
        if pull is None:
            return []
        for blob in body.parts:
            pull.on_part(blob)
        self._progress_at = now
        return self._offer_complete(now)

    def reject(self, reason: str) -> list[ConfigRejected]:
        """Reject the version being pulled.

        :param reason: why, as shown to operators.
        """
        pull = self._pull
        self._pull = None
        return [] if pull is None else self._acceptance.reject(pull.ref, reason)

    def on_tick(self, now: float, *, is_reader: bool) -> list[Any]:
        """Send the requests and platform reads that are due.

        The platform is read only for a version that no peer is known to hold.

        :param now: monotonic seconds.
        :param is_reader: whether this daemon reads the platform for the
            fleet.
        """
        pull = self._pull
        if pull is None:
            return []
        is_idle = now - self._progress_at > MAX_IDLE_SECONDS
        if is_idle and not pull.sources:
            # A lower version may be available in the meantime. This one is
            # pulled again when a peer or the platform reports it again.
            self._pull = None
        actions = self._offer_complete(now)
        if self._pull is not None and not pull.sources:
            actions.extend(
                self._part_reads.due_reads(pull, now, is_reader=is_reader),
            )
        return actions

    def _find_duplicate(self, ref: VersionRef) -> Pull | None:
        """Return the pull if it has other content under the same number."""
        pull = self._pull
        if pull is None or pull.ref == ref:
            return None
        return pull if pull.ref.version == ref.version else None

    def _pull_for(self, ref: VersionRef, now: float) -> Pull | None:
        """Return the pull of a version; start it if none higher is pulled."""
        if not self._acceptance.is_wanted(ref):
            return None
        if self._pull is None or ref.version > self._pull.ref.version:
            self._pull = Pull(ref)
            self._progress_at = now
            self._pending_request = None
        return self._pull if self._pull.ref == ref else None

    def _offer_complete(self, now: float) -> list[Any]:
        """Accept or reject the pulled version, or request what is missing."""
        bundle = self._pull.complete_bundle() if self._pull else None
        if bundle is None:
            return self._request_next(now)
        decisions = self._acceptance.offer(bundle, now)
        if not decisions:
            return []
        self._pull = None
        announcement = Announcement(bundle.ref)
        return [
            *decisions,
            *(Send(peer, announcement) for peer in self._fingers),
        ]

    def _request_next(self, now: float) -> list[Any]:
        """Ask the next source for the root or for missing parts."""
        pull = self._pull
        if pull is None or pull.complete_bundle() is not None:
            return []
        peer = pull.next_source(now)
        if peer is None:
            return []
        nonce = next(self._nonces)
        self._pending_request = (peer, nonce)
        if pull.root is None:
            return [Send(peer, RootRequest(nonce, pull.ref))]
        return [Send(peer, PartsRequest(nonce, pull.missing_digests()))]

    def _on_answer(
        self, sender: str, nonce: int, *, found: bool
    ) -> Pull | None:
        """Note an answer; drop a source that lacks the values."""
        pull = self._pull
        if pull is not None and self._pending_request == (sender, nonce):
            self._pending_request = None
            pull.on_answer()
            if not found:
                pull.drop_source(sender)
        return pull


def _finger_distances(count: int) -> Iterable[int]:
    distance = 1
    while distance < count:
        yield distance
        distance *= 2

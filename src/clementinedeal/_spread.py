"""How versions travel: announcements, pulls, and reads of parts."""

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

ABANDON_SECONDS = 5.0


class Spread:
    """Brings newer versions here and hands them on."""

    def __init__(self, me: str, acceptance: Acceptance) -> None:
        """Start with nothing under way.

        :param me: name of this instance.
        :param acceptance: decides on whole versions.
        """
        self._me = me
        self._acceptance = acceptance
        self._fingers: list[str] = []
        self._pull: Pull | None = None
        self._pulled_at = 0.0
        self._nonces = itertools.count(1)
        self._awaited: tuple[str, int] | None = None
        self._reads = PartReads(acceptance)

    @property
    def pull(self) -> Pull | None:
        """Return the version being gathered."""
        return self._pull

    def part(self, digest: str) -> bytes | None:
        """Return a part of the version being gathered.

        :param digest: its digest.
        """
        return None if self._pull is None else self._pull.part(digest)

    def adopt(self, names: tuple[str, ...]) -> None:
        """Take the published order, from which the fingers follow.

        :param names: all published instances, sorted.
        """
        if self._me not in names:
            self._fingers = []
            return
        mine = names.index(self._me)
        self._fingers = [
            names[(mine + distance) % len(names)]
            for distance in _distances(len(names))
        ]

    def on_ref(self, ref: VersionRef, source: str, now: float) -> list[Any]:
        """Hear that a peer holds a version.

        :param ref: the version.
        :param source: the peer.
        :param now: monotonic seconds.
        """
        reports = self._acceptance.on_ref(ref)
        twin = self._twin(ref)
        if twin is not None and not twin.sources:
            # What peers hold goes before what only the platform shows.
            reports.extend(self._acceptance.report_twin(twin.ref))
            self._pull = None
        pull = self._begin(ref, now)
        if pull is not None:
            pull.add_source(source)
        return [*reports, *self._ask(now)]

    def on_platform_root(self, blob: bytes, now: float) -> list[Any]:
        """Take a root that this daemon read itself.

        :param blob: the value.
        :param now: monotonic seconds.
        """
        outcome = read_root(blob)
        if outcome.is_err():
            ref = VersionRef(0, digest_of(blob))
            return list(self._acceptance.reject(ref, str(outcome.err())))
        ref = VersionRef(outcome.unwrap().version, digest_of(blob))
        reports = self._acceptance.on_ref(ref)
        if self._twin(ref) is not None:
            reports.extend(self._acceptance.report_twin(ref))
        pull = self._begin(ref, now)
        if pull is not None and pull.root is None:
            pull.on_root(blob, self._acceptance.parts())
        return [*reports, *self._settle(now)]

    def on_platform_part(self, blob: bytes, now: float) -> list[Any]:
        """Take a part that this daemon read itself.

        :param blob: the value.
        :param now: monotonic seconds.
        """
        self._reads.on_part(digest_of(blob))
        if self._pull is not None:
            self._pull.on_part(blob)
            self._pulled_at = now
        return self._settle(now)

    def on_root_answer(
        self,
        sender: str,
        body: RootAnswer,
        now: float,
    ) -> list[Any]:
        """Take a root from a peer, also a late one: its digest tells.

        :param sender: the peer.
        :param body: its answer.
        :param now: monotonic seconds.
        """
        pull = self._replied(sender, body.nonce, found=body.root is not None)
        if pull is None or body.root is None:
            return self._ask(now)
        fault = pull.on_root(body.root, self._acceptance.parts())
        if fault:
            return list(self.refuse(fault))
        self._pulled_at = now
        return self._settle(now)

    def on_parts_answer(
        self,
        sender: str,
        body: PartsAnswer,
        now: float,
    ) -> list[Any]:
        """Take parts from a peer.

        :param sender: the peer.
        :param body: its answer.
        :param now: monotonic seconds.
        """
        pull = self._replied(sender, body.nonce, found=bool(body.parts))
        if pull is None:
            return []
        for blob in body.parts:
            pull.on_part(blob)
        self._pulled_at = now
        return self._settle(now)

    def refuse(self, reason: str) -> list[ConfigRejected]:
        """Give up the version being gathered, which can't be accepted.

        :param reason: why, for operators.
        """
        pull = self._pull
        self._pull = None
        return [] if pull is None else self._acceptance.reject(pull.ref, reason)

    def on_tick(self, now: float, *, is_reader: bool) -> list[Any]:
        """Retry what got no answer.

        :param now: monotonic seconds.
        :param is_reader: whether the fleet relies on this daemon's reads.
        """
        pull = self._pull
        if pull is None:
            return []
        idle = now - self._pulled_at > ABANDON_SECONDS
        if idle and not pull.sources:
            # A lower version may be had meanwhile; this one is heard again.
            self._pull = None
        actions = self._settle(now)
        if self._pull is not None and not pull.sources:
            actions.extend(
                self._reads.due(pull, now, is_reader=is_reader),
            )
        return actions

    def _twin(self, ref: VersionRef) -> Pull | None:
        pull = self._pull
        if pull is None or pull.ref == ref:
            return None
        return pull if pull.ref.version == ref.version else None

    def _begin(self, ref: VersionRef, now: float) -> Pull | None:
        if not self._acceptance.is_wanted(ref):
            return None
        if self._pull is None or ref.version > self._pull.ref.version:
            self._pull = Pull(ref)
            self._pulled_at = now
            self._awaited = None
        return self._pull if self._pull.ref == ref else None

    def _settle(self, now: float) -> list[Any]:
        bundle = self._pull.bundle() if self._pull else None
        if bundle is None:
            return self._ask(now)
        decisions = self._acceptance.offer(bundle, now)
        if not decisions:
            return []
        self._pull = None
        news = Announcement(bundle.ref)
        return [*decisions, *(Send(peer, news) for peer in self._fingers)]

    def _ask(self, now: float) -> list[Any]:
        pull = self._pull
        if pull is None or pull.bundle() is not None:
            return []
        peer = pull.next_source(now)
        if peer is None:
            return []
        nonce = next(self._nonces)
        self._awaited = (peer, nonce)
        if pull.root is None:
            return [Send(peer, RootRequest(nonce, pull.ref))]
        return [Send(peer, PartsRequest(nonce, pull.lacking()))]

    def _replied(self, sender: str, nonce: int, *, found: bool) -> Pull | None:
        pull = self._pull
        if pull is not None and self._awaited == (sender, nonce):
            self._awaited = None
            pull.on_reply()
            if not found:
                pull.drop_source(sender)
        return pull


def _distances(count: int) -> Iterable[int]:
    distance = 1
    while distance < count:
        yield distance
        distance *= 2

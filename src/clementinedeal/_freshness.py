"""Whether a daemon heard recently enough that nothing newer is published."""

import math

from clementinedeal._view_messages import Contact

FRESH_SECONDS = 10.0
MAX_CONTACT_AGE_SECONDS = 4.0  # leaves time to read and tell before the bound


class Freshness:
    """Evidence about the newest published version.

    All times are of this daemon's clock and never later than the event that
    they stand for: what a peer reports is dated from when it was asked.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self.newest_known = 0
        self.newest_accepted = 0
        self._decided = 0
        self._in_force = 0
        self._behind_since: float | None = None
        self._confirmed_at = -math.inf
        self._quorum_at = -math.inf
        self._contact_version = 0
        self._contact_at = -math.inf

    def on_known(self, version: int, now: float) -> None:
        """Note that a version exists.

        :param version: the version heard of.
        :param now: monotonic seconds.
        """
        self.newest_known = max(self.newest_known, version)
        self._update_behind(now)

    def on_accepted(self, version: int, now: float) -> None:
        """Note that a version is in force somewhere.

        A later one that was refused doesn't stand for it.

        :param version: the version heard of.
        :param now: monotonic seconds.
        """
        self.newest_accepted = max(self.newest_accepted, version)
        self.on_known(version, now)

    def on_decided(self, decided: int, in_force: int, now: float) -> None:
        """Note which versions were decided on here.

        :param settled: highest version accepted or refused so far.
        :param in_force: highest version accepted.
        :param now: monotonic seconds.
        """
        self._decided = max(self._decided, decided)
        self._in_force = max(self._in_force, in_force)
        self.newest_known = max(self.newest_known, decided)
        self.on_accepted(in_force, now)
        if self._contact_version == self._decided:
            self._confirmed_at = max(self._confirmed_at, self._contact_at)

    def on_contact(self, version: int, read_at: float, now: float) -> None:
        """Take evidence that a read of the platform showed nothing newer.

        Evidence below what is known comes from a stale replica or is
        overtaken; it is dropped.

        :param version: the newest version that the reader knew.
        :param at: a time not after the read, in monotonic seconds.
        :param now: monotonic seconds.
        """
        self.on_known(version, now)
        if version > self._contact_version:
            self._contact_version = version
            self._contact_at = read_at
        elif version == self._contact_version:
            self._contact_at = max(self._contact_at, read_at)
        if version == self._decided:
            self._confirmed_at = max(self._confirmed_at, read_at)

    def contact(self, now: float) -> Contact | None:
        """Return the evidence to hand on, if it is any use.

        :param now: monotonic seconds.
        """
        age = now - self._contact_at
        if age > FRESH_SECONDS or self._contact_version < self.newest_known:
            return None
        return Contact(self._contact_version, age)

    def lacks_contact(self, now: float) -> bool:
        """Return whether it is time to read the platform without a role.

        :param now: monotonic seconds.
        """
        return now - self._contact_at > MAX_CONTACT_AGE_SECONDS

    def on_quorum(self, heard_at: float) -> None:
        """Take evidence that more than half of the fleet knew nothing newer.

        It counts only while this daemon knows of nothing newer itself.

        :param at: more than half of the published instances were heard at
            this time or later, in monotonic seconds.
        """
        if self._behind_since is None:
            self._quorum_at = max(self._quorum_at, heard_at)

    def is_fresh(self, now: float) -> bool:
        """Return whether nothing newer was known within the bound.

        :param now: monotonic seconds.
        """
        behind_since = self._behind_since
        if behind_since is not None and not _is_recent(behind_since, now):
            return False
        return _is_recent(max(self._confirmed_at, self._quorum_at), now)

    def on_pause(self) -> None:
        """Forget all evidence, after a pause."""
        self._confirmed_at = -math.inf
        self._contact_at = -math.inf
        self._quorum_at = -math.inf

    def _update_behind(self, now: float) -> None:
        all_decided = self.newest_known <= self._decided
        if all_decided and self.newest_accepted <= self._in_force:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now


def _is_recent(at: float, now: float) -> bool:
    return now - at <= FRESH_SECONDS

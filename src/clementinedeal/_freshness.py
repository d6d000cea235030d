"""Evidence that the version in force is the newest published one."""

import math

from clementinedeal._view_messages import Contact

# A daemon without evidence this recent refuses keyed requests, because a key
# may have been withdrawn in a version that it does not know.
FRESH_SECONDS = 10.0
# A daemon whose newest contact is older reads the platform itself. The
# remainder of FRESH_SECONDS allows for the read and for sending its result to
# peers.
MAX_CONTACT_AGE_SECONDS = 4.0


class Freshness:
    """Decides whether the version in force is known to be current.

    Evidence is a read of the platform by this daemon or a peer (a *contact*),
    or that more than half of the fleet reported nothing newer (a *quorum*).

    All times are by this daemon's clock and never later than the event that
    they refer to: the time of a peer's evidence is computed from the time at
    which the request to the peer was sent.

    ``newest_known`` is the highest version known to be published,
    ``newest_accepted`` the highest one known to be in force at some daemon.
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
        """Note that a version is published.

        :param version: its number.
        :param now: monotonic seconds.
        """
        self.newest_known = max(self.newest_known, version)
        self._update_behind(now)

    def on_accepted(self, version: int, now: float) -> None:
        """Note that a version is in force at some daemon.

        This daemon is *behind* until that version or a newer one is in force
        here, even if it has rejected a version that is newer still.

        :param version: its number.
        :param now: monotonic seconds.
        """
        self.newest_accepted = max(self.newest_accepted, version)
        self.on_known(version, now)

    def on_decided(self, decided: int, in_force: int, now: float) -> None:
        """Note which versions this daemon has decided on.

        :param decided: highest version accepted or rejected here so far.
        :param in_force: highest version accepted here.
        :param now: monotonic seconds.
        """
        self._decided = max(self._decided, decided)
        self._in_force = max(self._in_force, in_force)
        self.newest_known = max(self.newest_known, decided)
        self.on_accepted(in_force, now)
        if self._contact_version == self._decided:
            self._confirmed_at = max(self._confirmed_at, self._contact_at)

    def on_contact(self, version: int, read_at: float, now: float) -> None:
        """Note that a read of the platform showed nothing newer.

        A read that showed a version below the newest known one is ignored: it
        came from a stale replica, or a newer version was published since.

        :param version: the newest version that the reading daemon knew.
        :param read_at: a time not after the read, in monotonic seconds.
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
        """Return the evidence to send to peers.

        None is returned for evidence that is older than ``FRESH_SECONDS`` or
        is about a version below the newest known one.

        :param now: monotonic seconds.
        """
        age = now - self._contact_at
        if age > FRESH_SECONDS or self._contact_version < self.newest_known:
            return None
        return Contact(self._contact_version, age)

    def lacks_contact(self, now: float) -> bool:
        """Return whether the newest contact is too old.

        If it is older than ``MAX_CONTACT_AGE_SECONDS``, a daemon that is not a
        reader reads the platform, too.

        :param now: monotonic seconds.
        """
        return now - self._contact_at > MAX_CONTACT_AGE_SECONDS

    def on_quorum(self, heard_at: float) -> None:
        """Note that more than half of the fleet knew of nothing newer.

        It is ignored while this daemon is behind a version that it knows.

        :param heard_at: time at or after which more than half of the
            published instances were heard, in monotonic seconds.
        """
        if self._behind_since is None:
            self._quorum_at = max(self._quorum_at, heard_at)

    def is_fresh(self, now: float) -> bool:
        """Return whether the version in force was current recently.

        Recently is at most ``FRESH_SECONDS`` ago. A daemon that has been
        behind for longer than that is not fresh.

        :param now: monotonic seconds.
        """
        behind_since = self._behind_since
        if behind_since is not None and not _is_recent(behind_since, now):
            return False
        return _is_recent(max(self._confirmed_at, self._quorum_at), now)

    def on_pause(self) -> None:
        """Discard all evidence after the process was suspended."""
        self._confirmed_at = -math.inf
        self._contact_at = -math.inf
        self._quorum_at = -math.inf

    def _update_behind(self, now: float) -> None:
        """Note since when this daemon knows of a version that it lacks."""
        all_decided = self.newest_known <= self._decided
        if all_decided and self.newest_accepted <= self._in_force:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now


def _is_recent(at: float, now: float) -> bool:
    return now - at <= FRESH_SECONDS

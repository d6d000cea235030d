"""An instance's share while several versions may be in force in the fleet.

A share that shrinks takes effect at once. One that grows waits until every
daemon that still goes by an older version has lost its freshness and its
leases have expired. An account whose shares all stay or grow from one version
to the next needs no wait, as no other instance has to give anything up.
"""

from dataclasses import dataclass

from clementinedeal._freshness import FRESH_SECONDS
from clementinedeal._leases import HOLDER_LEASE_TTL_SECONDS, LEASE_TTL_SECONDS
from clementinedeal._model import Config
from clementinedeal._shares import AccountShares, Share, ShareTable

PROPAGATION_SECONDS = 7.0
PAUSE_MARGIN_SECONDS = 2.0
RETENTION_SECONDS = 30.0

# Twice: a daemon may skip a version that others still go by, and it may be
# as late in hearing of the one after it.
GROW_WAIT_SECONDS = (
    2 * (FRESH_SECONDS + PROPAGATION_SECONDS)
    + LEASE_TTL_SECONDS
    + PAUSE_MARGIN_SECONDS
)


@dataclass(slots=True)
class _ShareVersion:
    table: ShareTable
    ready_at: float
    superseded_at: float = float('inf')

    @property
    def version(self) -> int:
        return self.table.cfg.version


class ShareVersions:
    """The versions that this daemon went by recently, newest last."""

    def __init__(
        self,
        me: str,
        cfg: Config,
        now: float,
        known_for: float,
    ) -> None:
        """Start with one version and an unknown past.

        :param me: name of this instance.
        :param cfg: version in force.
        :param now: monotonic seconds.
        :param known_for: seconds for which the version is known to have been
            published, at least; peers' word, zero when unknown.
        """
        self._me = me
        self.reset(cfg, now, known_for)

    @property
    def table(self) -> ShareTable:
        """Return the shares under the version in force."""
        return self._versions[-1].table

    def reset(self, cfg: Config, now: float, known_for: float) -> None:
        """Go by a version with an unknown past, as after a restart.

        :param cfg: version in force.
        :param now: monotonic seconds.
        :param known_for: as in the constructor.
        """
        wait = max(HOLDER_LEASE_TTL_SECONDS, GROW_WAIT_SECONDS - known_for)
        self._versions = [_ShareVersion(ShareTable(cfg), now + wait)]

    def add(self, cfg: Config, now: float) -> None:
        """Go by a newer version from now on.

        :param cfg: version in force.
        :param now: monotonic seconds; this daemon was fresh until now.
        """
        self._versions[-1].superseded_at = now
        version = _ShareVersion(ShareTable(cfg), now + GROW_WAIT_SECONDS)
        self._versions.append(version)

    def discard_old(self, now: float) -> None:
        """Drop versions that matter no more.

        :param now: monotonic seconds.
        """
        horizon = now - GROW_WAIT_SECONDS - RETENTION_SECONDS
        while self._versions[0].superseded_at <= horizon:
            self._versions.pop(0)

    def next_change(self, now: float) -> float:
        """Return when a share may next grow or a version be forgotten.

        :param now: monotonic seconds.
        """
        waits = (GROW_WAIT_SECONDS, GROW_WAIT_SECONDS + RETENTION_SECONDS)
        dues = (
            version.superseded_at + wait
            for version in self._versions
            for wait in waits
        )
        return min((due for due in dues if due > now), default=float('inf'))

    def ready_at(self) -> float:
        """Return since when ``lasting`` holds, in monotonic seconds."""
        return self._versions[0].ready_at

    def effective_share(self, account: str, now: float) -> Share:
        """Return the share that this instance may use now.

        :param account: name of the account.
        :param now: monotonic seconds.
        """
        return self._lowest_share(account, now - GROW_WAIT_SECONDS)

    def stable_share(self, account: str) -> Share:
        """Return the share that held at least since ``ready_at``.

        :param account: name of the account.
        """
        return self._lowest_share(account, -float('inf'))

    def _lowest_share(self, account: str, since: float) -> Share:
        newest = self._versions[-1]
        shares = newest.table.find(account)
        lowest = shares.share_of(self._me)
        version = newest.version
        for earlier in reversed(self._versions[:-1]):
            if earlier.superseded_at <= since:
                break
            older = earlier.table.find(account)
            if not _only_grows(shares, version, older, earlier.version):
                shares = older
                lowest = lowest.min_with(older.share_of(self._me))
            version = earlier.version
        return lowest


def _only_grows(
    newer: AccountShares,
    newer_version: int,
    older: AccountShares,
    older_version: int,
) -> bool:
    return newer_version == older_version + 1 and newer.covers(older)

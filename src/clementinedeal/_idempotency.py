"""Idempotency keys at one daemon, as an entry and as a keeper.

The entry of a request is the daemon that took it from the caller, the keeper
of a key is the daemon that stores the key's record.
"""

import hashlib
import uuid
from collections.abc import Callable, Iterable
from typing import Any

from clementinedeal._claims import (
    ClaimAction,
    ClaimActions,
    ClaimRefused,
    Claims,
)
from clementinedeal._keeper import Keeper
from clementinedeal._key_messages import (
    ClaimAnswer,
    ClaimKey,
    HandOverKeys,
    KeyFound,
    KeyMissing,
    KeySettled,
    QueryKey,
    SettleKey,
    StoredAnswer,
)
from clementinedeal._key_placement import CONVERGENCE_SECONDS, KeyPlacement
from clementinedeal._key_table import KeeperLimits
from clementinedeal._messages import Send
from clementinedeal._model import Config
from clementinedeal._verdict import Reason, Verdict

MAX_KEY_CHARS = 255
# Added to the time left to a request to get the time for which its key may stay
# in progress. It covers cancels and the owners' last checks.
PATIENCE_SLACK_SECONDS = 5.0
# A longer pause starts a quarantine. Must be less than CONVERGENCE_SECONDS
# minus twice the freshness limit.
MAX_PAUSE_SECONDS = 5.0

_DIGEST_BYTES = 16
_UUID7 = 7
_UUID_BITS = 128
_UUID7_TIME_BITS = 48


def key_digest(account: str, key: str) -> str:
    """Return the digest under which a key is kept, as hexadecimal digits.

    :param account: the client account.
    :param key: the key as the caller sent it.
    """
    text = f'{account}\0{key}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()


def minted_ms(key: str) -> int:
    """Return the time that a UUIDv7 key carries, in wall-clock milliseconds.

    Other keys carry no time; 0 is returned for them.

    :param key: the key as the caller sent it.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return 0
    if parsed.version != _UUID7:
        return 0
    return parsed.int >> (_UUID_BITS - _UUID7_TIME_BITS)


class IdempotencyManager:
    """Claims keys for this entry's requests and stores the keys placed here.

    A request with a key may run only after ``ClaimGranted``. Methods return
    the actions to perform; messages to this instance itself are delivered
    without a network.
    """

    def __init__(
        self,
        me: str,
        cfg: Config,
        now: float,
        *,
        wall_ms: Callable[[], int],
        limits: KeeperLimits | None = None,
    ) -> None:
        """Start in quarantine, as an earlier process may have granted keys.

        :param me: name of this instance.
        :param cfg: configuration in force.
        :param now: current monotonic time in seconds.
        :param wall_ms: returns the wall-clock time in milliseconds.
        :param limits: limits of the keeper's memory, None for the defaults.
        """
        bounds = limits or KeeperLimits()
        self._me = me
        self._wall_ms = wall_ms
        past_seconds = bounds.retention_seconds + CONVERGENCE_SECONDS
        self._placement = KeyPlacement(cfg.instances, past_seconds)
        self._claims = Claims()
        self._keeper = Keeper(me, self._placement, bounds, wall_ms)
        self._keeper.start_quarantine(now)
        self._last_tick = now
        self._stale_since = now

    def claim(
        self,
        req_id: str,
        account: str,
        key: str,
        fingerprint: str,
        seconds_left: float,
        now: float,
    ) -> ClaimActions:
        """Claim a request's key.

        :param req_id: id of the request.
        :param account: name of its client account.
        :param key: its idempotency key, as the caller sent it.
        :param fingerprint: digest of method, path and body.
        :param seconds_left: time until the request's deadline.
        :param now: current monotonic time in seconds.
        """
        self._detect_pause(now)
        digest = key_digest(account, key)
        keeper = self._placement.keeper(digest)
        if len(key) > MAX_KEY_CHARS or not keeper:
            reason = Reason.BAD_REQUEST if keeper else Reason.KEEPER_UNAVAILABLE
            return (ClaimRefused(req_id, reason, Verdict.NOT_RUN),)
        claim = ClaimKey(
            key=digest,
            minted_ms=minted_ms(key),
            fingerprint=fingerprint,
            req_id=req_id,
            patience=seconds_left + PATIENCE_SLACK_SECONDS,
        )
        return self._deliver_local(self._claims.claim(keeper, claim, now), now)

    def complete(
        self,
        req_id: str,
        verdict: Verdict,
        answer: StoredAnswer | None,
        now: float,
    ) -> ClaimActions:
        """Store the outcome of a request with a claim.

        :param req_id: id of the request.
        :param verdict: what is known of its execution; ``NOT_RUN`` makes the
            key available again.
        :param answer: its answer, if it is complete and small enough.
        :param now: current monotonic time in seconds.
        """
        actions = self._claims.settle(req_id, verdict, answer, now)
        return self._deliver_local(actions, now)

    def on_message(self, sender: str, body: Any, now: float) -> ClaimActions:
        """Handle a control message on idempotency keys.

        :param sender: instance name.
        :param body: any control message; other kinds are ignored.
        :param now: current monotonic time in seconds.
        """
        self._detect_pause(now)
        return self._deliver_local(self._handle(sender, body, now), now)

    def on_tick(self, now: float) -> ClaimActions:
        """Handle timeouts and repeats that are due.

        Must be called several times a second.

        :param now: current monotonic time in seconds.
        """
        self._detect_pause(now)
        self._last_tick = now
        actions = (*self._claims.on_tick(now), *self._keeper.on_tick(now))
        return self._deliver_local(actions, now)

    def on_config(self, cfg: Config, now: float) -> None:
        """Place keys on the instances of a new configuration.

        :param cfg: the configuration that came into force.
        :param now: current monotonic time in seconds.
        """
        self._placement.update(cfg.instances, now, self._wall_ms())

    def on_pause(self, gap_seconds: float, now: float) -> None:
        """Start a quarantine, as others may have kept this daemon's keys.

        Long gaps between ticks are detected without this call.

        :param gap_seconds: length of the pause; one of up to
            ``MAX_PAUSE_SECONDS`` is ignored.
        :param now: current monotonic time in seconds.
        """
        if gap_seconds > MAX_PAUSE_SECONDS:
            self._keeper.start_quarantine(now)

    def set_fresh(self, is_fresh: bool, now: float) -> None:
        """Suspend or resume granting keys.

        Keys are not granted while a newer configuration may be in force
        elsewhere. After a long suspension, a quarantine starts.

        :param is_fresh: whether the configuration is known to be recent.
        :param now: current monotonic time in seconds.
        """
        if not is_fresh:
            self._stale_since = now
            self._keeper.suspend()
            return
        self._keeper.resume()
        self.on_pause(now - self._stale_since, now)

    def stop(self, now: float) -> ClaimActions:
        """Grant no more keys and hand the records over to other keepers.

        :param now: current monotonic time in seconds.
        """
        return self._deliver_local(self._keeper.stop(now), now)

    @property
    def unsettled(self) -> int:
        """Number of this entry's claims whose settlement is not confirmed."""
        return self._claims.unsettled

    def _detect_pause(self, now: float) -> None:
        if now - self._last_tick > MAX_PAUSE_SECONDS:
            self._last_tick = now
            self._keeper.start_quarantine(now)

    def _handle(self, sender: str, body: Any, now: float) -> ClaimActions:
        match body:
            case ClaimAnswer():
                return self._claims.on_answer(body, now)
            case KeySettled():
                self._claims.on_settled(body.req_id)
            case HandOverKeys():
                self._keeper.on_hand_over(body, now)
            case ClaimKey():
                return self._keeper.on_claim(sender, body, now)
            case SettleKey():
                return self._keeper.on_settle(sender, body, now)
        return self._handle_transfer(sender, body, now)

    def _handle_transfer(
        self, sender: str, body: Any, now: float
    ) -> ClaimActions:
        match body:
            case QueryKey():
                return self._keeper.on_query(sender, body, now)
            case KeyFound():
                return self._keeper.on_found(body, now)
            case KeyMissing():
                return self._keeper.on_missing(sender, body, now)
        return ()

    def _deliver_local(
        self, actions: Iterable[ClaimAction], now: float
    ) -> ClaimActions:
        """Handle messages to this instance; return all other actions."""
        outgoing: list[ClaimAction] = []
        for action in actions:
            if isinstance(action, Send) and action.to == self._me:
                outgoing.extend(self.on_message(self._me, action.body, now))
            else:
                outgoing.append(action)
        return tuple(outgoing)

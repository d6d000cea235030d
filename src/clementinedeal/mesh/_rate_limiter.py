"""Rate limits of client accounts.

Each account has one home, the daemon that counts its requests. Other daemons
ask the home for a token by datagram, before they accept a request. While the
home does not answer, each daemon enforces an equal share of the rate.
"""

import itertools
from collections.abc import Callable, Collection
from typing import Protocol

import msgspec
import trio
import xxhash

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._settings import Bounds
from clementinedeal.mesh._types import ClientAccount

# A round trip between availability zones takes about 1 ms. A datagram may be
# lost, so a request without a reply is sent once more.
REPLY_TIMEOUT_SECONDS = 0.03
MAX_SENDS = 2
# A home that did not reply is not asked again for this long.
SILENT_HOME_SECONDS = 0.5
# Fraction of the operators' tolerance that homes grant on top of the declared
# limits, so that callers close to their rate are not refused wrongly. The rest
# covers homes that change or restart, whose buckets start full again.
USED_TOLERANCE_FRACTION = 0.5
# Bounds of the Retry-After that refused callers get.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 2.0


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag='draw'):
    """Asks the home of an account for one token.

    ``number`` identifies the request, for the reply to it.
    """

    number: int
    account: str


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag='grant'):
    """A home's reply to the request ``number``.

    ``pause`` is 0 if the token is granted, else the seconds after which the
    caller should retry.
    """

    number: int
    pause: float


class Datagrams(Protocol):
    """Sends small messages to other daemons; delivery is not guaranteed."""

    async def send(self, host: str, body: msgspec.Struct) -> None:
        """Send a message.

        :param host: IP address of the other daemon.
        :param body: the message.
        """
        ...


class TokenBucket:
    """Token bucket of one account, or of one daemon's share of it."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Create a full bucket.

        :param rate: tokens added per second.
        :param burst: capacity in tokens; at least 1 is used.
        :param now: monotonic time in seconds.
        """
        self._rate = rate
        self._burst = max(1, burst)
        self._tokens = self._burst
        self._refilled_at = now

    def take(self, now: float) -> float:
        """Take one token.

        :param now: monotonic time in seconds.
        :return: 0 if a token was taken, else the seconds to wait, within
            ``MIN_RETRY_AFTER_SECONDS`` and ``MAX_RETRY_AFTER_SECONDS``.
        """
        tokens = self._tokens + self._rate * max(0, now - self._refilled_at)
        self._tokens = min(self._burst, tokens)
        self._refilled_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        retry_after = (1 - self._tokens) / self._rate if self._rate else 1
        return min(
            MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, retry_after)
        )

    def set_limits(self, rate: float, burst: float) -> None:
        """Change rate and capacity; tokens above the capacity are dropped.

        :param rate: tokens added per second.
        :param burst: capacity in tokens; at least 1 is used.
        """
        self._rate = rate
        self._burst = max(1, burst)
        self._tokens = min(self._tokens, self._burst)


def find_home(account: str, hosts: Collection[str]) -> str:
    """Return the home of an account, by rendezvous hashing.

    :param account: name of the account.
    :param hosts: IP addresses of the daemons.
    :return: IP address of the home, empty if there are no daemons.
    """
    return max(
        hosts,
        key=lambda host: xxhash.xxh64_intdigest(f'{account}/{host}'.encode()),
        default='',
    )


class AccountRateLimiter:
    """Enforces rate and burst of each account over the whole fleet.

    This daemon is the home of some accounts: their tokens are counted here,
    also for other daemons.
    """

    def __init__(
        self,
        host: str,
        hosts: Callable[[], Collection[str]],
        datagrams: Datagrams,
        clock: Clock,
        events: EventLog,
        bounds: Bounds,
    ) -> None:
        """Create a limiter with full buckets.

        :param host: IP address of this instance.
        :param hosts: returns the IP addresses of all instances.
        :param datagrams: sends messages to other daemons.
        :param clock: monotonic time.
        :param events: log of refusals and of homes that do not reply.
        :param bounds: by how much an account may exceed its limits.
        """
        self._limit_factor = 1 + USED_TOLERANCE_FRACTION * bounds.allowance_over
        self._extra_burst = USED_TOLERANCE_FRACTION * bounds.allowance_slack
        self._host = host
        self._hosts = hosts
        self._datagrams = datagrams
        self._clock = clock
        self._events = events
        self._accounts: dict[str, ClientAccount] = {}
        self._home_buckets: dict[str, TokenBucket] = {}
        self._share_buckets: dict[str, TokenBucket] = {}
        self._silent_until: dict[str, float] = {}
        self._request_numbers = itertools.count()
        self._replies: dict[int, TokenReply | None] = {}
        self._reply_events: dict[int, trio.Event] = {}

    def set_catalog(self, catalog: Catalog) -> None:
        """Apply the limits of another declaration.

        :param catalog: the indexed declaration.
        """
        self._accounts = catalog.accounts_by_name
        self._share_buckets.clear()
        for name in self._home_buckets.keys() - self._accounts.keys():
            del self._home_buckets[name]
        for name, bucket in self._home_buckets.items():
            account = self._accounts[name]
            bucket.set_limits(*self._tolerated_limits(account))

    async def take(self, account: ClientAccount, req_id: str) -> float:
        """Take one token of an account; an account without a rate has no limit.

        :param account: the account that the request counts against.
        :param req_id: id of the request, for the log.
        :return: 0 if the request is allowed, else the seconds after which
            the caller should retry.
        """
        if not account.rate:
            return 0
        retry_after = await self._take_token(account)
        if retry_after:
            self._events.emit(
                'allowance-spent',
                req=req_id,
                account=account.name,
                home=find_home(account.name, self._hosts()),
                rate=account.rate,
                burst=account.burst,
                pause=f'{retry_after:.2f}',
            )
        return retry_after

    async def _take_token(self, account: ClientAccount) -> float:
        home = find_home(account.name, self._hosts())
        if home in {self._host, ''}:
            return self._take_as_home(account.name)
        if self._clock.now() >= self._silent_until.get(home, 0):
            reply = await self._ask_home(home, account.name)
            if reply is not None:
                return reply.pause
            self._silent_until[home] = self._clock.now() + SILENT_HOME_SECONDS
            self._events.emit('home-silent', account=account.name, home=home)
        return self._take_from_share(account)

    async def on_message(
        self, host: str, body: TokenRequest | TokenReply
    ) -> None:
        """Reply to another daemon's request, or deliver a home's reply.

        :param host: IP address of the sender.
        :param body: the message.
        """
        if isinstance(body, TokenRequest):
            pause = round(self._take_as_home(body.account), 2)
            await self._datagrams.send(host, TokenReply(body.number, pause))
            return
        reply_event = self._reply_events.get(body.number)
        if reply_event is not None:
            self._replies[body.number] = body
            reply_event.set()

    async def _ask_home(self, home: str, account: str) -> TokenReply | None:
        for _ in range(MAX_SENDS):
            number = next(self._request_numbers)
            reply_event = trio.Event()
            self._reply_events[number] = reply_event
            try:
                await self._datagrams.send(home, TokenRequest(number, account))
                with trio.move_on_after(REPLY_TIMEOUT_SECONDS):
                    await reply_event.wait()
            finally:
                del self._reply_events[number]
            reply = self._replies.pop(number, None)
            if reply is not None:
                return reply
        return None

    def _take_as_home(self, name: str) -> float:
        account = self._accounts.get(name)
        if account is None or not account.rate:
            return 0
        now = self._clock.now()
        bucket = self._home_buckets.get(name)
        if bucket is None:
            bucket = TokenBucket(*self._tolerated_limits(account), now)
            self._home_buckets[name] = bucket
        return bucket.take(now)

    def _tolerated_limits(self, account: ClientAccount) -> tuple[float, float]:
        """Return the rate and burst that a home grants, with tolerance."""
        rate = account.rate * self._limit_factor
        return rate, account.burst * self._limit_factor + self._extra_burst

    def _take_from_share(self, account: ClientAccount) -> float:
        """Take a token of this daemon's equal share, if the home is silent."""
        now = self._clock.now()
        daemon_count = max(1, len(self._hosts()))
        bucket = self._share_buckets.get(account.name)
        if bucket is None:
            bucket = TokenBucket(
                account.rate / daemon_count,
                account.burst / daemon_count,
                now,
            )
            self._share_buckets[account.name] = bucket
        return bucket.take(now)

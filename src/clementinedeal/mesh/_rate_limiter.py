"""Client accounts' rates and bursts, counted by one home daemon each."""

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

# A home answers within a round trip between zones, about 1 ms; a datagram
# may be lost, so it is sent once more.
REPLY_TIMEOUT_SECONDS = 0.03
MAX_SENDS = 2
# A home that did not answer is not asked again for this long.
SILENT_HOME_SECONDS = 0.5
# The operators' tolerance is for errors of either side: half of it spares
# callers at the edge of their rate a wrongful refusal, half is left for homes
# that change or restart.
USED_TOLERANCE_FRACTION = 0.5
# A refused caller is told to come back no sooner and no later.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 2.0


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag='draw'):
    """Asks an account's home for the right to one request."""

    number: int
    account: str


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag='grant'):
    """A home's answer; ``pause`` is 0 or the seconds to wait."""

    number: int
    pause: float


class Datagrams(Protocol):
    """Sends small messages to other daemons; some are lost."""

    async def send(self, host: str, body: msgspec.Struct) -> None:
        """Send a message.

        :param host: IP number of the other daemon.
        :param body: the message.
        """
        ...


class TokenBucket:
    """Tokens of one account, or of a share of it."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Start full.

        :param rate: tokens a second.
        :param burst: most tokens saved up.
        :param now: monotonic time in seconds.
        """
        self._rate = rate
        self._burst = max(1, burst)
        self._tokens = self._burst
        self._refilled_at = now

    def take(self, now: float) -> float:
        """Spend one token; return 0, or the seconds until there is one.

        :param now: monotonic time in seconds.
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
        """Take over another rate and burst.

        :param rate: tokens a second.
        :param burst: most tokens saved up.
        """
        self._rate = rate
        self._burst = max(1, burst)
        self._tokens = min(self._tokens, self._burst)


def find_home(account: str, hosts: Collection[str]) -> str:
    """Return the host that counts an account, by rendezvous hashing.

    :param account: name of the account.
    :param hosts: IP numbers of the daemons.
    """
    return max(
        hosts,
        key=lambda host: xxhash.xxh64_intdigest(f'{account}/{host}'.encode()),
        default='',
    )


class AccountRateLimiter:
    """Grants requests within the rate and burst of their account."""

    def __init__(
        self,
        host: str,
        hosts: Callable[[], Collection[str]],
        datagrams: Datagrams,
        clock: Clock,
        events: EventLog,
        bounds: Bounds,
    ) -> None:
        """Start with nothing spent.

        :param host: IP number of this instance.
        :param hosts: IP numbers of all instances.
        :param datagrams: to the homes.
        :param clock: monotonic time.
        :param events: hears of homes that do not answer.
        :param bounds: the operators' tolerance.
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
        """Count by another declaration from now on.

        :param catalog: the declaration.
        """
        self._accounts = catalog.accounts_by_name
        self._share_buckets.clear()
        for name in self._home_buckets.keys() - self._accounts.keys():
            del self._home_buckets[name]
        for name, bucket in self._home_buckets.items():
            account = self._accounts[name]
            bucket.set_limits(*self._tolerated_limits(account))

    async def take(self, account: ClientAccount, req_id: str) -> float:
        """Return 0 if granted, else after how many seconds to come back.

        :param account: whose request it is.
        :param req_id: id of the request.
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
        """Answer another daemon's draw, or take in a home's answer.

        :param host: the sender.
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
        """Return the rate and burst that a home grants."""
        rate = account.rate * self._limit_factor
        return rate, account.burst * self._limit_factor + self._extra_burst

    def _take_from_share(self, account: ClientAccount) -> float:
        """Count alone while the home is silent: this daemon's equal share."""
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

"""Rate limits of client accounts.

Each account has one home, the daemon that counts its requests. Other daemons
ask the home for a token by datagram, before they accept a request. While the
home does not answer they ask its deputies in a fixed order, and if none of
them answers each daemon enforces an equal share.
"""

import itertools
from collections.abc import Callable, Collection
from typing import Protocol

import msgspec
import trio

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._account_counter import AccountCounter
from clementinedeal.mesh._account_limits import tolerated_limits
from clementinedeal.mesh._account_ranking import AccountRanking
from clementinedeal.mesh._account_share import AccountShares
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._settings import Bounds
from clementinedeal.mesh._token_messages import (
    ContactRequest,
    TokenMessage,
    TokenNotice,
    TokenReply,
    TokenRequest,
)
from clementinedeal.mesh._types import ClientAccount

# A round trip between availability zones takes about 1 ms. A datagram may be
# lost, so a request without a reply is sent once more.
REPLY_TIMEOUT_SECONDS = 0.03
MAX_SENDS = 2
# A daemon that did not reply is not asked again for this long.
SILENT_HOME_SECONDS = 0.3
# A daemon that heard from another one less than this ago is not cut off.
IN_TOUCH_SECONDS = 0.5
# Of two daemons that do not reach each other, the deputy counts nothing.
MAX_DAEMONS_WITHOUT_DEPUTY = 2


class Datagrams(Protocol):
    """Sends small messages to other daemons; delivery is not guaranteed."""

    async def send(self, host: str, body: msgspec.Struct) -> None:
        """Send a message.

        :param host: IP address of the other daemon.
        :param body: the message.
        """
        ...


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
        """Create a limiter that does not know any account's use.

        :param host: IP address of this instance.
        :param hosts: returns the IP addresses of all instances.
        :param datagrams: sends messages to other daemons.
        :param clock: monotonic time.
        :param events: log of refusals and of homes that do not reply.
        :param bounds: by how much an account may exceed its limits.
        """
        self._host = host
        self._datagrams = datagrams
        self._clock = clock
        self._events = events
        self._bounds = bounds
        self._ranking = AccountRanking(
            host, hosts, clock, bounds.allowance_window
        )
        self._counter = AccountCounter(self._ranking, clock, events, bounds)
        self._shares = AccountShares()
        self._version = 0
        self._silent_until: dict[str, float] = {}
        self._heard_at = float('-inf')
        self._request_numbers = itertools.count()
        self._replies: dict[int, TokenReply] = {}
        self._reply_events: dict[int, trio.Event] = {}

    def set_catalog(self, catalog: Catalog) -> None:
        """Apply the limits of another declaration.

        :param catalog: the indexed declaration.
        """
        self._version = catalog.declaration.version
        self._counter.forget_all_but(frozenset(catalog.accounts_by_name))

    def update_hosts(self) -> None:
        """Notice a changed list of daemons; call this every second or so."""
        self._ranking.update()

    async def take(self, account: ClientAccount, req_id: str) -> float:
        """Take one token of an account; an account without a rate has no limit.

        :param account: the account that the request counts against.
        :param req_id: id of the request, for the log.
        :return: 0 if the request is allowed, else the seconds after which
            the caller should retry.
        """
        if not account.rate:
            return 0
        self._ranking.update()
        retry_after = await self._take_token(account)
        if retry_after:
            self._events.emit(
                'allowance-spent',
                req=req_id,
                account=account.name,
                home=next(iter(self._ranking.rank(account.name)), ''),
                rate=account.rate,
                burst=account.burst,
                pause=f'{retry_after:.2f}',
            )
        return retry_after

    async def on_message(self, host: str, body: TokenMessage) -> None:
        """Reply to another daemon's request, or deliver a reply or notice.

        :param host: IP address of the sender.
        :param body: the message.
        """
        self._heard_at = self._clock.now()
        match body:
            case TokenRequest():
                await self._datagrams.send(host, await self._answer(body))
            case ContactRequest():
                reply = TokenReply(body.number, 0, is_counting=False)
                await self._datagrams.send(host, reply)
            case TokenNotice():
                self._counter.deduct(body.account)
            case TokenReply():
                self._deliver(body)

    def _deliver(self, reply: TokenReply) -> None:
        reply_event = self._reply_events.get(reply.number)
        if reply_event is not None:
            self._replies[reply.number] = reply
            reply_event.set()

    async def _answer(self, request: TokenRequest) -> TokenReply:
        self._ranking.update()
        if self._host not in self._ranking.rank(request.account):
            return TokenReply(request.number, 0, is_counting=False)
        pause = round(await self._count(request), 2)
        return TokenReply(request.number, pause)

    async def _count(self, request: TokenRequest) -> float:
        """Take a token of the own count, and tell those ranked before.

        The home may be slow but alive, and count for others.
        """
        pause = self._counter.take(request)
        if pause:
            return pause
        ranked = self._ranking.rank(request.account)
        if self._host in ranked:
            notice = TokenNotice(request.account)
            for host in ranked[: ranked.index(self._host)]:
                await self._datagrams.send(host, notice)
        return pause

    async def _take_token(self, account: ClientAccount) -> float:
        """Take a token where the account is counted, else of the share."""
        ranked = self._ranking.rank(account.name)
        for host in ranked or (self._host,):
            is_deputy = ranked[:1] != (host,)
            if host == self._host:
                pause = await self._take_here(account, is_deputy=is_deputy)
            else:
                pause = await self._ask(host, account, is_deputy=is_deputy)
            if pause is not None:
                self._shares.pause(account.name)
                return pause
        return self._take_from_share(account)

    async def _take_here(
        self, account: ClientAccount, *, is_deputy: bool
    ) -> float | None:
        """Take a token of the own count, None if this daemon is cut off.

        Other daemons then have a deputy count.
        """
        is_alone = self._ranking.daemon_count <= MAX_DAEMONS_WITHOUT_DEPUTY
        must_reach = is_deputy or not is_alone
        if must_reach and not await self._is_in_touch(account):
            self._ranking.note_cut_off()
            return None
        return await self._count(
            self._build_request(account, is_deputy=is_deputy)
        )

    async def _is_in_touch(self, account: ClientAccount) -> bool:
        """Whether any other daemon that may count the account is reached."""
        if self._clock.now() - self._heard_at <= IN_TOUCH_SECONDS:
            return True
        for host in self._ranking.rank(account.name):
            request = ContactRequest(next(self._request_numbers))
            if host != self._host and await self._call(host, request):
                return True
        return False

    async def _ask(
        self, host: str, account: ClientAccount, *, is_deputy: bool
    ) -> float | None:
        """Ask another daemon for a token, None if it does not count."""
        request = self._build_request(account, is_deputy=is_deputy)
        reply = await self._call(host, request)
        return reply.pause if reply and reply.is_counting else None

    async def _call(
        self, host: str, request: TokenRequest | ContactRequest
    ) -> TokenReply | None:
        """Send a request, again if it gets no reply in time."""
        if self._clock.now() < self._silent_until.get(host, 0):
            return None
        for _ in range(MAX_SENDS):
            reply = await self._send(host, request)
            if reply is not None:
                return reply
            number = next(self._request_numbers)
            request = msgspec.structs.replace(request, number=number)
        self._silent_until[host] = self._clock.now() + SILENT_HOME_SECONDS
        self._events.emit('home-silent', home=host)
        return None

    async def _send(
        self, host: str, request: TokenRequest | ContactRequest
    ) -> TokenReply | None:
        reply_event = trio.Event()
        self._reply_events[request.number] = reply_event
        try:
            await self._datagrams.send(host, request)
            with trio.move_on_after(REPLY_TIMEOUT_SECONDS):
                await reply_event.wait()
        finally:
            del self._reply_events[request.number]
        return self._replies.pop(request.number, None)

    def _build_request(
        self, account: ClientAccount, *, is_deputy: bool
    ) -> TokenRequest:
        return TokenRequest(
            number=next(self._request_numbers),
            account=account.name,
            version=self._version,
            rate=account.rate,
            burst=account.burst,
            is_deputy=is_deputy,
        )

    def _take_from_share(self, account: ClientAccount) -> float:
        return self._shares.take(
            account.name,
            tolerated_limits(account.rate, account.burst, self._bounds),
            self._ranking.daemon_count,
            self._clock.now(),
        )

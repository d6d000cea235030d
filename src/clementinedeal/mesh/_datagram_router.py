"""Passes messages of other daemons on to the parts that they are for."""

from dataclasses import dataclass

from clementinedeal.mesh._condition_messages import (
    ConditionReply,
    ConditionRequest,
)
from clementinedeal.mesh._condition_probe import ConditionProbe
from clementinedeal.mesh._crash_records import (
    CrashCleared,
    CrashNotice,
    CrashRecords,
)
from clementinedeal.mesh._datagrams import Body
from clementinedeal.mesh._fleet_news import FleetNews
from clementinedeal.mesh._rate_limiter import AccountRateLimiter
from clementinedeal.mesh._token_messages import TokenMessage


@dataclass(frozen=True, slots=True, kw_only=True)
class DatagramRouter:
    """The parts that get messages by datagram."""

    rate_limiter: AccountRateLimiter
    condition_probe: ConditionProbe
    crash_records: CrashRecords
    news: FleetNews

    async def on_message(self, host: str, body: Body) -> None:
        """Deliver one message.

        :param host: IP address of the sender.
        :param body: the message.
        """
        if isinstance(body, TokenMessage):
            await self.rate_limiter.on_message(host, body)
        elif isinstance(body, ConditionRequest | ConditionReply):
            await self.condition_probe.on_message(host, body)
        elif isinstance(body, CrashNotice | CrashCleared):
            self.crash_records.on_message(body)
        else:
            await self.news.on_message(host, body)

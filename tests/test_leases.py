"""One holder and one borrower over a faulty link never spend too many units.

Spent units must not exceed capacity + rate * length in any interval.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from clementinedeal._borrowed import BorrowedUnits
from clementinedeal._leases import (
    HOLDER_LEASE_TTL_SECONDS,
    LEASE_MARGIN_SECONDS,
    LEASE_TTL_SECONDS,
    LeaseId,
    LeaseReport,
    Lender,
)

# RATE in units per second, CAPACITY in units.
RATE = 5_000_000
CAPACITY = 5_000_000
WAITS_MILLIS = (1, 201, 1000, 1999, 2199)


class Lending(RuleBasedStateMachine):
    """Random steps; each message may be delivered again at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = CAPACITY / RATE
        self.lender = Lender(capacity=CAPACITY, rate=RATE, now=0)
        self.borrowed = BorrowedUnits()
        self.sent_at: dict[LeaseId, float] = {}
        self.messages: list[tuple[LeaseId, int] | LeaseReport] = []
        self.grants: list[tuple[LeaseId, int]] = []
        self.spends: list[tuple[float, int]] = []

    @rule(divisor=st.sampled_from((1, 1, 3)), deliveries=st.integers(0, 2))
    def draw(self, divisor: int, deliveries: int) -> None:
        lease = LeaseId('b', 1, len(self.messages))
        self.sent_at[lease] = self.now
        self.messages.append((lease, CAPACITY // divisor))
        if deliveries > 0:
            self.deliver_to_holder(1)
        if deliveries > 1:
            self.deliver_grant(1)

    @rule(pick=st.integers(1, 3))
    def deliver_to_holder(self, pick: int) -> None:
        if len(self.messages) < pick:
            return
        body = self.messages[-pick]
        self.lender.advance(self.now)
        if isinstance(body, LeaseReport):
            self.lender.apply_report(body)
            return
        granted = self.lender.lend(*body, LEASE_TTL_SECONDS, self.now)
        self.grants.append((body[0], granted))

    @rule(pick=st.integers(1, 3))
    def deliver_grant(self, pick: int) -> None:
        if len(self.grants) < pick:
            return
        lease, granted = self.grants[-pick]
        sent_at = self.sent_at.pop(lease, None)
        if sent_at is not None:
            expires_at = sent_at + LEASE_TTL_SECONDS
            self.borrowed.add(lease, 'h', granted, expires_at)

    @rule(closes=st.booleans(), arrives=st.booleans())
    def report(self, closes: bool, arrives: bool) -> None:
        chosen = self.borrowed.close if closes else self.borrowed.report
        self.lender.advance(self.now)
        for report in chosen('h'):
            self.messages.append(report)
            if arrives:
                self.lender.apply_report(report)

    @rule(portion=st.sampled_from((1, 1, 3)))
    def spend_borrowed(self, portion: int) -> None:
        amount = self.borrowed.balance(self.now) // portion
        self.borrowed.spend(amount)
        self.check_spent(amount)

    @rule()
    def spend_everywhere(self) -> None:
        self.lender.advance(self.now)
        amount = self.lender.level
        self.lender.spend(amount)
        self.check_spent(amount)
        self.spend_borrowed(1)

    @rule(millis=st.sampled_from(WAITS_MILLIS))
    def wait(self, millis: int) -> None:
        self.now += millis / 1000

    @rule()
    def replace_holder(self) -> None:
        start = self.now + HOLDER_LEASE_TTL_SECONDS
        self.lender = Lender(capacity=CAPACITY, rate=RATE, now=start)
        self.now = start + CAPACITY / RATE
        self.spend_everywhere()

    def check_spent(self, amount: int) -> None:
        self.spends.append((self.now, amount))
        total = 0
        for at, part in reversed(self.spends):
            total += part
            assert total <= CAPACITY + RATE * (self.now - at) + 10


TestLending = Lending.TestCase
TestLending.settings = settings(max_examples=300)


def test_unspent_units_come_back_and_can_be_lent_again() -> None:
    lender = Lender(capacity=CAPACITY, rate=0, now=0)
    lender.level = CAPACITY
    borrowed = BorrowedUnits()
    lease = LeaseId('b', 1, 1)
    granted = lender.lend(lease, CAPACITY, LEASE_TTL_SECONDS, 0)
    borrowed.add(lease, 'h', granted, LEASE_TTL_SECONDS)
    borrowed.spend(1_000_000)
    for report in borrowed.close('h') * 2:
        lender.apply_report(report)
    assert lender.level == CAPACITY - 1_000_000
    assert borrowed.balance(0) == 0


def test_capacity_freed_by_an_expired_lease_refills_only_from_then_on() -> None:
    lender = Lender(capacity=CAPACITY, rate=RATE, now=0)
    lender.advance(1)
    lender.lend(LeaseId('b', 1, 1), CAPACITY, LEASE_TTL_SECONDS, 1)
    expires_at = 1 + LEASE_TTL_SECONDS + LEASE_MARGIN_SECONDS
    lender.advance(expires_at + 0.1)
    assert abs(lender.level - RATE // 10) <= 10

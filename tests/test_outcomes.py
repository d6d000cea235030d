"""Verdicts of simulated daemons with faults, checked against what has run."""

import itertools
import random
import uuid
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from clementinedeal import _attempt_events as ev
from clementinedeal import _claims as cl
from clementinedeal._attempt_plan import AttemptPlan
from clementinedeal._attempt_set import AttemptRequest
from clementinedeal._cancel_messages import CancelExecution, ExecutionCancelled
from clementinedeal._executions import ExecutionTable
from clementinedeal._history import RequestAnswered, RequestStarted
from clementinedeal._history_checks import check_at_most_once, check_not_run
from clementinedeal._idempotency import IdempotencyManager
from clementinedeal._key_messages import StoredAnswer
from clementinedeal._key_placement import CONVERGENCE_SECONDS
from clementinedeal._key_table import KeeperLimits
from clementinedeal._messages import Send, decode, encode
from clementinedeal._model import Config, Preset, PresetName
from clementinedeal._retry_budget import RetryBudget
from clementinedeal._verdict import Reason, Verdict

RETENTION_SECONDS = 100.0
STEP_SECONDS = 0.25
DEADLINE_SECONDS = 3.0
# A configuration is in force at all daemons that run after this time; only
# then is another one published.
MIN_CONFIG_INTERVAL_SECONDS = 7.0
# Maximum delay of a message.
TRANSIT_SECONDS = 30.0
# Wall-clock time at the start of the simulation, in ms since 1970.
WALL_MS = 1_700_000_000_000
NODES = ('n0', 'n1', 'n2', 'n3')
PAUSES_SECONDS = (0, 0, 1, 4, 40)  # seconds of a pause, 0 for a restart
ANSWER = StoredAnswer(201, (), b'booked')
PRESET = Preset(name=PresetName.ORDINARY)


def make_config(*names: str) -> Any:
    return SimpleNamespace(instances=dict.fromkeys(names))


@dataclass(frozen=True)
class Forwarded:
    """An attempt that an entry forwards to an owner.

    ``incarnation`` is that of the owner as the entry knows it, ``seconds`` the
    time left until the deadline.
    """

    attempt: str
    incarnation: str
    seconds: float


@dataclass(frozen=True)
class OwnerReply:
    """An owner's reply to a forward, as events of the entry's plan."""

    attempt: str
    events: tuple[Any, ...]
    incarnation: str


@dataclass
class Call:
    """A request with an idempotency key and the plan of its attempts."""

    req_id: str
    key: str
    deadline: float
    plan: AttemptPlan
    done: bool = False


@dataclass
class Node:
    """One daemon: entry, owner of one target, keeper of idempotency keys."""

    name: str
    fleet: 'Fleet'
    incarnation: str
    cfg: Config
    # end of its pause, during which it handles nothing
    asleep_until: float = 0.0
    calls: dict[str, Call] = field(default_factory=dict)
    # attempts at its target as owner, with the name of their entry
    queued: dict[str, str] = field(default_factory=dict)
    running: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.known_incarnations = {name: f'{name}.0' for name in NODES}
        self.table = ExecutionTable(self.incarnation)
        self.last_tick = self.fleet.now
        self.table.on_tick(self.last_tick)
        self.manager = IdempotencyManager(
            self.name,
            self.cfg,
            self.fleet.now,
            wall_ms=self.fleet.wall_ms,
            limits=KeeperLimits(retention_seconds=RETENTION_SECONDS),
        )

    def submit(self, key: str) -> None:
        now = self.fleet.now
        req_id = f'{self.name}-{next(self.fleet.numbers)}'
        deadline = now + DEADLINE_SECONDS
        others = sorted(
            self.cfg.instances, key=lambda _: self.fleet.rng.random()
        )
        req = AttemptRequest(
            req_id=req_id,
            idempotent=False,
            preset=PRESET,
            candidates=tuple(others),
            deadline=deadline,
        )
        plan = AttemptPlan(req, RetryBudget())
        self.calls[req_id] = Call(req_id, key, deadline, plan)
        self.fleet.keys_of[req_id] = key
        self.fleet.deadlines[req_id] = deadline
        claimed = self.manager.claim(
            req_id, 'c', key, 'f', DEADLINE_SECONDS, now
        )
        self.on_claims(claimed)

    def on_claims(self, actions: cl.ClaimActions) -> None:
        for action in actions:
            match action:
                case Send():
                    body = decode(encode((action.body,)))[0]
                    self.fleet.post(self.name, action.to, body)
                case cl.ClaimGranted():
                    call = self.calls[action.req_id]
                    self.on_plan(call, call.plan.start(self.fleet.now))
                case cl.Replay():
                    self.answer(action.req_id, Verdict.RAN)
                case cl.ClaimRefused():
                    self.answer(action.req_id, action.verdict)

    def on_plan(self, call: Call, actions: Any) -> None:
        for action in actions:
            match action:
                case ev.SendAttempt():
                    self.forward(call, action)
                case ev.CancelAttempt():
                    known = self.fleet.expected_incarnations[action.attempt_id]
                    cancel_request = CancelExecution(action.attempt_id, known)
                    self.fleet.post(self.name, action.target, cancel_request)
                case ev.RefuseRequest() | ev.AbortStream():
                    self.answer(call.req_id, action.verdict)
                    self.settle(call, action.verdict, None)
        if call.plan.finished and not call.done:
            self.answer(call.req_id, Verdict.RAN)
            self.settle(call, Verdict.RAN, ANSWER)

    def forward(self, call: Call, action: ev.SendAttempt) -> None:
        known = self.known_incarnations[action.target]
        self.fleet.expected_incarnations[action.attempt_id] = known
        seconds = call.deadline - self.fleet.now
        body = Forwarded(action.attempt_id, known, seconds)
        self.fleet.post(self.name, action.target, body)

    def answer(self, req_id: str, verdict: Verdict) -> None:
        self.calls.pop(req_id, None)
        self.fleet.record(
            RequestAnswered(at=self.fleet.now, req_id=req_id, verdict=verdict)
        )

    def settle(
        self, call: Call, verdict: Verdict, stored: StoredAnswer | None
    ) -> None:
        call.done = True
        now = self.fleet.now
        done = self.manager.complete(call.req_id, verdict, stored, now)
        self.on_claims(done)

    def on_message(self, sender: str, body: Any) -> None:
        now = self.fleet.now
        match body:
            case Forwarded():
                self.on_forward(sender, body)
            case CancelExecution():
                answer = self.table.cancel(body.req_id, body.incarnation, now)
                reply = ExecutionCancelled(body.req_id, answer)
                self.fleet.post(self.name, sender, reply)
            case ExecutionCancelled():
                event = ev.CancelAnswered(body.req_id, body.answer)
                self.on_attempt(body.req_id, event)
            case OwnerReply():
                self.known_incarnations[sender] = body.incarnation
                for event in body.events:
                    self.on_attempt(body.attempt, event)
            case _:
                self.on_claims(self.manager.on_message(sender, body, now))

    def on_attempt(self, attempt: str, event: Any) -> None:
        call = self.calls.get(attempt.split('/')[0])
        if call is not None:
            self.on_plan(call, call.plan.on_event(event, self.fleet.now))

    def on_forward(self, sender: str, body: Forwarded) -> None:
        now = self.fleet.now
        registered = self.table.register(
            body.attempt, body.incarnation, now + body.seconds, now
        )
        if registered.is_ok():
            self.queued[body.attempt] = sender
        else:
            self.refuse(sender, body.attempt, registered.unwrap_err())

    def refuse(self, entry: str, attempt: str, reason: Reason) -> None:
        ran = reason is Reason.DUPLICATE
        verdict = Verdict.MAY_HAVE_RUN if ran else Verdict.NOT_RUN
        failed = ev.AttemptFailed(attempt, verdict, reason)
        reply = OwnerReply(attempt, (failed,), self.incarnation)
        self.fleet.post(self.name, entry, reply)

    def work(self, rng: random.Random) -> None:
        now = self.fleet.now
        for attempt in [queued for queued in self.queued if rng.random() < 0.4]:
            entry = self.queued.pop(attempt)
            allowed = self.table.start(attempt, now)
            if allowed.is_err():
                self.refuse(entry, attempt, allowed.unwrap_err())
                continue
            self.fleet.start(attempt, self.name)
            self.running[attempt] = entry
        for attempt in [
            running for running in self.running if rng.random() < 0.2
        ]:
            entry = self.running.pop(attempt)
            self.table.finish(attempt, now)
            events = (ev.AnswerHead(attempt, 201), ev.AnswerComplete(attempt))
            reply = OwnerReply(attempt, events, self.incarnation)
            self.fleet.post(self.name, entry, reply)

    def tick(self) -> None:
        now = self.fleet.now
        if self.asleep_until > self.last_tick:
            self.incarnation = f'{self.name}.{next(self.fleet.numbers)}'
            self.table.on_pause(self.incarnation)
        self.last_tick = now
        self.table.on_tick(now)
        self.on_claims(self.manager.on_tick(now))
        for call in tuple(self.calls.values()):
            if call.plan.next_timeout() <= now:
                timed_out = call.plan.on_event(ev.Timeout(), now)
                self.on_plan(call, timed_out)


class Fleet:
    """Daemons, a network that loses, delays and repeats messages, a history."""

    def __init__(self) -> None:
        self.now = self.traffic = self.faults = 0.0
        self.keys: dict[str, float] = {}
        self.numbers = itertools.count()
        self.rng = random.Random(0)
        self.history: list[Any] = []
        self.keys_of: dict[str, str] = {}
        self.deadlines: dict[str, float] = {}
        self.expected_incarnations: dict[str, str] = {}
        self.in_transit: list[tuple[float, str, str, Any]] = []
        self.cfg = make_config(*NODES[:3])
        self.config_due = 0.0
        self.nodes = {name: self.boot(name, 0) for name in NODES}
        self.run(
            RETENTION_SECONDS + CONVERGENCE_SECONDS, random.Random(0), loss=0
        )

    def boot(self, name: str, run: int) -> Node:
        return Node(name, self, f'{name}.{run}', self.cfg)

    def wall_ms(self) -> int:
        return WALL_MS + int(self.now * 1000)

    def record(self, event: Any) -> None:
        self.history.append(event)

    def post(self, sender: str, to: str, body: Any) -> None:
        max_delay = self.rng.choices((0, 1, TRANSIT_SECONDS), (8, 1, 1))[0]
        delay = self.rng.uniform(0, max_delay)
        self.in_transit.append((self.now + delay, sender, to, body))

    def start(self, attempt: str, target: str) -> None:
        req_id = attempt.split('/')[0]
        key = self.keys_of[req_id]
        self.record(
            RequestStarted(at=self.now, req_id=req_id, target=target, key=key)
        )
        assert self.now <= self.deadlines[req_id] + TRANSIT_SECONDS

    def make_key(self, rng: random.Random) -> None:
        """Add a UUIDv7 of a caller with a wrong clock, and a UUIDv4."""
        millis = self.wall_ms() + rng.randrange(-30_000, 30_000)
        low = rng.getrandbits(74)
        timed = uuid.UUID(int=(millis << 80) | (7 << 76) | (2 << 62) | low)
        plain = uuid.UUID(int=rng.getrandbits(128), version=4)
        self.keys[str(timed)] = float('inf')
        self.keys[str(plain)] = self.now + RETENTION_SECONDS

    def submit(self, rng: random.Random) -> None:
        if rng.random() < 0.3:
            self.make_key(rng)
        keys = [key for key, end in self.keys.items() if end > self.now]
        if keys:
            key = rng.choice(keys[-12:])
            for node in rng.choices(self.awake(), k=rng.randint(1, 3)):
                node.submit(key)

    def run(
        self,
        seconds: float,
        rng: random.Random,
        loss: float,
    ) -> None:
        self.rng = rng
        for _ in range(int(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self.adopt_if_due()
            if rng.random() < self.traffic and self.awake():
                self.submit(rng)
            if rng.random() < self.faults:
                self.fail(rng.choice(NODES), False, rng.choice(PAUSES_SECONDS))
            self.deliver(rng, loss)
            self.deliver(rng, loss)
            for node in self.awake():
                node.work(rng)
                node.tick()

    def fail(self, name: str, planned: bool, gap: float) -> None:
        node = self.nodes[name]
        if gap:
            node.asleep_until = self.now + gap
            return
        if planned:
            node.on_claims(node.manager.stop(self.now))
        self.nodes[name] = self.boot(name, next(self.numbers))

    def awake(self) -> list[Node]:
        nodes = self.nodes.values()
        return [node for node in nodes if node.asleep_until <= self.now]

    def adopt_if_due(self) -> None:
        if self.now >= self.config_due:
            self.adopt(self.awake())

    def adopt(self, nodes: list[Node]) -> None:
        for node in nodes:
            if node.cfg is not self.cfg:
                node.cfg = self.cfg
                node.manager.on_config(self.cfg, self.now)

    def deliver(self, rng: random.Random, loss: float) -> None:
        pending, self.in_transit = self.in_transit, []
        rng.shuffle(pending)
        for sent in pending:
            due, sender, to, body = sent
            node = self.nodes[to]
            is_delayed = max(due, node.asleep_until) > self.now
            if is_delayed or rng.random() < 0.1:
                self.in_transit.append(sent)
            elif rng.random() >= loss:
                node.on_message(sender, body)
                if rng.random() < loss:
                    self.post(sender, to, body)


class OutcomeMachine(RuleBasedStateMachine):
    """Runs the fleet with faults in any order; checks its whole history."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()

    @rule(
        seconds=st.sampled_from((1, 5, 20, 60, 150)),
        rng=st.integers(0, 1 << 32),
        loss=st.sampled_from((0, 0.1, 0.3)),
        faults=st.sampled_from((0, 0.005)),
    )
    def run(self, seconds: float, rng: int, loss: float, faults: float) -> None:
        self.fleet.traffic = 0.2
        self.fleet.faults = faults
        self.fleet.run(seconds, random.Random(rng), loss)

    @rule(
        name=st.sampled_from(NODES),
        planned=st.booleans(),
        gap=st.sampled_from(PAUSES_SECONDS),
    )
    def fail(self, name: str, planned: bool, gap: float) -> None:
        """Restart an instance, planned or not, or pause it for some seconds."""
        self.fleet.fail(name, planned, gap)

    @rule(names=st.sets(st.sampled_from(NODES), min_size=2))
    def publish(self, names: set[str]) -> None:
        if self.fleet.now >= self.fleet.config_due:
            self.fleet.cfg = make_config(*sorted(names))
            self.fleet.config_due = self.fleet.now + MIN_CONFIG_INTERVAL_SECONDS

    @rule(name=st.sampled_from(NODES))
    def adopt(self, name: str) -> None:
        self.fleet.adopt([self.fleet.nodes[name]])

    @invariant()
    def verdicts_match_the_history(self) -> None:
        assert check_at_most_once(self.fleet.history) == ()
        assert check_not_run(self.fleet.history) == ()


TestOutcomes = OutcomeMachine.TestCase
TestOutcomes.settings = settings(max_examples=80, stateful_step_count=30)

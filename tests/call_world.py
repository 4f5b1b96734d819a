"""Model of the agents of one service on an injected clock.

The grant books, leases, ledgers, deciders and runners are the real ones; the
model replaces links, entries, service and clocks.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from wasabistream.deciders import CallDecider
from wasabistream.documents import Service
from wasabistream.grants import GrantReply, LeaseGranter, LeaseTimes
from wasabistream.idempotency_keys import make_key
from wasabistream.keyed_calls import KeyedCallRunner
from wasabistream.leases import LeaseRound, OwnerLease
from wasabistream.ledgers import CallLedger
from wasabistream.messages import Message
from wasabistream.owners import owner_of
from wasabistream.requests import Answer, Call, Refused
from wasabistream.service_clients import NotSentError
from wasabistream.service_views import ServiceMember, ServiceView

STEP_SECONDS = 0.5
SETTLING_SECONDS = 6.0
HOLD_SECONDS = 12.0
HORIZON_SECONDS = 40.0
# Longer than the settling time, so that neither hides a fault of the other.
OFFSET_SECONDS = 9.0
DAY_SECONDS = 1e9
FAR_SECONDS = 1e12
LEDGER_BYTES = 10**8
TIMES = LeaseTimes(
    settling_seconds=SETTLING_SECONDS, max_list_age_seconds=HOLD_SECONDS
)
SERVICE = Service(
    'booking',
    retry_horizon_seconds=HORIZON_SECONDS,
    settling_seconds=SETTLING_SECONDS,
    clock_offset_seconds=OFFSET_SECONDS,
    list_hold_seconds=HOLD_SECONDS,
)


@dataclass
class WorldClock:
    """Hold the time of the model."""

    now: float = 0


@dataclass
class ModelSender:
    """Count effects; a pause may stand between the check and the send."""

    world: 'CallWorld'
    pause_seconds: float = 0
    service_down: bool = False

    def send(
        self, call: Call, deadline: float, check: Callable[[], str]
    ) -> Answer:
        """Check and count one effect."""
        reason = 'service_down' if self.service_down else check()
        if reason:
            raise NotSentError(reason)
        self.world.advance(self.pause_seconds)
        self.world.check_late(call)
        self.world.effects[call.key] += 1
        return Answer(call.request_id, 201, {}, call.key.encode())


class ModelAgent:
    """Hold one incarnation of an agent and how far its clocks are off."""

    def __init__(self, world: 'CallWorld', name: str, offset: float) -> None:
        self.name = name
        self.incarnation = str(next(world.incarnations))
        self.offset_seconds = offset
        self.running = True
        self.inbox: list[Callable[[], None]] = []
        self.sender = ModelSender(world)
        self._world = world
        self.granter = LeaseGranter(world.clock.now)
        self.granter.times = TIMES
        self.lease = OwnerLease(name, self.incarnation, self.granter)
        self.ledger = CallLedger(LEDGER_BYTES)
        self.decider = CallDecider(
            self.lease,
            self.ledger,
            lambda: SERVICE,
            lambda: world.clock.now,
            lambda: DAY_SECONDS + world.clock.now + offset,
        )
        self.runner = KeyedCallRunner(
            self.ledger,
            self.decider,
            self.sender,
            lambda: world.clock.now,
            lambda: DAY_SECONDS + world.clock.now + offset,
        )

    def receive(self, action: Callable[[], None]) -> None:
        """Act now, or after the pause of a stopped process."""
        if self.running:
            action()
        else:
            self.inbox.append(action)

    def wake(self) -> None:
        """Resume a stopped process with all that reached it meanwhile."""
        self.running = True
        for action in self.inbox:
            action()
        self.inbox.clear()

    def ask(self) -> None:
        """Run one round of requests."""
        lease_round = self.lease.start_round(self._world.clock.now)
        if lease_round is None:
            return
        targets = {
            member.member_id
            for view in self.lease.required_views()
            for member in view.members
        }

        def answer(peer: 'ModelAgent') -> None:
            peer.answer(self, lease_round)

        for target in sorted(targets - {self.name}):
            self._world.deliver(self.name, target, answer)

    def answer(self, asker: 'ModelAgent', lease_round: LeaseRound) -> None:
        """Grant or refuse, and exchange views when they differ."""
        now = self._world.clock.now
        reply = self.granter.request(
            asker.name, asker.incarnation, lease_round.claim, now
        )
        own = self.granter.view
        self._world.deliver(
            self.name,
            asker.name,
            lambda peer: peer.hear(
                self.name, asker, lease_round.sequence, reply, own
            ),
        )
        theirs = asker.granter.view
        if reply.reason == 'view' and theirs is not None:
            self.lease.adopt_view(theirs, now)

    def hear(
        self,
        peer: str,
        asker: 'ModelAgent',
        number: int,
        reply: GrantReply,
        view: ServiceView | None,
    ) -> None:
        """Apply a reply unless it is for an earlier incarnation."""
        now = self._world.clock.now
        if asker is not self:
            return
        if reply.reason == 'view' and view is not None:
            self.lease.adopt_view(view, now)
        self.lease.receive(peer, number, reply, now)


@dataclass
class CallWorld:
    """Hold agents, their network, the VM list and the counted effects."""

    clock: WorldClock = field(default_factory=WorldClock)
    agents: dict[str, ModelAgent] = field(default_factory=dict)
    effects: Counter[str] = field(default_factory=Counter)
    false_refusals: list[str] = field(default_factory=list)
    # Time of the last `not_run` of each key.
    refused: dict[str, float] = field(default_factory=dict)
    # Times at which leases on two views held at once.
    overlaps: list[float] = field(default_factory=list)
    cut_off: frozenset[str] = frozenset()
    view: ServiceView | None = None
    make_agent: type[ModelAgent] = ModelAgent

    def __post_init__(self) -> None:
        """Number the incarnations and keys."""
        self.key_numbers = iter(range(10**6))
        self.incarnations = iter(range(10**6))

    def start(self, name: str, offset: float = 0) -> ModelAgent:
        """Start or restart an agent with empty memory."""
        self.agents[name] = self.make_agent(self, name, offset)
        return self.agents[name]

    def publish(self, members: Sequence[str]) -> None:
        """Publish a VM list; agents that are not cut off read it."""
        index = self.view.list_index + 1 if self.view else 1
        self.view = ServiceView(
            index,
            1,
            tuple(ServiceMember(name) for name in members),
            tuple(members),
        )
        for name in members:
            if name not in self.agents:
                self.start(name)
        self._read_list()

    def advance(self, seconds: float) -> None:
        """Let time pass for all processes that run."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now = min(self.clock.now + STEP_SECONDS, end)
            self._read_list()
            for agent in list(self.agents.values()):
                if agent.running:
                    agent.ask()
            self._check_leases()

    def deliver(
        self, source: str, target: str, action: Callable[[ModelAgent], None]
    ) -> None:
        """Hand a message over unless the network is cut between the two."""
        peer = self.agents.get(target)
        if peer is None or (source in self.cut_off) != (target in self.cut_off):
            return
        peer.receive(lambda: action(peer))

    def new_key(self, offset: float = 0) -> str:
        """Issue a key by a caller whose clock is off."""
        key = make_key(DAY_SECONDS + self.clock.now + offset)
        # A number in place of the random part lets a failure be repeated.
        number = next(self.key_numbers)
        return f'desk/{key[:15]}000-8000-{number:012x}'

    def call(
        self,
        key: str,
        name: str,
        refusal: str = '',
        started: float | None = None,
    ) -> Message | None:
        """Send one attempt to an agent; return the reply, if any.

        The agent refuses new work when a refusal is named. An attempt that
        was held up on its way started earlier.
        """
        agent = self.agents[name]
        replies: list[Message] = []
        call = build_call(key, self.clock.now if started is None else started)
        agent.receive(lambda: self._run(agent, call, refusal, replies))
        return replies[0] if replies else None

    def check_late(self, call: Call) -> None:
        """Record an attempt that runs although `not_run` was told later."""
        refused = self.refused.get(call.key, float('-inf'))
        if call.started_unix_seconds - DAY_SECONDS < refused:
            self.false_refusals.append(call.key)

    def call_all(self, key: str) -> list[Message | None]:
        """Send one attempt to each agent, as through entries of all views."""
        return [self.call(key, name) for name in list(self.agents)]

    def owner(self, key: str) -> str:
        """Return the owner of a key by the newest list."""
        return owner_of(key, self.view.owners) if self.view else ''

    def _run(
        self,
        agent: ModelAgent,
        call: Call,
        refusal: str,
        replies: list[Message],
    ) -> None:
        if agent.runner.admit(call, refusal, replies.append):
            replies.append(agent.runner.run(call, FAR_SECONDS))
        for reply in replies:
            if not isinstance(reply, Refused):
                continue
            self.refused[call.key] = self.clock.now
            if self.effects[call.key]:
                self.false_refusals.append(call.key)

    def _check_leases(self) -> None:
        digests = {
            agent.granter.view.digest
            for agent in self.agents.values()
            if agent.granter.view and agent.lease.is_held(self.clock.now)
        }
        if len(digests) > 1:
            self.overlaps.append(self.clock.now)

    def _read_list(self) -> None:
        if self.view is None:
            return
        now = self.clock.now
        for agent in self.agents.values():
            if agent.running and agent.name not in self.cut_off:
                agent.lease.adopt_view(self.view, now)
                agent.granter.record_list_read(self.view.list_index, now, 0)


def build_call(key: str, started: float) -> Call:
    """Return a call that may not be repeated."""
    return Call(
        'entry.1', 'desk', 'booking', 'POST', '/bookings', {}, b'', 10, 1,
        repeatable=False, key=key, started_unix_seconds=DAY_SECONDS + started,
    )  # fmt: skip

"""Simulation of the agents of one service on a simulated clock.

Lease granters, leases, call ledgers, key checkers and call runners are the
real ones. Links, entries, the service and the clocks are simulated.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from wasabistream.documents import Service
from wasabistream.grants import GrantReply, LeaseGranter, LeaseTimes
from wasabistream.idempotency_keys import make_key
from wasabistream.key_checkers import OwnedKeyChecker
from wasabistream.keyed_calls import KeyedCallRunner
from wasabistream.leases import LeaseRound, OwnerLease
from wasabistream.ledgers import CallLedger
from wasabistream.messages import Message
from wasabistream.owners import owner_of
from wasabistream.requests import Call, Refused, ServiceAnswer
from wasabistream.service_clients import CallNotSentError
from wasabistream.service_views import ServiceMember, ServiceView

STEP_SECONDS = 0.5
# Time for which an owner holds its lease before it runs calls with new keys.
SETTLING_SECONDS = 6.0
MAX_LIST_AGE_SECONDS = 12.0
RETRY_HORIZON_SECONDS = 40.0
# Longer than the settling time, so that the allowance for clock offsets cannot
# hide a missing settling check, nor the settling time a missing allowance.
MAX_CLOCK_OFFSET_SECONDS = 9.0
WALL_CLOCK_START_SECONDS = 1e9
NO_DEADLINE_SECONDS = 1e12
LEDGER_BYTES = 10**8
LEASE_TIMES = LeaseTimes(
    settling_seconds=SETTLING_SECONDS, max_list_age_seconds=MAX_LIST_AGE_SECONDS
)
SERVICE = Service(
    'booking',
    retry_horizon_seconds=RETRY_HORIZON_SECONDS,
    settling_seconds=SETTLING_SECONDS,
    clock_offset_seconds=MAX_CLOCK_OFFSET_SECONDS,
    list_hold_seconds=MAX_LIST_AGE_SECONDS,
)


@dataclass
class SimulatedClock:
    """Hold the simulated time."""

    now: float = 0


@dataclass
class SimulatedServiceClient:
    """Count the executions of each key, called effects.

    After the last check of the lease the process may pause for a time.
    """

    simulation: 'CallSimulation'
    pause_seconds: float = 0
    service_down: bool = False

    def send(
        self, call: Call, deadline: float, check: Callable[[], str]
    ) -> ServiceAnswer:
        """Execute a call, unless `check` returns a reason against it."""
        reason = 'service_down' if self.service_down else check()
        if reason:
            raise CallNotSentError(reason)
        self.simulation.advance(self.pause_seconds)
        self.simulation.record_run_if_refused(call)
        self.simulation.effects[call.key] += 1
        return ServiceAnswer(call.request_id, 201, {}, call.key.encode())


class SimulatedAgent:
    """Hold one incarnation of an agent, with the offset of its wall clock."""

    def __init__(
        self,
        simulation: 'CallSimulation',
        name: str,
        wall_clock_offset_seconds: float,
    ) -> None:
        self.name = name
        self.incarnation = str(next(simulation.incarnations))
        self.wall_clock_offset_seconds = wall_clock_offset_seconds
        self.running = True
        self.inbox: list[Callable[[], None]] = []
        self.client = SimulatedServiceClient(simulation)
        self._simulation = simulation
        self.granter = LeaseGranter(simulation.clock.now)
        self.granter.times = LEASE_TIMES
        self.lease = OwnerLease(name, self.incarnation, self.granter)
        self.ledger = CallLedger(LEDGER_BYTES)
        self.key_checker = OwnedKeyChecker(
            self.lease,
            self.ledger,
            lambda: SERVICE,
            lambda: simulation.clock.now,
            lambda: (
                WALL_CLOCK_START_SECONDS
                + simulation.clock.now
                + wall_clock_offset_seconds
            ),
        )
        self.runner = KeyedCallRunner(
            self.ledger,
            self.key_checker,
            self.client,
            lambda: simulation.clock.now,
            lambda: (
                WALL_CLOCK_START_SECONDS
                + simulation.clock.now
                + wall_clock_offset_seconds
            ),
        )

    def receive(self, action: Callable[[], None]) -> None:
        """Run an action now, or once the paused process resumes."""
        if self.running:
            action()
        else:
            self.inbox.append(action)

    def resume(self) -> None:
        """Resume a paused process and deliver what has arrived meanwhile."""
        self.running = True
        for action in self.inbox:
            action()
        self.inbox.clear()

    def request_grants(self) -> None:
        """Request lease grants from the members of all required views."""
        # A lease needs majorities of the members of earlier views too.
        lease_round = self.lease.start_round(self._simulation.clock.now)
        if lease_round is None:
            return
        targets = {
            member.member_id
            for view in self.lease.required_views()
            for member in view.members
        }

        def deliver_request(peer: 'SimulatedAgent') -> None:
            peer.answer_request(self, lease_round)

        for target in sorted(targets - {self.name}):
            self._simulation.deliver(self.name, target, deliver_request)

    def answer_request(
        self, asker: 'SimulatedAgent', lease_round: LeaseRound
    ) -> None:
        """Grant or refuse a lease request; exchange the views if they differ."""
        now = self._simulation.clock.now
        reply = self.granter.request(
            asker.name, asker.incarnation, lease_round.claim, now
        )
        own_view = self.granter.view
        self._simulation.deliver(
            self.name,
            asker.name,
            lambda peer: peer.receive_reply(
                self.name, asker, lease_round.sequence, reply, own_view
            ),
        )
        asker_view = asker.granter.view
        if reply.reason == 'view' and asker_view is not None:
            self.lease.adopt_view(asker_view, now)

    def receive_reply(
        self,
        peer: str,
        asker: 'SimulatedAgent',
        number: int,
        reply: GrantReply,
        view: ServiceView | None,
    ) -> None:
        """Apply a reply unless an earlier incarnation sent the request."""
        now = self._simulation.clock.now
        if asker is not self:
            return
        if reply.reason == 'view' and view is not None:
            self.lease.adopt_view(view, now)
        self.lease.receive(peer, number, reply, now)


@dataclass
class CallSimulation:
    """Simulate agents and network; record false refusals and lease overlaps."""

    clock: SimulatedClock = field(default_factory=SimulatedClock)
    agents: dict[str, SimulatedAgent] = field(default_factory=dict)
    effects: Counter[str] = field(default_factory=Counter)
    # Keys with a false `not_run` reply: a call had run before the reply, or an
    # attempt that started before the reply ran afterwards.
    false_refusals: list[str] = field(default_factory=list)
    # Time of the last `not_run` reply for each key.
    refused: dict[str, float] = field(default_factory=dict)
    # Times at which agents with different views held leases at once.
    lease_overlaps: list[float] = field(default_factory=list)
    # Agents on the side of a partition that gets no VM list.
    partitioned_agents: frozenset[str] = frozenset()
    view: ServiceView | None = None
    agent_class: type[SimulatedAgent] = SimulatedAgent

    def __post_init__(self) -> None:
        """Create the counters of incarnations and keys."""
        self.key_numbers = iter(range(10**6))
        self.incarnations = iter(range(10**6))

    def start(
        self, name: str, wall_clock_offset_seconds: float = 0
    ) -> SimulatedAgent:
        """Start or restart an agent with empty memory."""
        self.agents[name] = self.agent_class(
            self, name, wall_clock_offset_seconds
        )
        return self.agents[name]

    def publish(self, members: Sequence[str]) -> None:
        """Publish a VM list, as the view that agents derive from it."""
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
        self._deliver_view()

    def advance(self, seconds: float) -> None:
        """Let time pass for all running processes."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now = min(self.clock.now + STEP_SECONDS, end)
            self._deliver_view()
            for agent in list(self.agents.values()):
                if agent.running:
                    agent.request_grants()
            self._check_leases()

    def deliver(
        self, source: str, target: str, action: Callable[[SimulatedAgent], None]
    ) -> None:
        """Deliver a message unless a partition separates the two agents."""
        peer = self.agents.get(target)
        if peer is None or (source in self.partitioned_agents) != (
            target in self.partitioned_agents
        ):
            return
        peer.receive(lambda: action(peer))

    def new_key(self, wall_clock_offset_seconds: float = 0) -> str:
        """Return a key as issued by a caller with the given clock offset."""
        key = make_key(
            WALL_CLOCK_START_SECONDS
            + self.clock.now
            + wall_clock_offset_seconds
        )
        # A counter replaces the random part behind timestamp and version, so
        # that failures are reproducible. The organisation is `desk`.
        number = next(self.key_numbers)
        return f'desk/{key[:15]}000-8000-{number:012x}'

    def call(
        self,
        key: str,
        name: str,
        refusal: str = '',
        started: float | None = None,
    ) -> Message | None:
        """Send one attempt to an agent; return its reply, if any.

        The agent refuses new work if `refusal` names a reason. `started` is
        the time when an entry received the request; it is in the past for an
        attempt that was delayed on its way to the agent.
        """
        agent = self.agents[name]
        replies: list[Message] = []
        call = build_call(key, self.clock.now if started is None else started)
        agent.receive(lambda: self._run(agent, call, refusal, replies))
        return replies[0] if replies else None

    def record_run_if_refused(self, call: Call) -> None:
        """Record a run if its attempt started before a `not_run` reply."""
        refused = self.refused.get(call.key, float('-inf'))
        if call.started_unix_seconds - WALL_CLOCK_START_SECONDS < refused:
            self.false_refusals.append(call.key)

    def call_all_agents(self, key: str) -> list[Message | None]:
        """Send one attempt to each agent, as entries with stale views may."""
        return [self.call(key, name) for name in list(self.agents)]

    def owner(self, key: str) -> str:
        """Return the owner of a key in the newest view."""
        return owner_of(key, self.view.eligible_owners) if self.view else ''

    def _run(
        self,
        agent: SimulatedAgent,
        call: Call,
        refusal: str,
        replies: list[Message],
    ) -> None:
        # `admit` has sent a reply itself if it returns False.
        if agent.runner.admit(call, refusal, replies.append):
            replies.append(agent.runner.run(call, NO_DEADLINE_SECONDS))
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
            self.lease_overlaps.append(self.clock.now)

    def _deliver_view(self) -> None:
        if self.view is None:
            return
        now = self.clock.now
        for agent in self.agents.values():
            if agent.running and agent.name not in self.partitioned_agents:
                agent.lease.adopt_view(self.view, now)
                # The list was read just now.
                agent.granter.record_list_read(self.view.list_index, now, 0)


def build_call(key: str, started: float) -> Call:
    """Build a call that may not be repeated."""
    return Call(
        'entry.1', 'desk', 'booking', 'POST', '/bookings', {}, b'', 10, 1,
        repeatable=False, key=key,
        started_unix_seconds=WALL_CLOCK_START_SECONDS + started,
    )  # fmt: skip

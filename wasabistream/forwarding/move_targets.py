"""Move targets: backend servers that can take over generations."""

import random
from collections import Counter
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from wasabistream.continuations.stream_origins import (
    StreamOrigin,
    may_continue,
)
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.fleets import Fleet
from wasabistream.forwarding.load_trackers import LoadTracker
from wasabistream.forwarding.move_messages import MoveTargetReport

# Factors on the cost of a remote target (one in another data centre), if the
# notice period allows the longer copy and if it does not. A remote target is chosen when its
# load is lower by more than this factor.
REMOTE_COST_RATIO = 1.5
URGENT_REMOTE_COST_RATIO = 6.0
# Factor on the cost of the only target in its data centre: if it leaves later,
# its generations take twice as long to move, as all copies are remote.
SOLE_SERVER_COST_RATIO = 2.0
# Several engines often leave at the same time and get the same list of targets.
# Copies to one target queue behind one another, which lengthens the pause of the
# stream, so targets that cost at most this much more are taken as well.
SPREAD_COST = 1.0


@dataclass
class MoveTarget:
    """Describe the free capacity of one backend server."""

    endpoint: str
    data_centre: str
    free_tokens: int
    request_count: int
    # Whether its data centre should get no generations of others.
    in_full_data_centre: bool = False
    # Empty if the entry that reported it does not state versions.
    software_version: str = ''
    # Distinguishes restarts; 0 if it is not known.
    started_unix_ms: int = 0


def list_move_targets(
    fleet: Fleet,
    load_tracker: LoadTracker,
    admits: Callable[[BackendServer], bool],
    origin: StreamOrigin,
    source_endpoint: str,
) -> list[MoveTarget]:
    """Return the servers that may go on with streams of one engine."""
    targets: list[MoveTarget] = []
    newest = fleet.newest_servers()
    for server in fleet.usable_servers(origin.service):
        if not may_continue(origin, server):
            continue
        # The agent names an address, and another server may have it by now.
        if newest[server.endpoint] is not server:
            continue
        estimate = load_tracker.estimate(server.endpoint)
        usable = estimate.responsive and not estimate.leaving and admits(server)
        if server.endpoint == source_endpoint or not usable:
            continue
        if not load_tracker.has_certain_address(server):
            continue
        targets.append(
            MoveTarget(
                server.endpoint,
                server.data_centre,
                estimate.memory_capacity_tokens
                - estimate.memory_tokens
                - estimate.reserved_tokens,
                estimate.request_count,
                software_version=server.software_version,
                started_unix_ms=server.started_unix_ms,
            )
        )
    return targets


def build_move_target_report(
    targets: list[MoveTarget], full_data_centres: list[str]
) -> MoveTargetReport:
    """Return the report of move targets for one agent."""
    return MoveTargetReport(
        [
            [
                target.endpoint,
                target.data_centre,
                target.free_tokens,
                target.request_count,
            ]
            for target in targets
        ],
        full_data_centres,
        [target.software_version for target in targets],
        [target.started_unix_ms for target in targets],
    )


def decode_move_targets(
    rows: list,
    full_data_centres: Collection[str] = (),
    software_versions: Sequence[str] = (),
    starts_unix_ms: Sequence[int] = (),
) -> list[MoveTarget]:
    """Decode the rows of a report; raises ValueError and TypeError."""
    versions = software_versions or ['' for _ in rows]
    starts = starts_unix_ms or [0 for _ in rows]
    if not all(isinstance(version, str) for version in versions):
        raise TypeError('software version is not a string')
    return [
        MoveTarget(
            str(endpoint),
            str(data_centre),
            int(free),
            int(count),
            data_centre in full_data_centres,
            version,
            int(started_unix_ms),
        )
        for (endpoint, data_centre, free, count), version, started_unix_ms in (
            zip(rows, versions, starts, strict=True)
        )
    ]


def choose_move_target(
    targets: list[MoveTarget],
    data_centre: str,
    tokens: int,
    *,
    remote_affordable: bool,
    generator: random.Random | None = None,
) -> MoveTarget | None:
    """Return a cheap target and reserve memory and a request on it.

    With a generator it is sampled among the targets that cost little more than
    the cheapest one.
    """
    remote_ratio = (
        REMOTE_COST_RATIO if remote_affordable else URGENT_REMOTE_COST_RATIO
    )
    fitting = [target for target in targets if target.free_tokens >= tokens]
    if not fitting:
        return None
    with_room = [
        target
        for target in fitting
        if target.data_centre == data_centre or not target.in_full_data_centre
    ]
    # The source engine is not counted, as it is about to leave.
    server_counts = Counter(target.data_centre for target in targets)
    costs = [
        _target_cost(
            target,
            1 if target.data_centre == data_centre else remote_ratio,
            is_sole_server=server_counts[target.data_centre] == 1,
        )
        for target in with_room or fitting
    ]
    best = _select(list(zip(costs, with_room or fitting)), generator)
    best.free_tokens -= tokens
    best.request_count += 1
    return best


def _select(
    rated: list[tuple[float, MoveTarget]], generator: random.Random | None
) -> MoveTarget:
    least_cost = min(cost for cost, _ in rated)
    if generator is None:
        return next(target for cost, target in rated if cost == least_cost)
    return generator.choice(
        [target for cost, target in rated if cost <= least_cost + SPREAD_COST]
    )


def _target_cost(
    target: MoveTarget, distance_ratio: float, *, is_sole_server: bool
) -> float:
    cost = (target.request_count + 1) * distance_ratio
    return cost * SOLE_SERVER_COST_RATIO if is_sole_server else cost

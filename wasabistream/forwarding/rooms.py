"""Room for generations that have to move."""

from collections import Counter
from dataclasses import dataclass

from wasabistream.forwarding.fleets import Fleet
from wasabistream.forwarding.load_books import LoadBook

# A far engine is chosen when it has this much less load, depending on whether
# the time of the notice allows the longer copy.
EASY_DISTANCE_RATIO = 1.5
SHORT_DISTANCE_RATIO = 6.0
# An engine that is alone in its data centre takes twice as long to hand over
# its generations when it leaves in turn.
LONELY_RATIO = 2.0


@dataclass
class Room:
    """Hold what one backend server can take over."""

    endpoint: str
    data_centre: str
    free_tokens: int
    request_count: int


def list_rooms(
    fleet: Fleet, book: LoadBook, service: str, asking_endpoint: str
) -> list[list[object]]:
    """Return the rows of a room report for one agent."""
    rows: list[list[object]] = []
    for server in fleet.usable_servers(service):
        estimate = book.estimate(server.endpoint)
        usable = estimate.responsive and not estimate.leaving
        if server.endpoint == asking_endpoint or not usable:
            continue
        rows.append(
            [
                server.endpoint,
                server.data_centre,
                estimate.memory_capacity_tokens - estimate.memory_tokens,
                estimate.request_count,
            ]
        )
    return rows


def decode_rooms(rows: list) -> list[Room]:
    """Return the rooms in a report; raises ValueError and TypeError."""
    return [
        Room(str(endpoint), str(data_centre), int(free), int(count))
        for endpoint, data_centre, free, count in rows
    ]


def choose_room(
    rooms: list[Room], data_centre: str, tokens: int, *, may_go_far: bool
) -> Room | None:
    """Return the room for one generation and take it; prefers the near."""
    ratio = EASY_DISTANCE_RATIO if may_go_far else SHORT_DISTANCE_RATIO
    fitting = [room for room in rooms if room.free_tokens >= tokens]
    if not fitting:
        return None
    # The engine that asks leaves and keeps none of the rooms company.
    company = Counter(room.data_centre for room in rooms)
    best = min(
        fitting,
        key=lambda room: _room_cost(
            room,
            1 if room.data_centre == data_centre else ratio,
            lonely=company[room.data_centre] == 1,
        ),
    )
    best.free_tokens -= tokens
    best.request_count += 1
    return best


def _room_cost(room: Room, distance: float, *, lonely: bool) -> float:
    cost = (room.request_count + 1) * distance
    return cost * LONELY_RATIO if lonely else cost

"""ORDER: a stream that is moved ends as complete before its last event."""

import sys
import time

from review.stand_ins.cases import IS_TROUBLED, run_case
from review.stand_ins.clients import (
    Answer,
    build_generation,
    start_exchange,
)
from review.stand_ins.engines import UnframedEngine
from review.stand_ins.fleets import Fleet
from review.stand_ins.records import Record
from wasabistream_tools.soak import sites
from wasabistream_tools.soak.servers import MovedMemory

ENGINE_COUNT = 4
ENTRY_COUNT = 3
STREAM_COUNT = 16
EVENT_COUNT = 200
# The engine exits after drain_ms and many seconds more.
LINGER_SECONDS = 6.0


def play(fleet: Fleet, record: Record) -> bool:
    """Begin streams and have one replica leave."""
    memory = MovedMemory()
    for number in range(1, ENGINE_COUNT + 1):
        fleet.add_server(
            UnframedEngine(
                f'engine-{number}',
                fleet.data_centre(number),
                fleet.engine_address(number),
                record,
                memory,
            )
        )
    fleet.start()
    answers: list[Answer] = []
    threads = []
    for number in range(1, STREAM_COUNT + 1):
        attempt_id = f'draft-{number}'
        threads.append(
            start_exchange(
                answers,
                fleet.entry_address(number % ENTRY_COUNT + 1),
                build_generation(sites.DRAFT, attempt_id, EVENT_COUNT),
                attempt_id,
                sites.DRAFT.deadline_ms / 1000,
                record,
            )
        )
        time.sleep(0.1)
    time.sleep(1.0)
    if IS_TROUBLED:
        leaving = fleet.servers['engine-1']
        leaving.is_draining = True
        fleet.write_server(leaving)
        record.write('disruption', kind='scale_in', replica='engine-1')
        time.sleep(LINGER_SECONDS)
        fleet.write('servers/engine-1', None)
        leaving.stop()
    for thread in threads:
        thread.join()
    return judge(answers, record)


def judge(answers: list[Answer], record: Record) -> bool:
    """Return whether each stream that looks complete has all its events."""
    is_held = True
    for answer in answers:
        numbers = answer.event_numbers
        if answer.status == 200 and answer.is_whole:
            if numbers != list(range(1, EVENT_COUNT + 1)):
                is_held = False
                record.write(
                    'ORDER broken',
                    id=answer.attempt_id,
                    events=len(numbers),
                    of=EVENT_COUNT,
                )
    served_count = sum(answer.status == 200 for answer in answers)
    record.write('result', held=is_held, begun=served_count)
    if served_count < STREAM_COUNT:
        raise RuntimeError('streams were not begun')
    return is_held


if __name__ == '__main__':
    sys.exit(run_case(__file__, play, ENTRY_COUNT))

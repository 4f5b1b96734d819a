"""Faults that a soak plays, in series that overlap."""

import logging
import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from wasabistream_tools.soak import bursts
from wasabistream_tools.soak.links import LinkNetwork, LinkState
from wasabistream_tools.soak.operators import Operator
from wasabistream_tools.soak.processes import GRACE_SECONDS, Daemon
from wasabistream_tools.soak.records import Disturbance, Played, Recorder, now
from wasabistream_tools.soak.servers import (
    CRASHING_MARK,
    EngineServer,
    PlainServer,
    StandInServer,
)

logger = logging.getLogger(__name__)

FAULT_PAUSE_SECONDS = (0.3, 4.0)
RESTART_SECONDS = (0.2, 1.0)
REPEAT_SECONDS = (0.3, 6.0)
SERIES_SECONDS = (1.0, 2.0)
CHANGE_PAUSE_SECONDS = (0.1, 1.5)
OUTAGE_SECONDS = (0.5, 3.0)
COPY_AGE_SECONDS = (2.0, 8.0)
# A server goes on for the drain time and a little longer.
LEAVE_SECONDS = (2.3, 6.0)
STOP_READY_SECONDS = 30.0
POLL_SECONDS = 0.1
# Longer than an entry trusts the notice of a relay, 1.5 s here.
PAUSE_SECONDS = (1.0, 6.0)
DISTURBANCE_SECONDS = (1.0, 6.0)
# The whole list of a large deployment takes 1 to 10 s at these rates.
SLOW_BYTES_PER_SECOND = (50_000.0, 500_000.0)
BURST_SECONDS = (3.0, 12.0)
BURST_CONNECTION_COUNTS = (10, 60)
CRASHING_SECONDS = (5.0, 12.0)
# Time for an engine to start again after a crash.
ENGINE_START_SECONDS = 1.0
# Time for a plain server that is to crash to get a request.
CRASH_WAIT_SECONDS = 3.0
# Entries try to open the link to an absent agent ever more rarely.
AGENT_ABSENCE_SECONDS = (1.0, 5.0)
ORDER_WAIT_SECONDS = 4.0
# From the first order for a run until after the last one.
KILL_DELAY_SECONDS = (0.0, 0.8)
# Faults that need the links between entries to lead through proxies.
LINK_FAULTS = frozenset(('links_cut', 'links_silent', 'links_slow'))
# Faults that need streams which a leaving engine is ordered to stop.
STOP_FAULTS = frozenset(('agent_returns', 'agent_killed', 'odd_orders'))


@dataclass(frozen=True)
class FaultContext:
    """Hold what faults act on."""

    entries: tuple[Daemon, ...]
    agents: tuple[Daemon, ...]
    operator: Operator
    recorder: Recorder
    # Starts a server in place of one that leaves.
    replace_server: Callable[[StandInServer], None]
    links: LinkNetwork
    # Those that the entries share.
    processors: tuple[int, ...]


Fault = Callable[[FaultContext, random.Random], None]
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


def play_series(
    context: FaultContext,
    names: tuple[str, ...],
    seconds: float,
    random_source: random.Random,
) -> None:
    """Start faults one after the other; return when all have ended."""
    deadline = now() + seconds
    threads: list[threading.Thread] = []
    while now() < deadline:
        time.sleep(random_source.uniform(*FAULT_PAUSE_SECONDS))
        name = random_source.choice(names)
        own_source = random.Random(random_source.random())
        context.recorder.add(Played(name, now()))
        logger.info('fault %s', name)
        thread = threading.Thread(
            target=FAULTS[name], args=(context, own_source), daemon=True
        )
        thread.start()
        threads.append(thread)
    for started in threads:
        started.join()


@fault('sigterm')
def play_sigterm(context: FaultContext, draw: random.Random) -> None:
    """Stop an entry and start it again."""
    _stop_entries(context, draw, 1, ())


@fault('repeated_sigterm')
def play_repeated_sigterm(context: FaultContext, draw: random.Random) -> None:
    """Send an entry SIGTERM again while it drains."""
    numbers = (signal.SIGTERM, signal.SIGTERM, signal.SIGTERM)
    _stop_entries(context, draw, 1, numbers[: draw.randint(1, 3)])


@fault('sighup_around_stop')
def play_sighup_around_stop(context: FaultContext, draw: random.Random) -> None:
    """Send an entry SIGHUP before, during and after its drain."""
    for entry in context.entries:
        if draw.choice((True, False)) and entry.is_ready():
            entry.send_signal(signal.SIGHUP)
    time.sleep(draw.uniform(0, 1))
    _stop_entries(context, draw, 1, (signal.SIGHUP, signal.SIGHUP))
    for started in context.entries:
        if started.is_ready():
            started.send_signal(signal.SIGHUP)


@fault('sigterm_series')
def play_sigterm_series(context: FaultContext, draw: random.Random) -> None:
    """Stop several entries one or two seconds apart."""
    _stop_entries(context, draw, max(2, len(context.entries) // 2), ())


@fault('configurations')
def play_configurations(context: FaultContext, draw: random.Random) -> None:
    """Change the configuration several times."""
    for _ in range(draw.randint(1, 4)):
        context.operator.change_configuration()
        time.sleep(draw.uniform(*CHANGE_PAUSE_SECONDS))


@fault('one_configuration')
def play_one_configuration(context: FaultContext, draw: random.Random) -> None:
    """Change the configuration once, for lists that take a second to read."""
    context.operator.change_configuration()


@fault('server_leaves')
def play_server_leaves(context: FaultContext, draw: random.Random) -> None:
    """Replace a server that announces its leaving."""
    servers = [
        item for item in context.operator.servers() if not item.is_draining
    ]
    services = [server.service for server in servers]
    # One server of each service stays.
    leaving = [item for item in servers if services.count(item.service) > 1]
    if not leaving:
        return
    server = draw.choice(leaving)
    context.operator.announce_leaving(server)
    _replace_leaving(context, draw, server)


@fault('agent_returns')
def play_agent_returns(context: FaultContext, draw: random.Random) -> None:
    """Start a stopped agent again in the moment its engine leaves."""
    pair = _take_agent(context, draw)
    if pair is None:
        return
    agent, engine = pair
    try:
        agent.send_signal(signal.SIGTERM)
        agent.wait_for_exit(GRACE_SECONDS)
        time.sleep(draw.uniform(*AGENT_ABSENCE_SECONDS))
        leaves = not engine.is_draining
        if leaves:
            context.operator.announce_leaving(engine)
        agent.start()
    finally:
        agent.stop_lock.release()
    if leaves:
        _replace_leaving(context, draw, engine)


@fault('agent_killed')
def play_agent_killed(context: FaultContext, draw: random.Random) -> None:
    """Kill an agent around the last orders to its leaving engine."""
    pair = _take_agent(context, draw)
    if pair is None:
        return
    agent, engine = pair
    try:
        context.operator.announce_leaving(engine)
        for _ in range(draw.randint(1, 3)):
            engine.has_order.clear()
            if not engine.has_order.wait(ORDER_WAIT_SECONDS):
                break
            time.sleep(draw.uniform(*KILL_DELAY_SECONDS))
            agent.kill()
            time.sleep(draw.uniform(*RESTART_SECONDS))
            agent.start()
    finally:
        agent.stop_lock.release()
    _replace_leaving(context, draw, engine)


@fault('odd_orders')
def play_odd_orders(context: FaultContext, draw: random.Random) -> None:
    """Have a leaving engine answer some last orders oddly or not at all."""
    pair = _take_agent(context, draw)
    if pair is None:
        return
    agent, engine = pair
    agent.stop_lock.release()
    engine.has_odd_orders = True
    context.operator.announce_leaving(engine)
    time.sleep(draw.uniform(*DISTURBANCE_SECONDS))
    engine.has_odd_orders = False
    _replace_leaving(context, draw, engine)


@fault('agent_sigterm')
def play_agent_sigterm(context: FaultContext, draw: random.Random) -> None:
    """Stop an agent and start it again."""
    if not context.agents:
        return
    agent = draw.choice(context.agents)
    if agent.stop_lock.acquire(blocking=False):
        _stop_and_start(agent, draw, ())


@fault('store_unavailable')
def play_store_unavailable(context: FaultContext, draw: random.Random) -> None:
    """Have the store answer 503 for a time."""
    with context.operator.store_lock:
        context.operator.fail_store(draw.uniform(*OUTAGE_SECONDS))


@fault('store_silent')
def play_store_silent(context: FaultContext, draw: random.Random) -> None:
    """Have the store answer nothing for a time."""
    with context.operator.store_lock:
        context.operator.silence_store(draw.uniform(*OUTAGE_SECONDS))


@fault('store_restored')
def play_store_restored(context: FaultContext, draw: random.Random) -> None:
    """Bring the store back from a copy some seconds old."""
    with context.operator.store_lock:
        context.operator.restore_store(
            draw.uniform(*COPY_AGE_SECONDS), draw.uniform(*OUTAGE_SECONDS)
        )


@fault('store_silent_for_some')
def play_store_silent_for_some(
    context: FaultContext, draw: random.Random
) -> None:
    """Have the store answer nothing to some entries for a time."""
    callers = _draw_names(context, draw)
    with context.operator.store_lock:
        context.operator.silence_for_some(
            callers, draw.uniform(*DISTURBANCE_SECONDS)
        )


@fault('store_slow_for_some')
def play_store_slow_for_some(
    context: FaultContext, draw: random.Random
) -> None:
    """Have the store answer some entries slowly for a time."""
    callers = _draw_names(context, draw)
    with context.operator.store_lock:
        context.operator.slow_for_some(
            callers,
            draw.uniform(*SLOW_BYTES_PER_SECOND),
            draw.uniform(*DISTURBANCE_SECONDS),
        )


@fault('pause')
def play_pause(context: FaultContext, draw: random.Random) -> None:
    """Pause up to half of the entries at the same time."""
    count = draw.randint(1, max(len(context.entries) // 2, 1))
    seconds = draw.uniform(*PAUSE_SECONDS)
    threads: list[threading.Thread] = []
    for entry in draw.sample(context.entries, len(context.entries)):
        if len(threads) < count and _take_entry(context, entry):
            thread = threading.Thread(
                target=_pause, args=(entry, seconds), daemon=True
            )
            thread.start()
            threads.append(thread)
    for started in threads:
        started.join()


@fault('links_cut')
def play_links_cut(context: FaultContext, draw: random.Random) -> None:
    """Cut the links of an entry to the others for a time."""
    _disturb_links(context, draw, LinkState.cut)


@fault('links_silent')
def play_links_silent(context: FaultContext, draw: random.Random) -> None:
    """Hold back what an entry and the others send each other for a time."""
    _disturb_links(context, draw, LinkState.silent)


@fault('links_slow')
def play_links_slow(context: FaultContext, draw: random.Random) -> None:
    """Slow the links of an entry to the others down for a time."""
    _disturb_links(context, draw, LinkState.slow)


@fault('engine_crash')
def play_engine_crash(context: FaultContext, draw: random.Random) -> None:
    """Have clients send a part of prompts that crashes engines."""
    operator = context.operator
    operator.crashing_part = f'{CRASHING_MARK}{draw.getrandbits(16):04x}'
    deadline = now() + draw.uniform(*CRASHING_SECONDS)
    while now() < deadline:
        time.sleep(POLL_SECONDS)
        _replace_crashed(context)
    operator.crashing_part = ''
    # Requests that were sent before may still reach an engine.
    time.sleep(ENGINE_START_SECONDS)
    _replace_crashed(context)


@fault('plain_crash')
def play_plain_crash(context: FaultContext, draw: random.Random) -> None:
    """Have a plain server end within its next answer, and replace it."""
    servers = [
        item
        for item in context.operator.servers()
        if isinstance(item, PlainServer)
        and not (item.is_draining or item.crashes)
    ]
    services = [server.service for server in servers]
    # One server of each service stays.
    spare = [item for item in servers if services.count(item.service) > 1]
    if not spare:
        return
    server = draw.choice(spare)
    server.crashes = True
    deadline = now() + CRASH_WAIT_SECONDS
    while not server.is_stopped and now() < deadline:
        time.sleep(POLL_SECONDS)
    server.stop()
    time.sleep(ENGINE_START_SECONDS)
    if context.operator.remove_server(server):
        context.replace_server(server)


@fault('burst')
def play_burst(context: FaultContext, draw: random.Random) -> None:
    """Keep up to half of the entries busy with requests for a time."""
    count = draw.randint(1, max(len(context.entries) // 2, 1))
    entries = draw.sample(context.entries, count)
    connection_count = draw.randint(*BURST_CONNECTION_COUNTS)
    seconds = draw.uniform(*BURST_SECONDS)
    process = subprocess.Popen(
        (
            *(sys.executable, '-m', bursts.__name__),
            *(str(connection_count), str(seconds)),
            *(entry.address for entry in entries),
        ),
        stdin=subprocess.DEVNULL,
    )
    os.sched_setaffinity(process.pid, context.processors)
    process.wait()


def _replace_leaving(
    context: FaultContext, draw: random.Random, server: StandInServer
) -> None:
    """End a server that has announced its leaving, and start another."""
    time.sleep(draw.uniform(*LEAVE_SECONDS))
    if not context.operator.remove_server(server):
        # It has crashed meanwhile.
        return
    if isinstance(server, EngineServer):
        deadline = now() + GRACE_SECONDS
        while server.active and now() < deadline:
            time.sleep(POLL_SECONDS)
    else:
        time.sleep(draw.uniform(*CHANGE_PAUSE_SECONDS))
    server.stop()
    context.replace_server(server)


def _take_agent(
    context: FaultContext, draw: random.Random
) -> tuple[Daemon, EngineServer] | None:
    """Return an agent whose lock is then held, and its engine, which stays.

    None if another engine would not stay.
    """
    engines = {
        server.endpoint.partition(':')[0]: server
        for server in context.operator.servers()
        if isinstance(server, EngineServer) and not server.is_draining
    }
    if len(engines) > 1:
        for agent in draw.sample(context.agents, len(context.agents)):
            engine = engines.get(agent.address)
            if engine is not None and agent.stop_lock.acquire(blocking=False):
                return agent, engine
    return None


def _draw_names(context: FaultContext, draw: random.Random) -> list[str]:
    """Return the names of up to two thirds of the entries."""
    names = [entry.name for entry in context.entries]
    count = draw.randint(1, max(len(names) * 2 // 3, 1))
    return draw.sample(names, count)


def _disturb_links(
    context: FaultContext, draw: random.Random, state: LinkState
) -> None:
    entry = draw.choice(context.entries)
    began_at_seconds = now()
    context.links.disturb(
        entry.address, state, draw.uniform(*DISTURBANCE_SECONDS)
    )
    context.recorder.add(
        Disturbance(entry.name, began_at_seconds, now(), f'links {state}')
    )


def _pause(entry: Daemon, seconds: float) -> None:
    """Pause a daemon whose lock is held and release the lock."""
    try:
        entry.pause(seconds)
    finally:
        entry.stop_lock.release()


def _replace_crashed(context: FaultContext) -> None:
    for server in context.operator.servers():
        if isinstance(server, EngineServer) and server.is_crashed:
            if context.operator.remove_server(server):
                time.sleep(ENGINE_START_SECONDS)
                context.replace_server(server)


def _stop_entries(
    context: FaultContext,
    draw: random.Random,
    count: int,
    repeated: tuple[signal.Signals, ...],
) -> None:
    """Stop up to `count` entries; one at least goes on serving."""
    threads: list[threading.Thread] = []
    for entry in draw.sample(context.entries, len(context.entries)):
        if len(threads) == count:
            break
        if not _take_entry(context, entry):
            continue
        if threads:
            time.sleep(draw.uniform(*SERIES_SECONDS))
        own_source = random.Random(draw.random())
        thread = threading.Thread(
            target=_stop_and_start,
            args=(entry, own_source, repeated),
            daemon=True,
        )
        thread.start()
        threads.append(thread)
    for started in threads:
        started.join()


def _take_entry(context: FaultContext, entry: Daemon) -> bool:
    if not entry.is_ready() or not entry.stop_lock.acquire(blocking=False):
        return False
    others = [item for item in context.entries if item is not entry]
    if any(not item.stop_lock.locked() for item in others):
        return True
    entry.stop_lock.release()
    return False


def _stop_and_start(
    daemon: Daemon,
    draw: random.Random,
    repeated: tuple[signal.Signals, ...],
) -> None:
    """Stop a daemon whose lock is held, start it and release the lock."""
    try:
        end_seconds = now() + GRACE_SECONDS
        daemon.send_signal(signal.SIGTERM)
        moments = sorted(draw.uniform(*REPEAT_SECONDS) for _ in repeated)
        begun_seconds = now()
        for moment_seconds, number in zip(moments, repeated, strict=True):
            time.sleep(max(begun_seconds + moment_seconds - now(), 0))
            daemon.send_signal(number)
        daemon.wait_for_exit(max(end_seconds - now(), 0))
        time.sleep(draw.uniform(*RESTART_SECONDS))
        daemon.start()
        if daemon.is_entry:
            _wait_until_ready(daemon)
    finally:
        daemon.stop_lock.release()


def _wait_until_ready(daemon: Daemon) -> None:
    deadline = now() + STOP_READY_SECONDS
    while now() < deadline and not daemon.is_ready():
        time.sleep(POLL_SECONDS)

"""Faults that a history injects, by name."""

import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from wasabistream_tools.fleet import Fleet
from wasabistream_tools.history_events import (
    BroughtBack,
    Paused,
    Published,
    Recorder,
    Stopped,
    TakenOut,
    now,
)
from wasabistream_tools.link_proxies import LinkProxy

PAUSE_SECONDS = 4.0
RESTART_SECONDS = 0.5
OUT_SECONDS = 7.0
# Time in which a load balancer notices that an entry drains.
PROBE_SECONDS = 0.5
LINK_FAULT_SECONDS = 3.0
PLATFORM_FAULT_SECONDS = 6.0


@dataclass
class FaultContext:
    """Hold what a fault acts on."""

    fleet: Fleet
    recorder: Recorder
    random: random.Random
    link_proxies: dict[str, LinkProxy]
    document: dict

    def choose(self, prefix: str) -> str:
        """Return the name of a process by its prefix."""
        names = [name for name in self.fleet.vms if name.startswith(prefix)]
        return self.random.choice(names)

    def publish(self, **changes: object) -> None:
        """Promote the next revision of the document."""
        self.document = {
            **self.document,
            **changes,
            'revision': self.document['revision'] + 1,
        }
        self.fleet.publish_document(self.document)
        self.recorder.add(Published(now(), self.document['revision']))


Fault = Callable[[FaultContext], None]

FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under a name."""

    def register(inject: Fault) -> Fault:
        FAULTS[name] = inject
        return inject

    return register


@fault('kill_entry')
def kill_entry(context: FaultContext) -> None:
    """Kill an entry and replace it."""
    _replace(context, context.choose('entry-'))


@fault('kill_engine_agent')
def kill_engine_agent(context: FaultContext) -> None:
    """Kill the agent of an engine and replace it."""
    _replace(context, context.choose('engine-'))


@fault('kill_service_agent')
def kill_service_agent(context: FaultContext) -> None:
    """Kill the agent of a plain service and replace it."""
    _replace(context, context.choose('booking-'))


@fault('pause_entry')
def pause_entry(context: FaultContext) -> None:
    """Freeze an entry and wake it."""
    _pause(context, context.choose('entry-'))


@fault('pause_service_agent')
def pause_service_agent(context: FaultContext) -> None:
    """Freeze the agent of a plain service and wake it."""
    _pause(context, context.choose('booking-'))


@fault('pause_engine_agent')
def pause_engine_agent(context: FaultContext) -> None:
    """Freeze the agent of an engine and wake it."""
    _pause(context, context.choose('engine-'))


@fault('stop_entry')
def stop_entry(context: FaultContext) -> None:
    """Shut an entry down gracefully and replace it."""
    _stop(context, context.choose('entry-'))


@fault('stop_engine_agent')
def stop_engine_agent(context: FaultContext) -> None:
    """Shut the agent of an engine down gracefully and replace it."""
    _stop(context, context.choose('engine-'))


@fault('crash_engine')
def crash_engine(context: FaultContext) -> None:
    """Let an engine lose everything and restart."""
    _tell(context, f'{context.choose("engine-")}-engine', 'crash')


@fault('cold_engine')
def cold_engine(context: FaultContext) -> None:
    """Return an engine to a cold start without notice."""
    _tell(context, f'{context.choose("engine-")}-engine', 'cold')


@fault('lose_answers')
def lose_answers(context: FaultContext) -> None:
    """Let a plain service run calls and lose their answers."""
    name = f'{context.choose("booking-")}-service'
    _tell(context, name, 'lose_answers')
    time.sleep(LINK_FAULT_SECONDS)
    _tell(context, name, 'keep_answers')


@fault('cut_link')
def cut_link(context: FaultContext) -> None:
    """Cut the links of an agent."""
    _choose_link_proxy(context).cut(LINK_FAULT_SECONDS)


@fault('stall_link')
def stall_link(context: FaultContext) -> None:
    """Stall the links of an agent both ways."""
    _choose_link_proxy(context).stall(LINK_FAULT_SECONDS, True, True)


@fault('stall_answers')
def stall_answers(context: FaultContext) -> None:
    """Stall the links of an agent one way, from the agent."""
    _choose_link_proxy(context).stall(LINK_FAULT_SECONDS, False, True)


@fault('configuration_down')
def configuration_down(context: FaultContext) -> None:
    """Take the configuration service down and bring it back."""
    _platform(context, 'down=true')


@fault('configuration_stale')
def configuration_stale(context: FaultContext) -> None:
    """Let the configuration service answer older values."""
    context.publish()
    time.sleep(PLATFORM_FAULT_SECONDS)
    # Index 2 is the first document and the first VM list.
    _platform(context, 'stale_index=2')


@fault('data_centre_out')
def data_centre_out(context: FaultContext) -> None:
    """Take a data centre out and bring it back."""
    centres = context.document['data_centres']
    name = context.random.choice(centres)['name']
    marked = [
        {**centre, 'in_service': centre['name'] != name} for centre in centres
    ]
    context.publish(data_centres=marked)
    context.recorder.add(TakenOut(now(), data_centre=name))
    time.sleep(OUT_SECONDS)
    context.recorder.add(BroughtBack(now(), data_centre=name))
    context.publish(data_centres=centres)


@fault('backend_out')
def backend_out(context: FaultContext) -> None:
    """Take a backend server out and bring it back."""
    name = context.choose('engine-')
    context.publish(backend_servers_out=[name])
    context.recorder.add(TakenOut(now(), backend=name))
    time.sleep(OUT_SECONDS)
    context.recorder.add(BroughtBack(now(), backend=name))
    context.publish(backend_servers_out=[])


@fault('drop_from_list')
def drop_from_list(context: FaultContext) -> None:
    """Drop a running agent of a service from the VM list, and add it."""
    name = context.choose('booking-')
    vm = context.fleet.vms.pop(name)
    context.fleet.publish_vms()
    time.sleep(LINK_FAULT_SECONDS)
    context.fleet.vms[name] = vm
    context.fleet.publish_vms()


def _replace(context: FaultContext, name: str) -> None:
    context.fleet.processes[name].process.kill()
    time.sleep(RESTART_SECONDS)
    context.fleet.restart(name)


def _pause(context: FaultContext, name: str) -> None:
    context.recorder.add(Paused(now(), name, now() + PAUSE_SECONDS))
    context.fleet.send_signal(name, signal.SIGSTOP)
    time.sleep(PAUSE_SECONDS)
    context.fleet.send_signal(name, signal.SIGCONT)


def _stop(context: FaultContext, name: str) -> None:
    told_at_seconds = now()
    threading.Timer(
        PROBE_SECONDS, context.fleet.out_of_rotation.add, (name,)
    ).start()
    process = context.fleet.processes[name].process
    process.terminate()
    exit_code = process.wait()
    context.recorder.add(Stopped(now(), name, told_at_seconds, exit_code))
    context.fleet.restart(name)
    context.fleet.out_of_rotation.discard(name)


def _tell(context: FaultContext, name: str, fault_name: str) -> None:
    url = context.fleet.processes[name].url
    context.fleet.http.request('POST', f'{url}/stand-in/{fault_name}')


def _platform(context: FaultContext, query: str) -> None:
    url = f'{context.fleet.configuration.url}/stand-in/faults'
    context.fleet.http.request('POST', f'{url}?{query}')
    time.sleep(PLATFORM_FAULT_SECONDS)
    context.fleet.http.request('POST', url)


def _choose_link_proxy(context: FaultContext) -> LinkProxy:
    return context.random.choice(list(context.link_proxies.values()))

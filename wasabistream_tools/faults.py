"""Faults that a run of a history can inject, registered by name."""

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

PROCESS_PAUSE_SECONDS = 4.0
RESTART_DELAY_SECONDS = 0.5
OUT_OF_SERVICE_SECONDS = 7.0
# Time after which a load balancer notices that an entry drains and sends it
# no more requests.
DRAIN_DETECTION_SECONDS = 0.5
LINK_FAULT_SECONDS = 3.0
CONFIGURATION_FAULT_SECONDS = 6.0


@dataclass
class FaultContext:
    """Hold the fleet and other objects that a fault acts on."""

    fleet: Fleet
    recorder: Recorder
    random: random.Random
    link_proxies: dict[str, LinkProxy]
    document: dict

    def choose_name(self, prefix: str) -> str:
        """Return a random daemon's name that starts with a prefix."""
        names = [name for name in self.fleet.vms if name.startswith(prefix)]
        return self.random.choice(names)

    def publish(self, **changes: object) -> None:
        """Publish the next revision of the document, with changed fields."""
        self.document = {
            **self.document,
            **changes,
            'revision': self.document['revision'] + 1,
        }
        self.fleet.publish_document(self.document)
        self.recorder.add(Published(now(), self.document['revision']))


Fault = Callable[[FaultContext], None]

FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Return a decorator that registers a fault under a name."""

    def register(inject: Fault) -> Fault:
        FAULTS[name] = inject
        return inject

    return register


@register_fault('kill_entry')
def kill_entry(context: FaultContext) -> None:
    """Kill an entry and restart it."""
    _kill_and_restart(context, context.choose_name('entry-'))


@register_fault('kill_engine_agent')
def kill_engine_agent(context: FaultContext) -> None:
    """Kill the agent of an engine and restart it."""
    _kill_and_restart(context, context.choose_name('engine-'))


@register_fault('kill_service_agent')
def kill_service_agent(context: FaultContext) -> None:
    """Kill the agent of a plain service and restart it."""
    _kill_and_restart(context, context.choose_name('booking-'))


@register_fault('pause_entry')
def pause_entry(context: FaultContext) -> None:
    """Pause an entry by a signal and resume it."""
    _pause_and_resume(context, context.choose_name('entry-'))


@register_fault('pause_service_agent')
def pause_service_agent(context: FaultContext) -> None:
    """Pause the agent of a plain service by a signal and resume it."""
    _pause_and_resume(context, context.choose_name('booking-'))


@register_fault('pause_engine_agent')
def pause_engine_agent(context: FaultContext) -> None:
    """Pause the agent of an engine by a signal and resume it."""
    _pause_and_resume(context, context.choose_name('engine-'))


@register_fault('stop_entry')
def stop_entry(context: FaultContext) -> None:
    """Shut an entry down gracefully and restart it."""
    _stop_and_restart(context, context.choose_name('entry-'))


@register_fault('stop_engine_agent')
def stop_engine_agent(context: FaultContext) -> None:
    """Shut the agent of an engine down gracefully and restart it."""
    _stop_and_restart(context, context.choose_name('engine-'))


@register_fault('crash_engine')
def crash_engine(context: FaultContext) -> None:
    """Crash an engine, which drops all sequences and restarts cold."""
    _inject_at_stand_in(
        context, f'{context.choose_name("engine-")}-engine', 'crash'
    )


@register_fault('cold_engine')
def cold_engine(context: FaultContext) -> None:
    """Make an engine cold while it runs, without a crash or a restart."""
    _inject_at_stand_in(
        context, f'{context.choose_name("engine-")}-engine', 'cold'
    )


@register_fault('lose_answers')
def lose_answers(context: FaultContext) -> None:
    """Make a plain service run calls without answering them, for a time."""
    name = f'{context.choose_name("booking-")}-service'
    _inject_at_stand_in(context, name, 'lose_answers')
    time.sleep(LINK_FAULT_SECONDS)
    _inject_at_stand_in(context, name, 'keep_answers')


@register_fault('cut_link')
def cut_link(context: FaultContext) -> None:
    """Cut the links of an agent and refuse new ones for a time."""
    _choose_link_proxy(context).cut(LINK_FAULT_SECONDS)


@register_fault('stall_link')
def stall_link(context: FaultContext) -> None:
    """Stall the links of an agent in both directions."""
    _choose_link_proxy(context).stall(LINK_FAULT_SECONDS, True, True)


@register_fault('stall_answers')
def stall_answers(context: FaultContext) -> None:
    """Stall what an agent sends on its links, but not what it receives."""
    _choose_link_proxy(context).stall(LINK_FAULT_SECONDS, False, True)


@register_fault('configuration_down')
def configuration_down(context: FaultContext) -> None:
    """Take the configuration service down and bring it back."""
    _inject_at_configuration(context, 'down=true')


@register_fault('configuration_stale')
def configuration_stale(context: FaultContext) -> None:
    """Make the configuration service return outdated values."""
    context.publish()
    time.sleep(CONFIGURATION_FAULT_SECONDS)
    # Reads return the first document (index 1) and VM list (index 2).
    _inject_at_configuration(context, 'stale_index=2')


@register_fault('data_centre_out')
def data_centre_out(context: FaultContext) -> None:
    """Take a data centre out of service and put it back."""
    centres = context.document['data_centres']
    name = context.random.choice(centres)['name']
    updated_centres = [
        {**centre, 'in_service': centre['name'] != name} for centre in centres
    ]
    context.publish(data_centres=updated_centres)
    context.recorder.add(TakenOut(now(), data_centre=name))
    time.sleep(OUT_OF_SERVICE_SECONDS)
    context.recorder.add(BroughtBack(now(), data_centre=name))
    context.publish(data_centres=centres)


@register_fault('backend_out')
def backend_out(context: FaultContext) -> None:
    """Take a backend server out of service and put it back."""
    name = context.choose_name('engine-')
    context.publish(backend_servers_out=[name])
    context.recorder.add(TakenOut(now(), backend=name))
    time.sleep(OUT_OF_SERVICE_SECONDS)
    context.recorder.add(BroughtBack(now(), backend=name))
    context.publish(backend_servers_out=[])


@register_fault('drop_from_list')
def drop_from_list(context: FaultContext) -> None:
    """Remove a running service agent from the VM list and add it again."""
    name = context.choose_name('booking-')
    vm = context.fleet.vms.pop(name)
    context.fleet.publish_vms()
    time.sleep(LINK_FAULT_SECONDS)
    context.fleet.vms[name] = vm
    context.fleet.publish_vms()


def _kill_and_restart(context: FaultContext, name: str) -> None:
    context.fleet.processes[name].process.kill()
    time.sleep(RESTART_DELAY_SECONDS)
    context.fleet.restart(name)


def _pause_and_resume(context: FaultContext, name: str) -> None:
    context.recorder.add(Paused(now(), name, now() + PROCESS_PAUSE_SECONDS))
    context.fleet.send_signal(name, signal.SIGSTOP)
    time.sleep(PROCESS_PAUSE_SECONDS)
    context.fleet.send_signal(name, signal.SIGCONT)


def _stop_and_restart(context: FaultContext, name: str) -> None:
    told_at_seconds = now()
    threading.Timer(
        DRAIN_DETECTION_SECONDS, context.fleet.out_of_rotation.add, (name,)
    ).start()
    process = context.fleet.processes[name].process
    process.terminate()
    exit_code = process.wait()
    context.recorder.add(Stopped(now(), name, told_at_seconds, exit_code))
    context.fleet.restart(name)
    context.fleet.out_of_rotation.discard(name)


def _inject_at_stand_in(
    context: FaultContext, name: str, fault_name: str
) -> None:
    url = context.fleet.processes[name].url
    context.fleet.http.request('POST', f'{url}/stand-in/{fault_name}')


def _inject_at_configuration(context: FaultContext, query: str) -> None:
    url = f'{context.fleet.configuration.url}/stand-in/faults'
    context.fleet.http.request('POST', f'{url}?{query}')
    time.sleep(CONFIGURATION_FAULT_SECONDS)
    context.fleet.http.request('POST', url)


def _choose_link_proxy(context: FaultContext) -> LinkProxy:
    return context.random.choice(list(context.link_proxies.values()))

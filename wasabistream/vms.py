"""The VM list: the VMs of an environment and their states."""

import hashlib
import json
import logging
from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property
from typing import Any

import cattrs

from wasabistream.exceptions import ConfigurationError
from wasabistream.units import MAX_PORT

logger = logging.getLogger(__name__)


class VmState(StrEnum):
    """State of a VM on the list; a leaving one gets no new work."""

    live = 'live'
    leaving = 'leaving'


class Role(StrEnum):
    """Role of the process on a VM."""

    entry = 'entry'
    agent = 'agent'


@dataclass(frozen=True)
class Vm:
    """Describe one VM on the list."""

    id: str
    role: Role
    address: str
    link_port: int
    data_centre: str
    state: VmState = VmState.live
    # Name of the plain service; empty for an entry or an engine's agent.
    service: str = ''


@dataclass(frozen=True)
class VmList:
    """Hold the VM list at one index.

    The index is that of the configuration service; it orders the lists.
    """

    index: int
    vms: tuple[Vm, ...]

    @cached_property
    def vms_by_id(self) -> dict[str, Vm]:
        """Return the VMs by id."""
        return {vm.id: vm for vm in self.vms}

    def is_leaving(self, vm_id: str) -> bool:
        """Tell whether the list shows a VM as leaving."""
        return any(
            vm.id == vm_id and vm.state == VmState.leaving for vm in self.vms
        )

    def agents_of_service(self, service: str) -> tuple[Vm, ...]:
        """Return the agents of a plain service, sorted by id."""
        return tuple(
            sorted(
                (
                    vm
                    for vm in self.vms
                    if vm.role == Role.agent and vm.service == service
                ),
                key=lambda vm: vm.id,
            )
        )

    def digest(self) -> str:
        """Return a short digest of ids and states in any order."""
        vm_lines = sorted(f'{vm.id}={vm.state}' for vm in self.vms)
        return hashlib.sha256('\n'.join(vm_lines).encode()).hexdigest()[:16]


def decode_vm_list(body: bytes) -> dict[str, Any]:
    """Return the raw JSON object of a VM list; raises ConfigurationError.

    Entries that describe no VM are left out, so that the others stay in use.
    """
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(repr(error), 'VM list') from error
    if not isinstance(raw, dict) or not isinstance(raw.get('vms'), list):
        raise ConfigurationError('no list of VMs', 'VM list')
    return {**raw, 'vms': _drop_invalid(raw['vms'])}


def parse_vm_list(body: bytes, index: int) -> VmList:
    """Parse a VM list; raises ConfigurationError."""
    listed = decode_vm_list(body)['vms']
    return VmList(index, cattrs.structure(listed, tuple[Vm, ...]))


def _drop_invalid(listed: list[Any]) -> list[Any]:
    valid = []
    for raw_vm in listed:
        try:
            _check_vm(raw_vm)
        except (cattrs.BaseValidationError, ValueError, TypeError) as error:
            logger.error('VM list: entry is left out: %r', error)
            continue
        valid.append(raw_vm)
    return valid


def _check_vm(raw_vm: Any) -> None:
    vm = cattrs.structure(raw_vm, Vm)
    if not 0 < vm.link_port <= MAX_PORT:
        raise ValueError(f'link port {vm.link_port} is out of range')

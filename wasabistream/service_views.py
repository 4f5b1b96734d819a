"""View of one plain service: its agents and which of them own keys."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from wasabistream.digests import hash64
from wasabistream.documents import Document
from wasabistream.vms import Vm, VmList, VmState


@dataclass(frozen=True, order=True)
class ServiceMember:
    """Name one agent of a service and where it listens."""

    member_id: str
    address: str = ''
    port: int = 0


@dataclass(frozen=True)
class ServiceView:
    """Hold the agents of a service by one VM list and one document."""

    list_index: int
    revision: int
    members: tuple[ServiceMember, ...]
    # Members that may own keys; those that leave or are out only vote.
    owners: tuple[str, ...]

    @property
    def order(self) -> tuple[int, int]:
        """Return the key by which views are ordered."""
        return (self.list_index, self.revision)

    @cached_property
    def member_ids(self) -> frozenset[str]:
        """Return the ids of all members."""
        return frozenset(member.member_id for member in self.members)

    @cached_property
    def digest(self) -> str:
        """Return a digest of members and owners, without index or revision."""
        members = ','.join(sorted(self.member_ids))
        owners = ','.join(sorted(self.owners))
        return f'{hash64(members, owners):016x}'

    def has_majority(self, present: Collection[str]) -> bool:
        """Tell whether more than half of the members are present."""
        return 2 * len(self.member_ids.intersection(present)) > len(
            self.member_ids
        )

    def pack(self) -> list[Any]:
        """Return the fields for a message."""
        members = [
            [item.member_id, item.address, item.port] for item in self.members
        ]
        return [self.list_index, self.revision, members, list(self.owners)]


def unpack_view(packed: Sequence[Any]) -> ServiceView:
    """Build a view from its packed fields; raises ValueError, TypeError."""
    list_index, revision, members, owners = packed
    return ServiceView(
        int(list_index),
        int(revision),
        tuple(
            ServiceMember(str(member_id), str(address), int(port))
            for member_id, address, port in members
        ),
        tuple(str(owner) for owner in owners),
    )


def build_service_view(
    vm_list: VmList, document: Document, service: str
) -> ServiceView:
    """Return the view of a service; entries and agents use this alike."""
    vms = vm_list.of_service(service)
    owners = [vm.id for vm in vms if _may_own(vm, document)]
    return ServiceView(
        vm_list.index,
        document.revision,
        tuple(ServiceMember(vm.id, vm.address, vm.link_port) for vm in vms),
        tuple(owners or [vm.id for vm in vms]),
    )


def _may_own(vm: Vm, document: Document) -> bool:
    return (
        vm.state == VmState.live
        and vm.id not in document.backend_servers_out
        and document.data_centre_in_service(vm.data_centre)
    )

"""View of a plain service: its agents, and those that may own keys."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from wasabistream.digests import hash64
from wasabistream.documents import Document
from wasabistream.vms import Vm, VmList, VmState


@dataclass(frozen=True, order=True)
class ServiceMember:
    """Identify an agent of a service by id and link address."""

    member_id: str
    address: str = ''
    port: int = 0


@dataclass(frozen=True)
class ServiceView:
    """Hold the agents of a service as of one VM list and one document."""

    list_index: int
    revision: int
    members: tuple[ServiceMember, ...]
    # Members that may own keys. Members that are leaving or taken out of
    # service only count towards majorities.
    eligible_owners: tuple[str, ...]

    @property
    def order(self) -> tuple[int, int]:
        """Return the list index and document revision, which order views."""
        return (self.list_index, self.revision)

    @cached_property
    def member_ids(self) -> frozenset[str]:
        """Return the ids of all members."""
        return frozenset(member.member_id for member in self.members)

    @cached_property
    def digest(self) -> str:
        """Return a digest of the member and owner ids only."""
        members = ','.join(sorted(self.member_ids))
        owners = ','.join(sorted(self.eligible_owners))
        return f'{hash64(members, owners):016x}'

    def has_majority(self, confirming_ids: Collection[str]) -> bool:
        """Tell whether the given ids include more than half of the members."""
        return 2 * len(self.member_ids.intersection(confirming_ids)) > len(
            self.member_ids
        )

    def pack(self) -> list[Any]:
        """Return the fields as a list for a link message."""
        members = [
            [item.member_id, item.address, item.port] for item in self.members
        ]
        return [
            self.list_index,
            self.revision,
            members,
            list(self.eligible_owners),
        ]


def unpack_view(packed: Sequence[Any]) -> ServiceView:
    """Build a view from `pack` output; raises ValueError or TypeError."""
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
    """Return the view of a service; entries and agents must agree on it."""
    vms = vm_list.agents_of_service(service)
    owners = [vm.id for vm in vms if _may_own_keys(vm, document)]
    return ServiceView(
        vm_list.index,
        document.revision,
        tuple(ServiceMember(vm.id, vm.address, vm.link_port) for vm in vms),
        tuple(owners or [vm.id for vm in vms]),
    )


def _may_own_keys(vm: Vm, document: Document) -> bool:
    return (
        vm.state == VmState.live
        and vm.id not in document.backend_servers_out
        and document.is_data_centre_in_service(vm.data_centre)
    )

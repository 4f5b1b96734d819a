"""Relay of parts of the VM list from an entry to its agents."""

import threading
import time
from dataclasses import asdict

from wasabistream.configuration_notices import VmListDigest, VmListFetch
from wasabistream.documents import canonical_json, digest_of
from wasabistream.link_senders import send_or_log
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.notices import VmListBody
from wasabistream.vm_list_stores import VmListStore
from wasabistream.vms import Role, VmList

# Calls that may run once depend on the age of the list.
REPEAT_SECONDS = 5.0
DIGEST_CHARACTERS = 16


class VmListSubsetRelay:
    """Tell each agent of the VMs that matter to it.

    An agent of a plain service needs all agents of the service; an agent of
    an engine needs the engines of its data centre. Only the digest goes to
    an agent unasked, and the agent fetches the part from one entry.
    """

    def __init__(self, store: VmListStore) -> None:
        self._store = store
        self._lock = threading.Lock()
        self._links: set[Link] = set()
        self._parts: dict[tuple[int, str, str], tuple[str, bytes]] = {}
        self._repeat_seconds = 0.0
        store.subscribe(self._announce)

    def on_link_opened(self, link: Link) -> None:
        """Tell a new agent the digest of its part."""
        with self._lock:
            self._links.add(link)
        self._send_digest(link)

    def on_link_closed(self, link: Link) -> None:
        """Forget a link that ended."""
        with self._lock:
            self._links.discard(link)

    def handle(self, link: Link, message: Message) -> None:
        """Send its part to an agent that asks."""
        if not isinstance(message, VmListFetch):
            return
        held = self._store.latest
        part = self._part_of(link)
        if held and part:
            send_or_log(
                link,
                VmListBody(
                    held.vm_list.index, self._store.read_age_seconds, part[1]
                ),
            )

    def tick(self) -> None:
        """Repeat the age of the list to agents of plain services."""
        now = time.monotonic()
        if now < self._repeat_seconds:
            return
        self._repeat_seconds = now + REPEAT_SECONDS
        for link in self._all_links():
            if self._group_of(link)[0]:
                self._send_digest(link)

    def _announce(self, vm_list: VmList) -> None:
        for link in self._all_links():
            self._send_digest(link)

    def _all_links(self) -> list[Link]:
        with self._lock:
            return list(self._links)

    def _send_digest(self, link: Link) -> None:
        held = self._store.latest
        part = self._part_of(link)
        if held and part:
            send_or_log(
                link,
                VmListDigest(
                    held.vm_list.index, part[0], self._store.read_age_seconds
                ),
            )

    def _group_of(self, link: Link) -> tuple[str, str]:
        """Return the service, or no service and the data centre."""
        held = self._store.latest
        vm = held.vm_list.by_id.get(link.peer.peer_id) if held else None
        if vm is None:
            return ('', link.peer.data_centre)
        return (vm.service, '' if vm.service else vm.data_centre)

    def _part_of(self, link: Link) -> tuple[str, bytes] | None:
        held = self._store.latest
        if held is None:
            return None
        key = (held.vm_list.index, *self._group_of(link))
        with self._lock:
            if key not in self._parts:
                self._parts = {
                    old: part
                    for old, part in self._parts.items()
                    if old[0] == key[0]
                }
                body = _part_body(held.vm_list, key[1], key[2])
                digest = digest_of(body)[:DIGEST_CHARACTERS]
                self._parts[key] = (digest, body)
            return self._parts[key]


def _part_body(vm_list: VmList, service: str, data_centre: str) -> bytes:
    vms = [
        asdict(vm)
        for vm in vm_list.vms
        if vm.role == Role.agent
        and vm.service == service
        and data_centre in {'', vm.data_centre}
    ]
    return canonical_json({'vms': sorted(vms, key=lambda vm: str(vm['id']))})

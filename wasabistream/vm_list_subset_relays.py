"""Relay of subsets of the VM list from an entry to its agents."""

import threading
import time
from dataclasses import asdict

from wasabistream.configuration_notices import VmListDigest, VmListFetch
from wasabistream.documents import canonical_json, compute_digest
from wasabistream.link_senders import send_or_log
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.notices import VmListBody
from wasabistream.vm_list_stores import VmListStore
from wasabistream.vms import Role, VmList

# Whether an agent may run calls that must not run twice depends on the time
# since its VM list was last read (`list_hold_seconds` of the service).
AGE_UPDATE_INTERVAL_SECONDS = 5.0
DIGEST_CHARACTERS = 16


class VmListSubsetRelay:
    """Announce to each agent the VMs that it needs to know, and send them.

    An agent of a plain service needs all agents of the service; an agent of
    a model engine needs the engines of its data centre, among which the models
    are placed. All entries announce the digest of the subset, and the agent
    fetches the body from one of them.
    """

    def __init__(self, store: VmListStore) -> None:
        self._store = store
        self._lock = threading.Lock()
        self._links: set[Link] = set()
        # Digest and body by list digest, service and data centre.
        self._subsets: dict[tuple[str, str, str], tuple[str, bytes]] = {}
        self._next_age_update_seconds = 0.0
        store.subscribe(self._announce)

    def on_link_opened(self, link: Link) -> None:
        """Announce its subset to an agent that has connected."""
        with self._lock:
            self._links.add(link)
        self._send_digest(link)

    def on_link_closed(self, link: Link) -> None:
        """Forget a link that ended."""
        with self._lock:
            self._links.discard(link)

    def handle(self, link: Link, message: Message) -> None:
        """Send its subset to an agent that fetches it."""
        if not isinstance(message, VmListFetch):
            return
        version = self._store.latest
        subset = self._subset_for(link)
        if version and subset:
            send_or_log(
                link,
                VmListBody(
                    version.vm_list.index,
                    self._store.read_age_seconds,
                    subset[1],
                ),
            )

    def tick(self) -> None:
        """Send the age of the list to agents of plain services when due."""
        now = time.monotonic()
        if now < self._next_age_update_seconds:
            return
        self._next_age_update_seconds = now + AGE_UPDATE_INTERVAL_SECONDS
        for link in self._all_links():
            if self._subset_key_for(link)[0]:
                self._send_digest(link)

    def _announce(self, vm_list: VmList) -> None:
        for link in self._all_links():
            self._send_digest(link)

    def _all_links(self) -> list[Link]:
        with self._lock:
            return list(self._links)

    def _send_digest(self, link: Link) -> None:
        version = self._store.latest
        subset = self._subset_for(link)
        if version and subset:
            send_or_log(
                link,
                VmListDigest(
                    version.vm_list.index,
                    subset[0],
                    self._store.read_age_seconds,
                ),
            )

    def _subset_key_for(self, link: Link) -> tuple[str, str]:
        """Return service and data centre by which the VMs are selected.

        An agent of a plain service has no data centre here; an agent of an
        engine, or one that is not on the list yet, has no service.
        """
        version = self._store.latest
        vm = (
            version.vm_list.vms_by_id.get(link.peer.peer_id)
            if version
            else None
        )
        if vm is None:
            return ('', link.peer.data_centre)
        return (vm.service, '' if vm.service else vm.data_centre)

    def _subset_for(self, link: Link) -> tuple[str, bytes] | None:
        version = self._store.latest
        if version is None:
            return None
        key = (version.digest, *self._subset_key_for(link))
        with self._lock:
            if key not in self._subsets:
                self._subsets = {
                    cached_key: subset
                    for cached_key, subset in self._subsets.items()
                    if cached_key[0] == key[0]
                }
                body = _build_subset_body(version.vm_list, key[1], key[2])
                digest = compute_digest(body)[:DIGEST_CHARACTERS]
                self._subsets[key] = (digest, body)
            return self._subsets[key]


def _build_subset_body(
    vm_list: VmList, service: str, data_centre: str
) -> bytes:
    vms = [
        asdict(vm)
        for vm in vm_list.vms
        if vm.role == Role.agent
        and vm.service == service
        and data_centre in {'', vm.data_centre}
    ]
    return canonical_json({'vms': sorted(vms, key=lambda vm: str(vm['id']))})

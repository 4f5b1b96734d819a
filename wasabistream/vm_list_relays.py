"""Relay of the VM list from an entry to the agents of plain services."""

import json
import threading
import time
from collections.abc import Callable
from dataclasses import asdict

from wasabistream.backends import BackendDirectory
from wasabistream.exceptions import LinkError
from wasabistream.links import Link
from wasabistream.notices import VmListBody
from wasabistream.vms import VmList

POLL_SECONDS = 0.5
# Time between repeats that only tell how old the last read is.
REPEAT_SECONDS = 5.0


class VmListRelay:
    """Send each agent of a plain service the part about its service."""

    def __init__(
        self, directory: BackendDirectory, read_age: Callable[[], float]
    ) -> None:
        self._directory = directory
        self._read_age = read_age
        self._vm_list: VmList | None = None
        self._sent: dict[Link, tuple[int, float]] = {}
        self._stopped = threading.Event()
        self._wake = threading.Event()

    def start(self) -> None:
        """Start to send."""
        threading.Thread(target=self._run, name='vm-list', daemon=True).start()

    def stop(self) -> None:
        """Stop to send."""
        self._stopped.set()
        self._wake.set()

    def publish(self, vm_list: VmList) -> None:
        """Send a new list."""
        self._vm_list = vm_list
        self._wake.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            if self._vm_list is not None:
                self._send_all(self._vm_list)
            self._wake.wait(POLL_SECONDS)
            self._wake.clear()

    def _send_all(self, vm_list: VmList) -> None:
        now = time.monotonic()
        sent: dict[Link, tuple[int, float]] = {}
        for view in self._directory.views():
            link = view.link
            if link is None or not view.vm.service:
                continue
            sent[link] = self._sent.get(link, (-1, 0))
            index, sent_seconds = sent[link]
            if index == vm_list.index and now - sent_seconds < REPEAT_SECONDS:
                continue
            if self._send(link, vm_list, view.vm.service):
                sent[link] = (vm_list.index, now)
        self._sent = sent

    def _send(self, link: Link, vm_list: VmList, service: str) -> bool:
        vms = [asdict(vm) for vm in vm_list.of_service(service)]
        body = json.dumps({'vms': vms}).encode()
        try:
            link.send(VmListBody(vm_list.index, self._read_age(), body))
        except LinkError:
            return False
        return True

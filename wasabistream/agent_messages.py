"""Dispatch of the messages that an agent receives to its components."""

from collections.abc import Callable
from dataclasses import dataclass

from wasabistream.availability import Availability
from wasabistream.call_runners import CallRunner
from wasabistream.configuration_notices import VmListDigest
from wasabistream.crash_notices import CrashMessage
from wasabistream.crashes import CrashDetector
from wasabistream.document_relays import DocumentRelay
from wasabistream.generations import GenerationRunner
from wasabistream.key_ownership import KeyOwnership
from wasabistream.links import Link
from wasabistream.load_reporters import LoadReporter
from wasabistream.messages import Message
from wasabistream.model_retention_peers import ModelRetentionPeers
from wasabistream.notices import VmListBody
from wasabistream.outcomes import Outcome
from wasabistream.placement_runners import PlacementRunner
from wasabistream.requests import (
    Call,
    Cancel,
    Generate,
    Refused,
    Resume,
    Withdraw,
)
from wasabistream.vm_list_clients import VmListClient


@dataclass(frozen=True)
class AgentMessageHandler:
    """Pass each message to the component of the agent that handles it."""

    availability: Availability
    generations: GenerationRunner
    calls: CallRunner
    crashes: CrashDetector
    load_reporter: LoadReporter
    relay: DocumentRelay
    vm_list_client: VmListClient
    key_ownership: KeyOwnership
    placement: PlacementRunner
    retention_peers: ModelRetentionPeers
    on_availability_changed: Callable[[], None]

    def handle(self, link: Link, message: Message) -> None:
        """Handle one message; raises LinkError when a reply cannot be sent."""
        match message:
            case Generate():
                if self._check_admission(link, message.request_id):
                    self.generations.generate(link, message)
                self.load_reporter.add_taken_request(link)
            case Call():
                self.calls.call(
                    link, message, self.availability.refusal_reason()
                )
                self.load_reporter.add_taken_request(link)
            case Cancel():
                self.generations.cancel(link, message)
            case Withdraw():
                self.generations.withdraw(link, message)
            case Resume():
                self.generations.resume(link, message)
            case CrashMessage():
                self.crashes.on_crash_notice(message)
            case VmListDigest() | VmListBody():
                self._handle_vm_list(link, message)
            case _:
                self.relay.handle(link, message)
                self.key_ownership.handle(link, message)
                self.retention_peers.on_messages(link, (message,))

    def _check_admission(self, link: Link, request_id: str) -> bool:
        reason = self.availability.refusal_reason()
        if reason:
            link.send(Refused(request_id, Outcome.not_run, reason))
        return not reason

    def _handle_vm_list(
        self, link: Link, message: VmListDigest | VmListBody
    ) -> None:
        vm_list_body = self.vm_list_client.handle(link, message)
        if vm_list_body is None:
            return
        if self.availability.apply_vm_list(vm_list_body):
            self.on_availability_changed()
        self.key_ownership.handle(link, vm_list_body)
        self.placement.receive_vm_list(vm_list_body)

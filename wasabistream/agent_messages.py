"""Handler of the messages that an agent receives from entries and peers."""

from collections.abc import Callable
from dataclasses import dataclass

from wasabistream.availability import Availability
from wasabistream.call_runners import CallRunner
from wasabistream.configuration_notices import VmListDigest
from wasabistream.crash_notices import ClearNotice, CrashNotice
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
from wasabistream.part_clients import PartClient
from wasabistream.placement_runners import PlacementRunner
from wasabistream.requests import (
    Call,
    Cancel,
    Generate,
    Refused,
    Resume,
    Withdraw,
)


@dataclass(frozen=True)
class AgentMessageHandler:
    """Hand each message to the part of the agent that it is for."""

    availability: Availability
    generations: GenerationRunner
    calls: CallRunner
    crashes: CrashDetector
    reporter: LoadReporter
    relay: DocumentRelay
    vm_part: PartClient
    key_ownership: KeyOwnership
    placement: PlacementRunner
    retention_peers: ModelRetentionPeers
    on_availability_changed: Callable[[], None]

    def handle(self, link: Link, message: Message) -> None:
        """Handle one message; raises LinkError when a reply is lost."""
        match message:
            case Generate():
                if self._admits(link, message.request_id):
                    self.generations.generate(link, message)
                self.reporter.add_taken_request(link)
            case Call():
                self.calls.call(link, message, self.availability.refusal())
                self.reporter.add_taken_request(link)
            case Cancel():
                self.generations.cancel(link, message)
            case Withdraw():
                self.generations.withdraw(link, message)
            case Resume():
                self.generations.resume(link, message)
            case CrashNotice() | ClearNotice():
                self.crashes.on_crash_notice(message)
            case VmListDigest() | VmListBody():
                self._handle_list(link, message)
            case _:
                self.relay.handle(link, message)
                self.key_ownership.handle(link, message)
                self.retention_peers.on_messages(link, (message,))

    def _admits(self, link: Link, request_id: str) -> bool:
        reason = self.availability.refusal()
        if reason:
            link.send(Refused(request_id, Outcome.not_run, reason))
        return not reason

    def _handle_list(
        self, link: Link, message: VmListDigest | VmListBody
    ) -> None:
        part = self.vm_part.handle(link, message)
        if part is None:
            return
        if self.availability.apply_list(part):
            self.on_availability_changed()
        self.key_ownership.handle(link, part)
        self.placement.receive_part(part)

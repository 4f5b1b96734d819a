"""Exchange of retention requests between the agents of engines."""

import logging
from collections.abc import Iterable, Sequence

from wasabistream.dialers import PeerDialer
from wasabistream.link_senders import send_or_log
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.model_retentions import (
    ModelRetentionRequests,
    ModelRetentions,
)
from wasabistream.notices import (
    Hello,
    ModelRetentionReply,
    ModelRetentionRequest,
)
from wasabistream.vms import Vm

logger = logging.getLogger(__name__)


class ModelRetentionPeers:
    """Request retentions from peers and answer their requests."""

    def __init__(self, hello: Hello) -> None:
        self.retentions = ModelRetentions()
        self.requests = ModelRetentionRequests()
        self._hello = hello
        self._dialers: dict[str, PeerDialer] = {}
        self._links: dict[str, Link] = {}

    def ensure_retention(self, model: str, vms: Iterable[Vm]) -> bool:
        """Tell whether a peer retains a model; if none does, request it."""
        if self.requests.is_retained(model):
            return True
        for vm in vms:
            link = self._links.get(vm.id)
            if link is not None:
                self.requests.record_request(vm.id, model)
                send_or_log(link, ModelRetentionRequest(model))
            elif vm.id not in self._dialers:
                dialer = PeerDialer(vm.address, vm.link_port, self._hello, self)
                self._dialers[vm.id] = dialer
                dialer.start()
        return False

    def set_kept_models(self, models: frozenset[str]) -> None:
        """Set the models that this agent serves and will keep."""
        self.retentions.set_kept_models(models)

    def try_release(self, model: str) -> bool:
        """Stop granting retentions of a model; tell whether none is active."""
        return self.retentions.try_release(model)

    def stop(self) -> None:
        """Close the links."""
        for dialer in self._dialers.values():
            dialer.stop()
        self._dialers.clear()

    def on_opened(self, link: Link) -> None:
        """Record a link to a peer."""
        self._links[link.peer.peer_id] = link

    def on_closed(self, link: Link, reason: str) -> None:
        """Forget a link that ended."""
        self._links.pop(link.peer.peer_id, None)
        self.requests.drop_requests(link.peer.peer_id)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Handle retention requests and replies; other messages are ignored."""
        for message in received:
            match message:
                case ModelRetentionRequest():
                    granted = self.retentions.grant(message.model)
                    send_or_log(
                        link, ModelRetentionReply(message.model, granted)
                    )
                case ModelRetentionReply():
                    self.requests.record_reply(
                        link.peer.peer_id, message.model, message.granted
                    )

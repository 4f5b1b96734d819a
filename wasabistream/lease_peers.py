"""Exchange of lease requests and grants between the agents of one service."""

import logging
import threading
import time
from collections.abc import Callable, Sequence

from wasabistream.dialers import PeerDialer
from wasabistream.grants import GrantReply, LeaseClaim
from wasabistream.leases import LeaseRound, OwnerLease
from wasabistream.link_senders import send_or_log
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.metrics import LEASE_HELD
from wasabistream.notices import (
    Hello,
    LeaseReply,
    LeaseRequest,
    ServiceViewBody,
)
from wasabistream.service_views import ServiceMember, ServiceView, unpack_view

logger = logging.getLogger(__name__)

# Three rounds fit into one lease, so one lost round does not end it.
ROUND_INTERVAL_SECONDS = 0.6


class LeasePeers:
    """Request lease grants from the peers of a service and answer theirs."""

    def __init__(self, lease: OwnerLease, hello: Hello) -> None:
        self._lease = lease
        self._hello = hello
        self._dialers: dict[ServiceMember, PeerDialer] = {}
        self._links: dict[str, Link] = {}
        self._stopped = threading.Event()
        self._wake = threading.Event()
        self._handlers: dict[type, Callable[[Link, Message], None]] = {
            LeaseRequest: self._on_request,
            LeaseReply: self._on_reply,
            ServiceViewBody: self._on_view,
        }

    def start(self) -> None:
        """Start the thread that requests grants in rounds."""
        threading.Thread(target=self._run, name='lease', daemon=True).start()

    def stop(self) -> None:
        """Stop requesting grants and close the links."""
        self._stopped.set()
        self._wake.set()
        for dialer in list(self._dialers.values()):
            dialer.stop()

    def adopt_view(self, view: ServiceView) -> None:
        """Adopt a service view if it is newer."""
        if self._lease.adopt_view(view, time.monotonic()):
            logger.info(
                'agent: adopted service view %s with %d members',
                view.digest,
                len(view.members),
            )
            self._wake.set()

    def on_opened(self, link: Link) -> None:
        """Record a link and start a round at once."""
        self._links[link.peer.peer_id] = link
        self._wake.set()

    def on_closed(self, link: Link, reason: str) -> None:
        """Forget a link that ended."""
        if self._links.get(link.peer.peer_id) is link:
            self._links.pop(link.peer.peer_id)
        logger.info('agent: link to %s ended: %s', link.peer.peer_id, reason)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Handle lease messages of a peer; other messages are ignored."""
        for message in received:
            handler = self._handlers.get(type(message))
            if handler is not None:
                handler(link, message)

    def _on_request(self, link: Link, message: Message) -> None:
        if not isinstance(message, LeaseRequest):
            return
        granter = self._lease.granter
        reply = granter.request(
            link.peer.peer_id,
            link.peer.incarnation,
            LeaseClaim(
                message.view_digest,
                (message.list_index, message.revision),
                message.has_lease,
            ),
            time.monotonic(),
        )
        _send(
            link,
            LeaseReply(
                message.sequence,
                reply.granted,
                reply.reason,
                reply.lease_known,
                [earlier_view.pack() for earlier_view in reply.earlier_views],
            ),
        )
        if reply.reason == 'view':
            self._send_view(link)

    def _on_reply(self, link: Link, message: Message) -> None:
        if not isinstance(message, LeaseReply):
            return
        reply = GrantReply(
            message.granted,
            message.reason,
            message.lease_known,
            tuple(unpack_view(packed) for packed in message.earlier_views),
        )
        if reply.reason == 'view':
            self._send_view(link)
        self._lease.receive(
            link.peer.peer_id, message.sequence, reply, time.monotonic()
        )

    def _on_view(self, link: Link, message: Message) -> None:
        if isinstance(message, ServiceViewBody):
            self.adopt_view(unpack_view(message.view))

    def _send_view(self, link: Link) -> None:
        view = self._lease.granter.view
        if view is not None:
            _send(link, ServiceViewBody(view.pack()))

    def _run(self) -> None:
        while not self._stopped.is_set():
            lease_round = self._lease.start_round(time.monotonic())
            if lease_round is not None:
                self._update_dialers()
                self._send_requests(lease_round)
            LEASE_HELD.set(self._lease.is_held(time.monotonic()))
            self._wake.wait(ROUND_INTERVAL_SECONDS)
            self._wake.clear()

    def _send_requests(self, lease_round: LeaseRound) -> None:
        claim = lease_round.claim
        request = LeaseRequest(
            lease_round.sequence, claim.digest, *claim.order, claim.has_lease
        )
        for link in list(self._links.values()):
            _send(link, request)

    def _update_dialers(self) -> None:
        wanted = {
            member
            for view in self._lease.required_views()
            for member in view.members
            if member.member_id != self._lease.member_id
        }
        for member in set(self._dialers) - wanted:
            self._dialers.pop(member).stop()
        for member in wanted - set(self._dialers):
            dialer = PeerDialer(member.address, member.port, self._hello, self)
            self._dialers[member] = dialer
            dialer.start()


def _send(link: Link, message: Message) -> None:
    send_or_log(link, message, 'agent: lease message', logging.DEBUG)

"""Links between the agents of one service and the lease over them."""

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

# Three rounds fit into one lease, so that a lost round does not end it.
ROUND_SECONDS = 0.6


class LeasePeers:
    """Ask the peers of a service for grants and answer theirs."""

    def __init__(self, lease: OwnerLease, hello: Hello) -> None:
        self._lease = lease
        self._hello = hello
        self._dialers: dict[ServiceMember, PeerDialer] = {}
        self._links: dict[str, Link] = {}
        self._stopped = threading.Event()
        self._wake = threading.Event()
        self._handlers: dict[type, Callable[[Link, Message], None]] = {
            LeaseRequest: self._answer,
            LeaseReply: self._receive,
            ServiceViewBody: self._learn,
        }

    def start(self) -> None:
        """Start to ask."""
        threading.Thread(target=self._run, name='lease', daemon=True).start()

    def stop(self) -> None:
        """Stop to ask and close the links."""
        self._stopped.set()
        self._wake.set()
        for dialer in list(self._dialers.values()):
            dialer.stop()

    def adopt(self, view: ServiceView) -> None:
        """Move to a newer view."""
        if self._lease.adopt(view, time.monotonic()):
            logger.info(
                'agent: view %s of %d members', view.digest, len(view.members)
            )
            self._wake.set()

    def on_opened(self, link: Link) -> None:
        """Record a link that this agent opened."""
        self._links[link.peer.peer_id] = link
        self._wake.set()

    def on_closed(self, link: Link, reason: str) -> None:
        """Forget a link that ended."""
        if self._links.get(link.peer.peer_id) is link:
            self._links.pop(link.peer.peer_id)
        logger.info('agent: link to %s ended: %s', link.peer.peer_id, reason)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Handle the messages of a peer."""
        for message in received:
            handler = self._handlers.get(type(message))
            if handler is not None:
                handler(link, message)

    def _answer(self, link: Link, message: Message) -> None:
        if not isinstance(message, LeaseRequest):
            return
        book = self._lease.book
        reply = book.request(
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
                reply.founded,
                [base.pack() for base in reply.bases],
            ),
        )
        if reply.reason == 'view':
            self._send_view(link)

    def _receive(self, link: Link, message: Message) -> None:
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

    def _learn(self, link: Link, message: Message) -> None:
        if isinstance(message, ServiceViewBody):
            self.adopt(unpack_view(message.view))

    def _send_view(self, link: Link) -> None:
        view = self._lease.book.view
        if view is not None:
            _send(link, ServiceViewBody(view.pack()))

    def _run(self) -> None:
        while not self._stopped.is_set():
            lease_round = self._lease.begin_round(time.monotonic())
            if lease_round is not None:
                self._follow_members()
                self._ask(lease_round)
            LEASE_HELD.set(self._lease.holds(time.monotonic()))
            self._wake.wait(ROUND_SECONDS)
            self._wake.clear()

    def _ask(self, lease_round: LeaseRound) -> None:
        claim = lease_round.claim
        request = LeaseRequest(
            lease_round.sequence, claim.digest, *claim.order, claim.established
        )
        for link in list(self._links.values()):
            _send(link, request)

    def _follow_members(self) -> None:
        wanted = {
            member
            for view in self._lease.known_views()
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

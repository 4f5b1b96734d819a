"""Withdrawal of an attempt over a second link to its agent."""

import logging
import threading
from collections.abc import Callable, Sequence

from wasabistream.exceptions import LinkError
from wasabistream.link_loops import link_loop
from wasabistream.link_waits import Task
from wasabistream.links import Link, connect
from wasabistream.messages import Message
from wasabistream.notices import Hello
from wasabistream.outcomes import Outcome
from wasabistream.requests import Failed, Finished, Refused, Withdraw
from wasabistream.vms import Vm

logger = logging.getLogger(__name__)

# Longest wait for the outcome over the second link.
SECOND_LINK_TIMEOUT_SECONDS = 1.0


class SecondLinkWithdrawal:
    """Withdraw one attempt over a new link and get its outcome.

    The link of the attempt may be stalled while the agent works. Only the
    incarnation that got the attempt can tell its outcome: a restarted agent
    has no record of it.
    """

    def __init__(self, request_id: str, incarnation: str) -> None:
        self._request_id = request_id
        self._incarnation = incarnation
        self._settled = threading.Event()
        self._outcome = Outcome.unknown
        self._link: Link | None = None
        self._ended = False

    def run(self, vm: Vm, hello: Hello) -> Outcome:
        """Return the outcome from the agent, or unknown without a reply."""
        link_loop.spawn(self._run_link(vm, hello))
        self._settled.wait(SECOND_LINK_TIMEOUT_SECONDS)
        self._ended = True
        if self._link is not None:
            self._link.close()
        return self._outcome

    def on_opened(self, link: Link) -> None:
        """Send the withdrawal, if the agent has not restarted."""
        if link.peer.incarnation == self._incarnation:
            link.send(Withdraw(self._request_id))
        else:
            self._settled.set()

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Take the outcome from the end of the attempt."""
        for message in received:
            if getattr(message, 'request_id', '') != self._request_id:
                continue
            if isinstance(message, (Refused, Failed)):
                self._outcome = Outcome(message.outcome)
                self._settled.set()
            elif isinstance(message, Finished):
                self._outcome = Outcome.run
                self._settled.set()

    def on_closed(self, link: Link, reason: str) -> None:
        """End the wait; without a reply so far the outcome is unknown."""
        self._settled.set()

    def _run_link(self, vm: Vm, hello: Hello) -> Task:
        try:
            sock = yield from connect(vm.address, vm.link_port)
            link = Link.build(sock, hello, self, vm.id)
        except LinkError as error:
            logger.info(
                'entry: second link not opened to withdraw an attempt: %s',
                error,
            )
            self._settled.set()
            return
        self._link = link
        if self._ended:
            link.close()
        yield from link.run()
        # The handshake may have failed.
        self._settled.set()


MakeHello = Callable[[], Hello]

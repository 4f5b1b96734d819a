"""Withdrawal of an attempt over a second link to its agent."""

import logging
import threading
from collections.abc import Callable, Sequence

from wasabistream.exceptions import LinkError
from wasabistream.links import Link, connect
from wasabistream.messages import Message
from wasabistream.notices import Hello
from wasabistream.outcomes import Outcome
from wasabistream.requests import Failed, Finished, Refused, Withdraw
from wasabistream.vms import Vm

logger = logging.getLogger(__name__)

# Bound of the wait for the answer over the second link.
SECOND_LINK_SECONDS = 1.0


class SecondLinkWithdrawal:
    """Ask an agent over a link of its own what became of an attempt.

    The first link may be stalled while the agent is well. Only the same
    incarnation can answer: a restarted agent knows nothing of the attempt.
    """

    def __init__(self, request_id: str, incarnation: str) -> None:
        self._request_id = request_id
        self._incarnation = incarnation
        self._ended = threading.Event()
        self._outcome = Outcome.unknown

    def prove(self, vm: Vm, hello: Hello) -> Outcome:
        """Return what the agent answers, or unknown after a bounded wait."""
        try:
            link = Link(connect(vm.address, vm.link_port), hello, self, vm.id)
        except (LinkError, OSError) as error:
            logger.info('entry: no second link: %s', error)
            return Outcome.unknown
        threading.Thread(
            target=link.run, name=f'withdraw-{vm.id}', daemon=True
        ).start()
        self._ended.wait(SECOND_LINK_SECONDS)
        link.close()
        return self._outcome

    def on_opened(self, link: Link) -> None:
        """Send the withdrawal."""
        if link.peer.incarnation == self._incarnation:
            link.send(Withdraw(self._request_id))
        else:
            self._ended.set()

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Look for the answer."""
        for message in received:
            if getattr(message, 'request_id', '') != self._request_id:
                continue
            if isinstance(message, (Refused, Failed)):
                self._outcome = Outcome(message.outcome)
                self._ended.set()
            elif isinstance(message, Finished):
                self._outcome = Outcome.run
                self._ended.set()

    def on_closed(self, link: Link, reason: str) -> None:
        """Stop to wait."""
        self._ended.set()


MakeHello = Callable[[], Hello]

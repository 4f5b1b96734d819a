"""Subscriptions to the notices of other entries."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import TypeVar

from wasabistream.messages import Message
from wasabistream.notices import Hello

NoticeT = TypeVar('NoticeT', bound=Message)


@dataclass(frozen=True)
class Subscription:
    """Hold who handles a type of notices and describes them to new peers."""

    message_type: type[Message]
    handler: Callable[..., None]
    describe: Callable[[Hello], Sequence[Message]]
    # Whether the handler gets the sender before the notice.
    takes_sender: bool = False


class NoticeSubscriptions:
    """Pass notices to those who handle their type."""

    def __init__(self) -> None:
        self._subscriptions: list[Subscription] = []

    def add(
        self,
        message_type: type[NoticeT],
        handler: Callable[[NoticeT], None],
        describe: Callable[[], Sequence[Message]],
    ) -> None:
        """Call the handler with the notices of a type from other entries.

        `describe` returns the notices for an entry that is linked anew.
        """
        self._subscriptions.append(
            Subscription(message_type, handler, lambda _: describe())
        )

    def add_for_each_peer(
        self,
        message_type: type[NoticeT],
        handler: Callable[[NoticeT], None],
        describe: Callable[[Hello], Sequence[Message]],
    ) -> None:
        """Call the handler with notices; `describe` gets the linked entry."""
        self._subscriptions.append(
            Subscription(message_type, handler, describe)
        )

    def add_with_sender(
        self,
        message_type: type[NoticeT],
        handler: Callable[[Hello, NoticeT], None],
    ) -> None:
        """Call the handler with the sender and the notice."""
        self._subscriptions.append(
            Subscription(message_type, handler, lambda _: (), takes_sender=True)
        )

    def notify(self, sender: Hello, notice: Message) -> None:
        """Pass a notice on."""
        for subscription in self._subscriptions:
            if isinstance(notice, subscription.message_type):
                if subscription.takes_sender:
                    subscription.handler(sender, notice)
                else:
                    subscription.handler(notice)

    def describe(self, peer: Hello) -> Iterator[Message]:
        """Return the notices for an entry that is linked anew."""
        for subscription in self._subscriptions:
            yield from subscription.describe(peer)

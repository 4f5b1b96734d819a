"""Best-effort sends over links, whose failures are only logged."""

import logging
from collections.abc import Sequence

from wasabistream.exceptions import LinkError
from wasabistream.links import Link
from wasabistream.messages import Message

logger = logging.getLogger(__name__)


def send_to_all(links: Sequence[Link], notice: Message) -> None:
    """Send a notice to several peers; failures are only logged."""
    for link in links:
        send_or_log(link, notice)


def send_or_log(
    link: Link,
    message: Message,
    label: str = 'relay: notice',
    level: int = logging.INFO,
) -> None:
    """Send a message that the peer gets again after it reconnects."""
    try:
        link.send(message)
    except LinkError as error:
        logger.log(level, '%s lost: %s', label, error)

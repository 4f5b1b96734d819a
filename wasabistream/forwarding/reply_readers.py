"""Reading of complete answers from backend servers."""

import logging
from collections.abc import Callable
from contextlib import ExitStack

from wasabistream.exceptions import BackendError
from wasabistream.forwarding.answer_buffers import AnswerBuffers
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.interfaces import ServerExchange
from wasabistream.forwarding.piece_allowances import PieceAllowance
from wasabistream.forwarding.replies import build_bad_gateway
from wasabistream.forwarding.requests import Reply

logger = logging.getLogger(__name__)

# Callers take these statuses as a guarantee that a request has not run. If the
# server itself states that the request has not run, AttemptSender raises
# NotRunError before the answer is read here.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def read_reply(
    server: BackendServer,
    exchange: ServerExchange,
    request_id: str,
    buffers: AnswerBuffers,
    resources: ExitStack,
    check_end: Callable[[], None],
) -> Reply:
    """Read a complete answer; closing `resources` frees its memory.

    `check_end` raises BackendError unless the end of the connection is that of
    the answer.

    A refusal without the server's statement that the request has not run
    becomes a 502. Raises BackendError when the answer breaks off or is too
    long, or when it is a success without the seal of a backend server.
    """
    allowance = PieceAllowance()
    with ExitStack() as unfinished:
        buffer = buffers.open()
        unfinished.callback(buffer.close)
        while piece := exchange.read():
            allowance.take()
            buffer.add(piece)
        body = buffer.finish()
        resources.callback(unfinished.pop_all().close)
    head = exchange.head
    if head.ends_with_connection:
        check_end()
    if head.succeeded and not head.sealed:
        raise BackendError('answer has no seal', 'head', server.endpoint)
    if head.status in NOT_RUN_STATUSES:
        logger.warning(
            'attempt: %s of %s does not state that nothing has run',
            head.status,
            server.endpoint,
            extra={'request_id': request_id},
        )
        return build_bad_gateway()
    return Reply(head.status, head.headers, body)

"""Reader of answers that go to their caller as a whole."""

from wasabistream.exceptions import BackendError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.interfaces import ServerExchange
from wasabistream.forwarding.requests import Reply


def read_reply(server: BackendServer, exchange: ServerExchange) -> Reply:
    """Read an answer to its end.

    Raises BackendError when it breaks off or is a success without a seal.
    """
    pieces = []
    while piece := exchange.read():
        pieces.append(piece)
    answer = exchange.answer
    if answer.succeeded and not answer.sealed:
        raise BackendError('answer is not signed', 'head', server.endpoint)
    return Reply(answer.status, answer.headers, b''.join(pieces))

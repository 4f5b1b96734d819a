"""Page at which an entry explains where a request would go."""

import json
import logging
from collections.abc import Callable

from wasabistream.exceptions import RequestError
from wasabistream.route_queries.answers import RouteAnswer, encode_answer
from wasabistream.route_queries.operator_keys import is_operator
from wasabistream.route_queries.queries import SelectionQuery, decode_query

logger = logging.getLogger(__name__)

ROUTE_PATH = '/route'
DONE_STATUS = 200
NOT_ALLOWED_STATUS = 403
WRONG_METHOD_STATUS = 405
FAILED_STATUS = 500


class RoutePage:
    """Check a query and the operator's key and return the answer as JSON."""

    def __init__(
        self,
        explain: Callable[[SelectionQuery], RouteAnswer],
        operator_key: str,
    ) -> None:
        self._explain = explain
        # Empty if the page needs no key.
        self._operator_key = operator_key

    def answer(
        self, method: str, query_string: str, authorization: str, api_key: str
    ) -> tuple[int, bytes]:
        """Return status and body; `api_key` is that of the caller."""
        try:
            if method != 'GET':
                raise RequestError(
                    'use GET here', WRONG_METHOD_STATUS, 'method'
                )
            if not is_operator(self._operator_key, authorization):
                # 401 is left for an API key of a caller that is not valid.
                raise RequestError(
                    "the operator's key is missing or not valid",
                    NOT_ALLOWED_STATUS,
                    'operator_key',
                )
            answer = self._explain(decode_query(query_string, api_key))
        except RequestError as error:
            return error.status, _encode_error(error.reason, error.code)
        except Exception:
            # A fault in an explanation must not end the metrics server.
            logger.exception('route: explanation failed')
            return FAILED_STATUS, _encode_error('internal error', 'internal')
        return DONE_STATUS, encode_answer(answer)


def _encode_error(reason: str, code: str) -> bytes:
    return json.dumps({'error': reason, 'code': code}).encode()

"""Page at which an entry of the product's own interface explains a choice."""

import urllib.parse
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from wasabistream.backend_views import BackendView
from wasabistream.exceptions import RequestError
from wasabistream.http_servers import HttpAnswer, HttpRequest, json_answer
from wasabistream.route_queries.answers import Decision
from wasabistream.route_queries.operator_keys import is_operator
from wasabistream.routers import RouteQuery, Router, find_exclusion

FIELD_NAMES = ('model', 'adapter', 'service')


@dataclass(frozen=True)
class RouterPage:
    """Explain which backend server a router would choose; changes nothing."""

    process_id: str
    data_centre: str
    policy: str
    router: Router
    list_views: Callable[[], Sequence[BackendView]]
    # Empty if the page needs no key.
    operator_key: str

    def answer(self, request: HttpRequest) -> HttpAnswer:
        """Return the answer to `/route?model=...` or `/route?service=...`."""
        try:
            self._check(request)
            query = _decode_query(request.query, self.data_centre)
        except RequestError as error:
            return json_answer(
                error.status, {'error': error.reason, 'code': error.code}
            )
        return json_answer(200, self._explain(query))

    def _check(self, request: HttpRequest) -> None:
        if request.method != 'GET':
            raise RequestError('use GET here', 405, 'method')
        authorization = request.headers.get('authorization', '')
        if not is_operator(self.operator_key, authorization):
            reason = "the operator's key is missing or not valid"
            raise RequestError(reason, 403, 'operator_key')

    def _explain(self, query: RouteQuery) -> dict[str, Any]:
        views = self.list_views()
        chosen = self.router.preview(views, query)
        return {
            'process_id': self.process_id,
            'model': query.model,
            'adapter': query.adapter,
            'service': query.service,
            'policy': self.policy,
            # Without a server, a request opens links to others first.
            'decision': Decision.send if chosen else Decision.wait,
            'reason': '' if chosen else 'no linked server can serve it',
            'server': chosen.vm.id if chosen else '',
            'servers': [
                {
                    'server': view.vm.id,
                    'data_centre': view.vm.data_centre,
                    'load': round(self.router.load(view), 4),
                    'excluded': find_exclusion(view, query),
                }
                for view in sorted(views, key=lambda view: view.vm.id)
            ],
        }


def _decode_query(query_string: str, data_centre: str) -> RouteQuery:
    try:
        pairs = urllib.parse.parse_qsl(
            query_string,
            strict_parsing=True,
            errors='strict',
            max_num_fields=len(FIELD_NAMES),
        )
    except ValueError as error:
        raise RequestError(f'query string: {error}', 400, 'query') from error
    fields = dict(pairs)
    if len(fields) < len(pairs) or fields.keys() - set(FIELD_NAMES):
        reason = f'use each of these once at most: {", ".join(FIELD_NAMES)}'
        raise RequestError(reason, 400, 'query')
    if ('model' in fields) == ('service' in fields):
        raise RequestError('name a model or a service', 400, 'query')
    return RouteQuery(
        data_centre,
        model=fields.get('model', ''),
        adapter=fields.get('adapter', ''),
        service=fields.get('service', ''),
    )

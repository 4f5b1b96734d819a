"""HTTP pages for operators and monitoring that every daemon serves."""

from collections.abc import Callable
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from wasabistream.answers import error_body
from wasabistream.audits import AuditTrail
from wasabistream.http_servers import (
    ApiServer,
    HttpAnswer,
    HttpRequest,
    TakeSocket,
    json_answer,
)
from wasabistream.outcomes import Outcome

PAGE_THREAD_COUNT = 2
MAX_PAGE_BODY_BYTES = 64 * 1024
MAX_PAGE_HEADER_BYTES = 16 * 1024


class OperatorPages:
    """Answer requests for health, readiness, metrics and the audit trail."""

    def __init__(
        self,
        get_status: Callable[[], dict[str, Any]],
        explain_route: Callable[[HttpRequest], HttpAnswer] | None = None,
    ) -> None:
        self._get_status = get_status
        # None at a daemon that chooses no servers.
        self._explain_route = explain_route
        self.audit_trail = AuditTrail()

    def answer(self, request: HttpRequest) -> HttpAnswer | None:
        """Return the page of a path, or None if there is none."""
        match request.path:
            case '/healthz':
                return json_answer(200, {'healthy': True})
            case '/readyz':
                status = self._get_status()
                return json_answer(200 if status['ready'] else 503, status)
            case '/metrics':
                return HttpAnswer(200, generate_latest(), CONTENT_TYPE_LATEST)
            case '/audit':
                return json_answer(200, self.audit_trail.rows())
            case '/route' if self._explain_route is not None:
                return self._explain_route(request)
        return None

    def serve(self, address: str, port: int) -> ApiServer:
        """Start a server for the pages only, at a daemon without a caller API."""
        server = ApiServer(address, port, self._handle, PAGE_THREAD_COUNT)
        server.max_request_body_size = MAX_PAGE_BODY_BYTES
        server.max_request_header_size = MAX_PAGE_HEADER_BYTES
        server.run_in_thread()
        return server

    def _handle(
        self, request: HttpRequest, take_socket: TakeSocket
    ) -> HttpAnswer:
        not_found = error_body('no such page', 'not_found', Outcome.not_run)
        return self.answer(request) or HttpAnswer(404, not_found)

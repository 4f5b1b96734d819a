"""Calls of plain services for callers."""

import urllib.parse

from wasabistream.dispatchers import Dispatcher
from wasabistream.documents import Document, Organisation, Service
from wasabistream.exceptions import RequestError
from wasabistream.headers import filter_request_headers, filter_response_headers
from wasabistream.outcomes import Outcome
from wasabistream.owner_call_senders import OwnerCallSender
from wasabistream.requests import Answer, Call
from wasabistream.routers import RouteQuery
from wasabistream.servers import HttpAnswer, HttpRequest

SERVICES_PREFIX = '/services/'
KEY_HEADER = 'idempotency-key'
# Characters that stay as they are in a path.
PATH_CHARACTERS = "/!$&'()*+,;=:@-._~"
MAX_KEY_CHARACTERS = 256


class ServiceCallHandler:
    """Send calls to the agents of plain services."""

    def __init__(
        self,
        data_centre: str,
        dispatcher: Dispatcher,
        owned: OwnerCallSender,
    ) -> None:
        self._data_centre = data_centre
        self._dispatcher = dispatcher
        self._owned = owned
        self._in_progress: dict[str, Call] = {}

    def calls_in_progress(self) -> list[str]:
        """Return the request ids of calls whose callers wait."""
        return list(self._in_progress)

    def call(
        self,
        document: Document,
        organisation: Organisation,
        request: HttpRequest,
    ) -> HttpAnswer:
        """Run one call; raises RequestError and AttemptError."""
        service, path = _find_service(document, organisation, request.path)
        method = request.method.upper()
        repeatable = service.is_repeatable(method, path)
        key = request.headers.get(KEY_HEADER, '')
        if not repeatable and not key:
            raise RequestError(
                'this call needs an Idempotency-Key', 400, 'key_required'
            )
        if len(key) > MAX_KEY_CHARACTERS:
            raise RequestError('Idempotency-Key is too long', 400, 'bad_key')
        quoted = urllib.parse.quote(path, safe=PATH_CHARACTERS)
        call = Call(
            request_id=self._dispatcher.new_request_id(),
            organisation=organisation.name,
            service=service.name,
            method=method,
            path=f'{quoted}?{request.query}' if request.query else quoted,
            headers=filter_request_headers(request.headers),
            body=request.body,
            deadline_seconds=service.timeout_seconds,
            document_revision=document.revision,
            repeatable=repeatable,
            key=f'{organisation.name}/{key}' if key else '',
        )
        self._in_progress[call.request_id] = call
        try:
            return _http_answer(self._send(call))
        finally:
            self._in_progress.pop(call.request_id)

    def _send(self, call: Call) -> Answer:
        if not call.repeatable:
            return self._owned.call(call)
        query = RouteQuery(self._data_centre, service=call.service)
        return self._dispatcher.call(call, query)


def normal_path(path: str) -> str:
    """Return the one spelling of a path; raises RequestError.

    The rules for calls that may not be repeated are checked against this
    spelling, and the service gets the same one, so that no other spelling
    of a path can bypass a rule.
    """
    decoded = urllib.parse.unquote(path)
    segments = decoded.replace('\\', '/').split('/')
    if '..' in segments or not decoded.isprintable():
        raise RequestError('path is not valid', 400, 'bad_path')
    kept = [segment for segment in segments if segment not in {'', '.'}]
    slash = '/' if decoded.endswith('/') and kept else ''
    return f'/{"/".join(kept)}{slash}'


def _find_service(
    document: Document, organisation: Organisation, path: str
) -> tuple[Service, str]:
    name, _, tail = path.removeprefix(SERVICES_PREFIX).partition('/')
    service = document.services_by_name.get(name)
    if service is None or name not in organisation.services:
        raise RequestError(f'no service {name!r}', 404, 'service_not_found')
    return service, normal_path(tail)


def _http_answer(answer: Answer) -> HttpAnswer:
    headers = filter_response_headers(answer.headers)
    content_type = headers.pop('content-type', 'application/octet-stream')
    if answer.replayed:
        headers['Idempotency-Replayed'] = 'true'
    return HttpAnswer(answer.status, answer.body, content_type, headers)


def entry_refusal_outcome(request: HttpRequest) -> Outcome:
    """Return what an entry may say of a request that it refuses itself.

    Earlier attempts of a key may have run, which only its owner knows.
    """
    keyed = KEY_HEADER in request.headers
    if keyed and request.path.startswith(SERVICES_PREFIX):
        return Outcome.unknown
    return Outcome.not_run

"""Calls of callers to plain services, at an entry."""

import urllib.parse
from collections.abc import Callable

from wasabistream.dispatchers import Dispatcher
from wasabistream.documents import Document, Organisation, Service
from wasabistream.exceptions import AttemptError, RequestError
from wasabistream.headers import filter_request_headers, filter_response_headers
from wasabistream.http_servers import HttpAnswer, HttpRequest
from wasabistream.outcomes import Outcome
from wasabistream.owner_call_senders import OwnerCallSender
from wasabistream.requests import Call, ServiceAnswer
from wasabistream.routers import RouteQuery

SERVICES_PREFIX = '/services/'
IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
# Characters that are not percent-encoded in a path.
UNQUOTED_PATH_CHARACTERS = "/!$&'()*+,;=:@-._~"
MAX_KEY_CHARACTERS = 256


class ServiceCallHandler:
    """Check requests for plain services and send each to an agent."""

    def __init__(
        self,
        data_centre: str,
        dispatcher: Dispatcher,
        key_owner_sender: OwnerCallSender,
        remaining_seconds: Callable[[], float],
    ) -> None:
        self._data_centre = data_centre
        # Time until this process ends; infinite while it is not draining.
        self._remaining_seconds = remaining_seconds
        self._dispatcher = dispatcher
        self._key_owner_sender = key_owner_sender

    def call(
        self,
        document: Document,
        organisation: Organisation,
        request: HttpRequest,
    ) -> HttpAnswer:
        """Send a call, return its answer; raises RequestError, AttemptError."""
        service, path = _find_service_and_path(
            document, organisation, request.path
        )
        # Its caller would get no answer if it took all of its time.
        if service.timeout_seconds > self._remaining_seconds():
            raise build_draining_refusal(request)
        method = request.method.upper()
        repeatable = service.is_repeatable(method, path)
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
        if not repeatable and not key:
            raise RequestError(
                'this call needs an Idempotency-Key', 400, 'key_required'
            )
        if len(key) > MAX_KEY_CHARACTERS:
            raise RequestError('Idempotency-Key is too long', 400, 'bad_key')
        quoted = urllib.parse.quote(path, safe=UNQUOTED_PATH_CHARACTERS)
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
            # Organisations choose their keys independently of each other.
            key=f'{organisation.name}/{key}' if key else '',
        )
        request.record_id(call.request_id)
        return _http_answer(self._send(call))

    def _send(self, call: Call) -> ServiceAnswer:
        # A call that may not be repeated goes to the agent that owns its key.
        if not call.repeatable:
            return self._key_owner_sender.call(call)
        query = RouteQuery(self._data_centre, service=call.service)
        return self._dispatcher.call(call, query)


def normalise_path(path: str) -> str:
    """Return the normalised form of a path; raises RequestError.

    `Service.is_repeatable` matches its path prefixes against this form, and
    the service gets the same form, so that no other spelling of a path can
    bypass a rule.
    """
    decoded = urllib.parse.unquote(path)
    segments = decoded.replace('\\', '/').split('/')
    if '..' in segments or not decoded.isprintable():
        raise RequestError('path is not valid', 400, 'bad_path')
    kept_segments = [
        segment for segment in segments if segment not in {'', '.'}
    ]
    slash = '/' if decoded.endswith('/') and kept_segments else ''
    return f'/{"/".join(kept_segments)}{slash}'


def _find_service_and_path(
    document: Document, organisation: Organisation, path: str
) -> tuple[Service, str]:
    name, _, service_path = path.removeprefix(SERVICES_PREFIX).partition('/')
    service = document.services_by_name.get(name)
    if service is None or name not in organisation.services:
        raise RequestError(f'no service {name!r}', 404, 'service_not_found')
    return service, normalise_path(service_path)


def _http_answer(answer: ServiceAnswer) -> HttpAnswer:
    headers = filter_response_headers(answer.headers)
    content_type = headers.pop('content-type', 'application/octet-stream')
    if answer.replayed:
        headers['Idempotency-Replayed'] = 'true'
    return HttpAnswer(answer.status, answer.body, content_type, headers)


def build_draining_refusal(request: HttpRequest) -> AttemptError:
    """Return the refusal of a request that a draining entry does not take."""
    return AttemptError('draining', entry_refusal_outcome(request), '', 1)


def entry_refusal_outcome(request: HttpRequest) -> Outcome:
    """Return the outcome of a request that the entry itself refuses.

    It is `unknown` for a call with an idempotency key, as only the agent
    that owns the key knows whether an earlier attempt has run.
    """
    has_key = IDEMPOTENCY_KEY_HEADER in request.headers
    if has_key and request.path.startswith(SERVICES_PREFIX):
        return Outcome.unknown
    return Outcome.not_run

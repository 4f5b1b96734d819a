"""Handlers of the callers' endpoints."""

import hashlib
import hmac
import json
import logging
from collections.abc import Callable
from typing import Any

from wasabistream.answers import (
    EventStreamWriter,
    WholeAnswerWriter,
    error_body,
    make_format,
)
from wasabistream.attempts import AttemptTable
from wasabistream.backends import BackendDirectory
from wasabistream.configurations import ConfigurationStore
from wasabistream.digests import hash64
from wasabistream.dispatchers import (
    DEFAULT_STATUS,
    STATUS_BY_REASON,
    Dispatcher,
)
from wasabistream.documents import Document, Organisation, Service
from wasabistream.exceptions import RefusedError, RequestError
from wasabistream.outcomes import Outcome
from wasabistream.owned_calls import OwnedCaller
from wasabistream.requests import Call, Generate
from wasabistream.routers import RouteQuery
from wasabistream.servers import (
    HttpAnswer,
    HttpRequest,
    TakeSocket,
    json_answer,
)
from wasabistream.settings import EntrySettings
from wasabistream.streams import CallerStream

logger = logging.getLogger(__name__)

DEFAULT_MAX_TOKENS = 16384
DEFAULT_DEADLINE_SECONDS = 600.0
CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 256
SERVICES_PREFIX = '/services/'
KEY_HEADER = 'idempotency-key'
CLASS_HEADER = 'wasabi-class'
DEADLINE_HEADER = 'wasabi-deadline-seconds'
WORK_CLASSES = frozenset(('urgent', 'normal', 'patient'))
FORWARDED_HEADERS = ('content-type', 'accept')


class CallerHandler:
    """Answer the requests of callers at one entry."""

    def __init__(
        self,
        settings: EntrySettings,
        configuration: ConfigurationStore,
        directory: BackendDirectory,
        attempts: AttemptTable,
        dispatcher: Dispatcher,
        owned: OwnedCaller,
        watch_caller: Callable[[CallerStream, Callable[[], None]], None],
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._directory = directory
        self._attempts = attempts
        self._dispatcher = dispatcher
        self._owned = owned
        self._watch_caller = watch_caller

    def handle(
        self, request: HttpRequest, take_socket: TakeSocket
    ) -> HttpAnswer | None:
        """Answer a request, or take over its socket."""
        try:
            return self._route(request, take_socket)
        except RequestError as error:
            return HttpAnswer(
                error.status,
                error_body(error.reason, error.code, _entry_outcome(request)),
            )
        except RefusedError as refusal:
            return refusal_answer(refusal)

    def _route(
        self, request: HttpRequest, take_socket: TakeSocket
    ) -> HttpAnswer | None:
        version = self._configuration.version
        if version is None:
            raise RefusedError('no_document', _entry_outcome(request), '', 1)
        document = version.document
        organisation = authenticate(document, request)
        if request.path.startswith(SERVICES_PREFIX):
            return self._call_service(document, organisation, request)
        endpoint = (request.method, request.path)
        if endpoint == ('GET', '/v1/models'):
            return _list_models(document, organisation)
        if endpoint == ('POST', '/v1/chat/completions'):
            self._generate(document, organisation, request, 'chat', take_socket)
            return None
        if endpoint == ('POST', '/v1/completions'):
            self._generate(
                document, organisation, request, 'completion', take_socket
            )
            return None
        raise RequestError('no such endpoint', 404, 'not_found')

    def _generate(
        self,
        document: Document,
        organisation: Organisation,
        request: HttpRequest,
        shape_name: str,
        take_socket: TakeSocket,
    ) -> None:
        body = parse_body(request.body)
        generate = build_generation(document, organisation, request, body)
        if self._attempts.count >= self._settings.max_stream_count:
            raise RefusedError('too_many_streams', Outcome.not_run, '', 1)
        query = RouteQuery(
            data_centre=self._settings.data_centre,
            model=generate.model,
            adapter=generate.adapter,
            prefix=_prefix_hash(generate),
        )
        request_id = self._dispatcher.new_request_id()
        shape = make_format(shape_name, request_id, generate.model)
        stream = CallerStream(
            take_socket(), self._settings.slow_caller_limit_bytes
        )
        writer_type = (
            EventStreamWriter if body.get('stream') else WholeAnswerWriter
        )
        writer = writer_type(stream, shape, {'Wasabi-Request-Id': request_id})
        generation = self._dispatcher.prepare(generate, query, writer)
        stream.on_gone = generation.caller_gone
        self._watch_caller(stream, generation.caller_gone)
        generation.send()

    def _call_service(
        self,
        document: Document,
        organisation: Organisation,
        request: HttpRequest,
    ) -> HttpAnswer:
        service, path = _find_service(document, organisation, request.path)
        repeatable = service.is_repeatable(request.method, path)
        key = request.headers.get(KEY_HEADER, '')
        if not repeatable and not key:
            raise RequestError(
                'this call needs an Idempotency-Key', 400, 'key_required'
            )
        scoped_key = f'{organisation.name}/{key}' if key else ''
        call = Call(
            request_id='',
            organisation=organisation.name,
            service=service.name,
            method=request.method,
            path=f'{path}?{request.query}' if request.query else path,
            headers={
                name: request.headers[name]
                for name in FORWARDED_HEADERS
                if name in request.headers
            },
            body=request.body,
            deadline_seconds=service.timeout_seconds,
            document_revision=document.revision,
            repeatable=repeatable,
            key=scoped_key,
        )
        if repeatable:
            query = RouteQuery(self._settings.data_centre, service=service.name)
            answer = self._dispatcher.call(call, query)
        else:
            answer = self._owned.call(call)
        headers = dict(answer.headers)
        content_type = headers.pop('Content-Type', 'application/octet-stream')
        if answer.replayed:
            headers['Idempotency-Replayed'] = 'true'
        return HttpAnswer(answer.status, answer.body, content_type, headers)


def authenticate(document: Document, request: HttpRequest) -> Organisation:
    """Return the organisation of a request; raises RequestError."""
    scheme, _, credential = request.headers.get('authorization', '').partition(
        ' '
    )
    digest = hashlib.sha256(credential.encode()).hexdigest()
    found = document.organisations_by_digest.get(digest)
    expected = found.credential_sha256 if found else '0' * len(digest)
    if scheme.lower() != 'bearer' or not hmac.compare_digest(digest, expected):
        raise RequestError('credential is not valid', 401, 'invalid_api_key')
    if found is None:
        raise RequestError('credential is not valid', 401, 'invalid_api_key')
    return found


def parse_body(raw: bytes) -> dict[str, Any]:
    """Return the JSON object of a body; raises RequestError."""
    try:
        body = json.loads(raw)
    except ValueError as error:
        raise RequestError(
            f'body is not JSON: {error}', 400, 'bad_json'
        ) from error
    if not isinstance(body, dict):
        raise RequestError('body is not an object', 400, 'bad_json')
    return body


def build_generation(
    document: Document,
    organisation: Organisation,
    request: HttpRequest,
    body: dict[str, Any],
) -> Generate:
    """Check a generation request and build its message."""
    model, adapter = _find_model(document, organisation, body.get('model'))
    prompt = _prompt_text(body)
    work_class = request.headers.get(CLASS_HEADER, organisation.default_class)
    if work_class not in WORK_CLASSES:
        raise RequestError('unknown work class', 400, 'bad_class')
    max_tokens = body.get('max_tokens') or body.get('max_completion_tokens')
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
    if not isinstance(max_tokens, int) or max_tokens < 1:
        raise RequestError('max_tokens is not positive', 400, 'bad_max_tokens')
    return Generate(
        request_id='',
        organisation=organisation.name,
        model=model,
        work_class=work_class,
        prompt=prompt,
        prompt_tokens=max(1, len(prompt) // CHARACTERS_PER_TOKEN),
        max_tokens=max_tokens,
        deadline_seconds=_deadline_seconds(request),
        fingerprint=hash64(organisation.name, model, prompt),
        document_revision=document.revision,
        adapter=adapter,
        priority_weight=float(organisation.priority_weight),
    )


def refusal_answer(refusal: RefusedError) -> HttpAnswer:
    """Return the answer for a refused request."""
    headers = {}
    if refusal.retry_after_seconds:
        headers['Retry-After'] = str(max(1, round(refusal.retry_after_seconds)))
    return HttpAnswer(
        STATUS_BY_REASON.get(refusal.reason, DEFAULT_STATUS),
        error_body(refusal.reason, refusal.reason, refusal.outcome),
        headers=headers,
    )


def _find_model(
    document: Document, organisation: Organisation, name: object
) -> tuple[str, str]:
    for model in document.models:
        if name == model.name and name in organisation.models:
            return model.name, ''
        if name in model.adapters and model.name in organisation.models:
            return model.name, str(name)
    raise RequestError(f'no model {name!r}', 404, 'model_not_found')


def _prompt_text(body: dict[str, Any]) -> str:
    if 'messages' not in body:
        prompt = body.get('prompt')
        if isinstance(prompt, str):
            return prompt
        raise RequestError('prompt is not a string', 400, 'bad_prompt')
    messages = body['messages']
    if not isinstance(messages, list):
        raise RequestError('messages is not a list', 400, 'bad_messages')
    try:
        return '\n'.join(
            f'{item["role"]}: {item["content"]}' for item in messages
        )
    except (KeyError, TypeError) as error:
        raise RequestError(
            'a message lacks role or content', 400, 'bad_messages'
        ) from error


def _deadline_seconds(request: HttpRequest) -> float:
    raw = request.headers.get(DEADLINE_HEADER)
    if raw is None:
        return DEFAULT_DEADLINE_SECONDS
    try:
        deadline_seconds = float(raw)
    except ValueError:
        raise RequestError(
            'deadline is not a number', 400, 'bad_deadline'
        ) from None
    if not 0 < deadline_seconds <= 24 * 3600:
        raise RequestError('deadline is out of range', 400, 'bad_deadline')
    return deadline_seconds


def _prefix_hash(generate: Generate) -> int:
    return hash64(generate.model, generate.prompt[:PREFIX_CHARACTERS])


def _entry_outcome(request: HttpRequest) -> Outcome:
    # Earlier attempts of a key may have run; only its owner knows.
    keyed = KEY_HEADER in request.headers
    if keyed and request.path.startswith(SERVICES_PREFIX):
        return Outcome.unknown
    return Outcome.not_run


def _find_service(
    document: Document, organisation: Organisation, path: str
) -> tuple[Service, str]:
    _, _, rest = path.partition('/services/')
    name, slash, tail = rest.partition('/')
    service = document.services_by_name.get(name)
    if service is None or name not in organisation.services:
        raise RequestError(f'no service {name!r}', 404, 'service_not_found')
    return service, slash + tail or '/'


def _list_models(document: Document, organisation: Organisation) -> HttpAnswer:
    names = [
        name
        for model in document.models
        if model.name in organisation.models
        for name in (model.name, *model.adapters)
    ]
    return json_answer(
        200,
        {
            'object': 'list',
            'data': [
                {
                    'id': name,
                    'object': 'model',
                    'created': 0,
                    'owned_by': 'wasabistream',
                }
                for name in names
            ],
        },
    )

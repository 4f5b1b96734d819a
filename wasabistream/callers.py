"""Handler of the HTTP endpoints that an entry offers to callers."""

import dataclasses
from collections.abc import Callable
from functools import partial
from typing import Any

from wasabistream.answer_formats import AnswerContext, build_answer_format
from wasabistream.answers import error_body, retry_after_field
from wasabistream.attempts import AttemptTable
from wasabistream.backends import BackendDirectory
from wasabistream.configurations import ConfigurationStore
from wasabistream.credentials import authenticate
from wasabistream.digests import hash64
from wasabistream.dispatchers import (
    DEFAULT_STATUS,
    STATUS_BY_REASON,
    Dispatcher,
)
from wasabistream.documents import Document, Organisation
from wasabistream.exceptions import AttemptError, RequestError
from wasabistream.hangups import HangupWatcher
from wasabistream.http_servers import (
    HttpAnswer,
    HttpRequest,
    TakeSocket,
    json_answer,
)
from wasabistream.limits import ConcurrencyLimiter
from wasabistream.outcomes import Outcome
from wasabistream.owner_call_senders import OwnerCallSender
from wasabistream.request_bodies import (
    build_generation,
    parse_body,
    wants_usage,
)
from wasabistream.requests import Generate, Resume
from wasabistream.resumes import StreamResumer, parse_event_id
from wasabistream.routers import RouteQuery
from wasabistream.service_calls import (
    SERVICES_PREFIX,
    ServiceCallHandler,
    build_draining_refusal,
    entry_refusal_outcome,
)
from wasabistream.settings import EntrySettings
from wasabistream.streams import CallerStream
from wasabistream.writers import EventStreamWriter, WholeAnswerWriter

# Prompts with the same first characters are preferably sent to the same engine,
# which may have their prefix cached.
PREFIX_CHARACTERS = 256
STREAMS_PREFIX = '/v1/streams/'
# Answer format of each generation endpoint.
GENERATION_FORMATS = {
    '/v1/chat/completions': 'chat',
    '/v1/completions': 'completion',
}
MODELS_PATH = '/v1/models'


class CallerHandler:
    """Authenticate, route and answer the requests of callers at one entry."""

    def __init__(
        self,
        settings: EntrySettings,
        configuration: ConfigurationStore,
        directory: BackendDirectory,
        attempts: AttemptTable,
        dispatcher: Dispatcher,
        key_owner_sender: OwnerCallSender,
        hangups: HangupWatcher,
        remaining_seconds: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._attempts = attempts
        self._dispatcher = dispatcher
        self._hangups = hangups
        self._limiter = ConcurrencyLimiter()
        self._resumer = StreamResumer(directory, dispatcher)
        self._services = ServiceCallHandler(
            settings.data_centre,
            dispatcher,
            key_owner_sender,
            remaining_seconds,
        )

    def handle(
        self, request: HttpRequest, take_socket: TakeSocket
    ) -> HttpAnswer | None:
        """Return the answer, or None if it is written to the taken socket."""
        try:
            return self._route(request, take_socket)
        except RequestError as error:
            return request_error_answer(error, entry_refusal_outcome(request))
        except AttemptError as refusal:
            # Also raised if the entry refuses a request before any attempt.
            return refusal_answer(refusal)

    def _route(
        self, request: HttpRequest, take_socket: TakeSocket
    ) -> HttpAnswer | None:
        version = self._configuration.version
        if version is None:
            raise AttemptError(
                'no_document', entry_refusal_outcome(request), '', 1
            )
        document = version.document
        organisation = authenticate(document, request)
        path = request.path
        if path.startswith(SERVICES_PREFIX):
            return self._call_service(document, organisation, request)
        if path == MODELS_PATH or path.startswith(f'{MODELS_PATH}/'):
            _require_method(request, 'GET')
            return _build_models_answer(document, organisation, path)
        if path in GENERATION_FORMATS:
            _require_method(request, 'POST')
            self._generate(document, organisation, request, take_socket)
            return None
        if path.startswith(STREAMS_PREFIX):
            _require_method(request, 'GET')
            self._resume(organisation, request, take_socket)
            return None
        raise RequestError('no such endpoint', 404, 'not_found')

    def _call_service(
        self,
        document: Document,
        organisation: Organisation,
        request: HttpRequest,
    ) -> HttpAnswer:
        try:
            self._limiter.acquire(organisation)
        except AttemptError as refusal:
            # A call with a key may have run in an earlier request.
            refusal.outcome = entry_refusal_outcome(request)
            raise
        try:
            return self._services.call(document, organisation, request)
        finally:
            self._limiter.release(organisation)

    def _generate(
        self,
        document: Document,
        organisation: Organisation,
        request: HttpRequest,
        take_socket: TakeSocket,
    ) -> None:
        body = parse_body(request.body)
        request_id = self._dispatcher.new_request_id()
        request.record_id(request_id)
        generate = build_generation(document, organisation, request, body)
        context = AnswerContext(
            format_name=GENERATION_FORMATS[request.path],
            answer_id=request_id,
            model=generate.adapter or generate.model,
            prompt_tokens=generate.prompt_tokens,
            include_usage=wants_usage(body),
        )
        stream = self._open_caller_stream(organisation, take_socket, request_id)
        writer_type = (
            EventStreamWriter if body.get('stream') else WholeAnswerWriter
        )
        writer = writer_type(
            stream,
            build_answer_format(context),
            {'Wasabi-Request-Id': request_id},
        )
        generation = self._dispatcher.prepare(
            _add_id_and_context(generate, request_id, context),
            self._build_route_query(generate),
            writer,
        )
        # Called when the caller has closed its connection or reads too slowly.
        stream.on_caller_lost = generation.caller_gone
        stream.watch(self._hangups)
        generation.send()

    def _resume(
        self,
        organisation: Organisation,
        request: HttpRequest,
        take_socket: TakeSocket,
    ) -> None:
        stream_id, next_index = parse_event_id(request)
        view = self._resumer.find_backend_view(stream_id)
        request_id = self._dispatcher.new_request_id()
        request.record_id(request_id)
        stream = self._open_caller_stream(organisation, take_socket, request_id)
        # `stream` is the connection to this caller, `stream_id` the generation.
        # The reply of the agent replaces this format by that of the first answer.
        writer = EventStreamWriter(
            stream,
            build_answer_format(AnswerContext('chat', request_id, '')),
            {'Wasabi-Request-Id': request_id},
        )
        stream.watch(self._hangups)
        resume = Resume(request_id, stream_id, organisation.name, next_index)
        self._resumer.resume_stream(view, resume, stream, writer)

    def _open_caller_stream(
        self,
        organisation: Organisation,
        take_socket: TakeSocket,
        request_id: str,
    ) -> CallerStream:
        # The setting limits all open attempts, also those of service calls.
        if self._attempts.count >= self._settings.max_stream_count:
            raise AttemptError('too_many_streams', Outcome.not_run, '', 1)
        self._limiter.acquire(organisation)
        return CallerStream(
            take_socket(),
            self._settings.slow_caller_limit_bytes,
            request_id,
            partial(self._limiter.release, organisation),
        )

    def _build_route_query(self, generate: Generate) -> RouteQuery:
        return RouteQuery(
            data_centre=self._settings.data_centre,
            model=generate.model,
            adapter=generate.adapter,
            prefix=hash64(generate.model, generate.prompt[:PREFIX_CHARACTERS]),
        )


def request_error_answer(error: RequestError, outcome: Outcome) -> HttpAnswer:
    """Return the answer to an invalid request."""
    return HttpAnswer(
        error.status, error_body(error.reason, error.code, outcome)
    )


def draining_answer(request: HttpRequest) -> HttpAnswer:
    """Return the answer of an entry that is draining."""
    return refusal_answer(build_draining_refusal(request))


def refusal_answer(refusal: AttemptError) -> HttpAnswer:
    """Return the answer to a refused request."""
    return HttpAnswer(
        STATUS_BY_REASON.get(refusal.reason, DEFAULT_STATUS),
        # The reason is a code, which serves as the message too.
        error_body(refusal.reason, refusal.reason, refusal.outcome),
        headers=retry_after_field(refusal.retry_after_seconds),
    )


def _add_id_and_context(
    generate: Generate, request_id: str, context: AnswerContext
) -> Generate:
    return dataclasses.replace(
        generate, request_id=request_id, answer_context=context.encode()
    )


def _require_method(request: HttpRequest, method: str) -> None:
    if request.method != method:
        raise RequestError(f'use {method} here', 405, 'method_not_allowed')


def _build_models_answer(
    document: Document, organisation: Organisation, path: str
) -> HttpAnswer:
    names = [
        name
        for model in document.models
        if model.name in organisation.models
        for name in (model.name, *model.adapters)
    ]
    model_name = path.removeprefix(MODELS_PATH).strip('/')
    if not model_name:
        models = [_build_model_object(name) for name in names]
        return json_answer(200, {'object': 'list', 'data': models})
    if model_name not in names:
        raise RequestError(f'no model {model_name!r}', 404, 'model_not_found')
    return json_answer(200, _build_model_object(model_name))


def _build_model_object(name: str) -> dict[str, Any]:
    return {
        'id': name,
        'object': 'model',
        'created': 0,
        'owned_by': 'wasabistream',
    }

"""Validation of the bodies of generation requests."""

import json
from typing import Any

from wasabistream.digests import hash64
from wasabistream.documents import Document, Organisation
from wasabistream.exceptions import RequestError
from wasabistream.http_servers import HttpRequest
from wasabistream.prompt_parts import limit_parts
from wasabistream.requests import Generate

DEFAULT_MAX_TOKENS = 16384
DEFAULT_DEADLINE_SECONDS = 600.0
# For the estimate of the token count of a prompt.
CHARACTERS_PER_TOKEN = 4
CLASS_HEADER = 'wasabi-class'
DEADLINE_HEADER = 'wasabi-deadline-seconds'
WORK_CLASSES = frozenset(('urgent', 'normal', 'patient'))
# Sampling fields that are forwarded to the engine, with their JSON types.
FORWARDED_FIELDS: dict[str, tuple[type, ...]] = {
    'temperature': (int, float),
    'top_p': (int, float),
    'top_k': (int,),
    'min_p': (int, float),
    'seed': (int,),
    'frequency_penalty': (int, float),
    'presence_penalty': (int, float),
    'repetition_penalty': (int, float),
    'stop': (str, list),
    'logit_bias': (dict,),
    'response_format': (dict,),
}
# Fields that would change the answer but have no support, with the values that
# are accepted because they have no effect. Fields that this module does not
# name are ignored, as clients expect.
UNSUPPORTED_FIELDS: dict[str, tuple[Any, ...]] = {
    'n': (1,),
    'best_of': (1,),
    'logprobs': (False,),
    'top_logprobs': (0,),
    'echo': (False,),
    'suffix': ('',),
    'tools': ([],),
    'tool_choice': ('none', 'auto'),
    'functions': ([],),
    'modalities': (['text'],),
    'audio': (),
}


def parse_body(raw: bytes) -> dict[str, Any]:
    """Parse a body as a JSON object; raises RequestError."""
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as error:
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
    """Validate a generation request and build its message for an agent.

    The request id and the answer context are still empty. Raises RequestError.
    """
    model, adapter = _find_model(document, organisation, body.get('model'))
    messages = _read_messages(body)
    prompt = '\n'.join(messages)
    work_class = request.headers.get(CLASS_HEADER, organisation.default_class)
    if work_class not in WORK_CLASSES:
        raise RequestError('unknown work class', 400, 'bad_class')
    if work_class not in organisation.classes:
        raise RequestError('work class is not allowed', 403, 'bad_class')
    return Generate(
        request_id='',
        organisation=organisation.name,
        model=model,
        work_class=work_class,
        prompt=prompt,
        prompt_tokens=max(1, len(prompt) // CHARACTERS_PER_TOKEN),
        max_tokens=_read_max_tokens(body, organisation.max_output_tokens),
        deadline_seconds=_read_deadline_seconds(request),
        fingerprint=hash64(organisation.name, model, prompt),
        document_revision=document.revision,
        adapter=adapter,
        priority_weight=float(organisation.priority_weight),
        options=json.dumps(_read_options(body)),
        # The last message is the request's own.
        prompt_parts=list(
            limit_parts(f'{hash64(text):016x}' for text in messages[:-1])
        ),
    )


def wants_usage(body: dict[str, Any]) -> bool:
    """Tell whether a stream ends with a usage event; raises RequestError."""
    stream_options = body.get('stream_options') or {}
    if not isinstance(stream_options, dict):
        raise RequestError(
            'stream_options is not an object', 400, 'bad_stream_options'
        )
    return bool(stream_options.get('include_usage'))


def _find_model(
    document: Document, organisation: Organisation, name: object
) -> tuple[str, str]:
    for model in document.models:
        if name == model.name and name in organisation.models:
            return model.name, ''
        if name in model.adapters and model.name in organisation.models:
            return model.name, str(name)
    raise RequestError(f'no model {name!r}', 404, 'model_not_found')


def _read_max_tokens(body: dict[str, Any], limit_tokens: int) -> int:
    for name in ('max_completion_tokens', 'max_tokens'):
        max_tokens = body.get(name)
        if max_tokens is None:
            continue
        if type(max_tokens) is int and 0 < max_tokens <= limit_tokens:
            return max_tokens
        raise RequestError(
            f'{name} is not from 1 to {limit_tokens}', 400, f'bad_{name}'
        )
    return min(DEFAULT_MAX_TOKENS, limit_tokens)


def _read_options(body: dict[str, Any]) -> dict[str, Any]:
    for name, accepted_values in UNSUPPORTED_FIELDS.items():
        if body.get(name) is not None and body[name] not in accepted_values:
            raise RequestError(f'{name} is not supported', 400, 'unsupported')
    options = {}
    for name, accepted_types in FORWARDED_FIELDS.items():
        option = body.get(name)
        if option is None:
            continue
        if isinstance(option, bool) or not isinstance(option, accepted_types):
            raise RequestError(f'{name} has a wrong type', 400, f'bad_{name}')
        options[name] = option
    return options


def _read_messages(body: dict[str, Any]) -> list[str]:
    if 'messages' not in body:
        prompt = body.get('prompt')
        if isinstance(prompt, str):
            return [prompt]
        raise RequestError('prompt is not a string', 400, 'bad_prompt')
    messages = body['messages']
    if not isinstance(messages, list) or not messages:
        raise RequestError('messages is not a list', 400, 'bad_messages')
    try:
        return [
            f'{item["role"]}: {_join_text_parts(item["content"])}'
            for item in messages
        ]
    except (KeyError, TypeError) as error:
        raise RequestError(
            'a message lacks role or text content', 400, 'bad_messages'
        ) from error


def _join_text_parts(content: Any) -> str:
    if isinstance(content, str):
        return content
    return ''.join(part['text'] for part in content)


def _read_deadline_seconds(request: HttpRequest) -> float:
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

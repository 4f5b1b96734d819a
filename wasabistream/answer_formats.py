"""Bodies of generated answers, as OpenAI client libraries expect them."""

import json
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any, Protocol


def _now_unix_seconds() -> int:
    return int(time.time())


@dataclass(frozen=True)
class AnswerContext:
    """Hold the fields that all events of one answer share.

    The agent keeps it with the stream, so that an entry that resumes the
    stream writes the same events as the first entry.
    """

    format_name: str
    answer_id: str
    model: str
    # Estimate from the length of the prompt.
    prompt_tokens: int = 0
    include_usage: bool = False
    created_unix_seconds: int = field(default_factory=_now_unix_seconds)

    def encode(self) -> str:
        """Return the context as JSON text for a message."""
        return json.dumps(asdict(self))

    def usage(self, completion_tokens: int) -> dict[str, int]:
        """Return the `usage` object of an answer."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': completion_tokens,
            'total_tokens': self.prompt_tokens + completion_tokens,
        }


def decode_answer_context(text: str) -> AnswerContext:
    """Parse an encoded context; raises ValueError or TypeError."""
    return AnswerContext(**json.loads(text))


class AnswerFormat(Protocol):
    """Build the JSON bodies of the answers of one endpoint."""

    context: AnswerContext

    def first(self, text: str) -> dict[str, Any]:
        """Return the event with the first token."""

    def delta(self, text: str) -> dict[str, Any]:
        """Return the event with a later token."""

    def end(self, finish_reason: str) -> dict[str, Any]:
        """Return the event with the finish reason, after the last token."""

    def usage_event(self, completion_tokens: int) -> dict[str, Any]:
        """Return the event with the token counts, which ends the stream."""

    def whole(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the body of an answer without streaming, except `usage`."""


_format_types: dict[str, Callable[[AnswerContext], AnswerFormat]] = {}


def register_answer_format(name: str) -> Callable[[type], type]:
    """Register a class under a format name, as in AnswerContext.format_name."""

    def register(format_type: type) -> type:
        _format_types[name] = format_type
        return format_type

    return register


def build_answer_format(context: AnswerContext) -> AnswerFormat:
    """Build the format that a context names; raises KeyError if unknown."""
    return _format_types[context.format_name](context)


def split_delta_event(answer_format: AnswerFormat) -> tuple[str, str]:
    """Return the JSON before and after the token text of a delta event.

    Later events are built by inserting their text, without encoding again.
    """
    placeholder = 'TEXT'
    before, after = json.dumps(answer_format.delta(placeholder)).rsplit(
        json.dumps(placeholder), 1
    )
    return before, after


@register_answer_format('chat')
class ChatFormat:
    """Build the bodies of /v1/chat/completions."""

    def __init__(self, context: AnswerContext) -> None:
        self.context = context
        self._common_fields = {
            'id': f'chatcmpl-{context.answer_id}',
            'created': context.created_unix_seconds,
            'model': context.model,
        }

    def first(self, text: str) -> dict[str, Any]:
        """Return the event with the first token."""
        return self._build_chunk({'role': 'assistant', 'content': text}, None)

    def delta(self, text: str) -> dict[str, Any]:
        """Return the event with a later token."""
        return self._build_chunk({'content': text}, None)

    def end(self, finish_reason: str) -> dict[str, Any]:
        """Return the event with the finish reason, after the last token."""
        return self._build_chunk({}, finish_reason)

    def usage_event(self, completion_tokens: int) -> dict[str, Any]:
        """Return the event with the token counts, which ends the stream."""
        return {
            **self._build_chunk({}, None),
            'choices': [],
            'usage': self.context.usage(completion_tokens),
        }

    def whole(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the body of an answer without streaming, except `usage`."""
        choice = {
            'index': 0,
            'message': {'role': 'assistant', 'content': text},
            'finish_reason': finish_reason,
        }
        return {
            **self._common_fields,
            'object': 'chat.completion',
            'choices': [choice],
        }

    def _build_chunk(
        self, delta: dict[str, str], finish_reason: str | None
    ) -> dict[str, Any]:
        choice = {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
        return {
            **self._common_fields,
            'object': 'chat.completion.chunk',
            'choices': [choice],
        }


@register_answer_format('completion')
class CompletionFormat:
    """Build the bodies of /v1/completions."""

    def __init__(self, context: AnswerContext) -> None:
        self.context = context
        self._common_fields = {
            'id': f'cmpl-{context.answer_id}',
            'object': 'text_completion',
            'created': context.created_unix_seconds,
            'model': context.model,
        }

    def first(self, text: str) -> dict[str, Any]:
        """Return the event with the first token."""
        return self.whole(text, None)

    def delta(self, text: str) -> dict[str, Any]:
        """Return the event with a later token."""
        return self.whole(text, None)

    def end(self, finish_reason: str) -> dict[str, Any]:
        """Return the event with the finish reason, after the last token."""
        return self.whole('', finish_reason)

    def usage_event(self, completion_tokens: int) -> dict[str, Any]:
        """Return the event with the token counts, which ends the stream."""
        return {
            **self._common_fields,
            'choices': [],
            'usage': self.context.usage(completion_tokens),
        }

    def whole(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        """Return the body of an event or of a whole answer, except `usage`."""
        choice = {
            'index': 0,
            'text': text,
            'logprobs': None,
            'finish_reason': finish_reason,
        }
        return {**self._common_fields, 'choices': [choice]}

"""Formats of generated answers that client libraries expect."""

import json
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any, Protocol


def _now_unix_seconds() -> int:
    return int(time.time())


@dataclass(frozen=True)
class AnswerContext:
    """Hold what every event of one answer repeats.

    The agent keeps it with the stream, so that an entry that resumes the
    stream writes the same events as the first entry.
    """

    format_name: str
    answer_id: str
    model: str
    prompt_tokens: int = 0
    include_usage: bool = False
    created_unix_seconds: int = field(default_factory=_now_unix_seconds)

    def encode(self) -> str:
        """Return the context as text for a message."""
        return json.dumps(asdict(self))

    def usage(self, completion_tokens: int) -> dict[str, int]:
        """Return the usage part of an answer."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': completion_tokens,
            'total_tokens': self.prompt_tokens + completion_tokens,
        }


def decode_answer_context(text: str) -> AnswerContext:
    """Read a context from a message; raises ValueError or TypeError."""
    return AnswerContext(**json.loads(text))


class AnswerFormat(Protocol):
    """Shape one kind of answer."""

    context: AnswerContext

    def first(self, text: str) -> dict[str, Any]:
        """Return the body of the first streamed event."""

    def delta(self, text: str) -> dict[str, Any]:
        """Return the body of a later streamed event."""

    def end(self, finish_reason: str) -> dict[str, Any]:
        """Return the body of the last streamed event."""

    def usage_event(self, completion_tokens: int) -> dict[str, Any]:
        """Return the body of the event with the usage numbers."""

    def whole(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the body of a whole answer."""


_formats: dict[str, Callable[[AnswerContext], AnswerFormat]] = {}


def register_answer_format(name: str) -> Callable[[type], type]:
    """Register an answer format under the name of its endpoint."""

    def register(format_type: type) -> type:
        _formats[name] = format_type
        return format_type

    return register


def build_answer_format(context: AnswerContext) -> AnswerFormat:
    """Build the registered format of a context; raises KeyError."""
    return _formats[context.format_name](context)


def split_delta_event(shape: AnswerFormat) -> tuple[str, str]:
    """Return the JSON before and after the text of later events."""
    mark = 'TEXT'
    before, after = json.dumps(shape.delta(mark)).rsplit(json.dumps(mark), 1)
    return before, after


@register_answer_format('chat')
class ChatFormat:
    """Shape chat completions."""

    def __init__(self, context: AnswerContext) -> None:
        self.context = context
        self._common = {
            'id': f'chatcmpl-{context.answer_id}',
            'created': context.created_unix_seconds,
            'model': context.model,
        }

    def first(self, text: str) -> dict[str, Any]:
        """Return the body of the first streamed event."""
        return self._event({'role': 'assistant', 'content': text}, None)

    def delta(self, text: str) -> dict[str, Any]:
        """Return the body of a later streamed event."""
        return self._event({'content': text}, None)

    def end(self, finish_reason: str) -> dict[str, Any]:
        """Return the body of the last streamed event."""
        return self._event({}, finish_reason)

    def usage_event(self, completion_tokens: int) -> dict[str, Any]:
        """Return the body of the event with the usage numbers."""
        return {
            **self._event({}, None),
            'choices': [],
            'usage': self.context.usage(completion_tokens),
        }

    def whole(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the body of a whole answer."""
        choice = {
            'index': 0,
            'message': {'role': 'assistant', 'content': text},
            'finish_reason': finish_reason,
        }
        return {
            **self._common,
            'object': 'chat.completion',
            'choices': [choice],
        }

    def _event(
        self, delta: dict[str, str], finish_reason: str | None
    ) -> dict[str, Any]:
        choice = {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
        return {
            **self._common,
            'object': 'chat.completion.chunk',
            'choices': [choice],
        }


@register_answer_format('completion')
class CompletionFormat:
    """Shape plain completions."""

    def __init__(self, context: AnswerContext) -> None:
        self.context = context
        self._common = {
            'id': f'cmpl-{context.answer_id}',
            'object': 'text_completion',
            'created': context.created_unix_seconds,
            'model': context.model,
        }

    def first(self, text: str) -> dict[str, Any]:
        """Return the body of the first streamed event."""
        return self.whole(text, None)

    def delta(self, text: str) -> dict[str, Any]:
        """Return the body of a later streamed event."""
        return self.whole(text, None)

    def end(self, finish_reason: str) -> dict[str, Any]:
        """Return the body of the last streamed event."""
        return self.whole('', finish_reason)

    def usage_event(self, completion_tokens: int) -> dict[str, Any]:
        """Return the body of the event with the usage numbers."""
        return {
            **self._common,
            'choices': [],
            'usage': self.context.usage(completion_tokens),
        }

    def whole(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        """Return the body of a whole answer."""
        choice = {
            'index': 0,
            'text': text,
            'logprobs': None,
            'finish_reason': finish_reason,
        }
        return {**self._common, 'choices': [choice]}

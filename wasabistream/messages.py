"""Registry, encoder and decoder of the messages between processes.

Messages travel as arrays: the type code, then the fields in declared order.
A field is only ever appended, with a default: an older reader ignores
trailing fields that it does not know, and a newer reader uses the default
of a field that an older sender leaves out.
"""

from collections.abc import Callable
from dataclasses import MISSING, dataclass, fields
from typing import ClassVar, TypeVar, get_type_hints

from wasabistream.exceptions import FrameError

PROTOCOL_VERSION_MIN = 1
# From version 2 on, a peer notice may leave unchanged lists out. From version 3
# on, messages about store contents state their epoch. From version 4 on, they
# may be compressed, and agents on the platform keep the origins of streams.
# From version 5 on, these agents tell how runs ended. From version 6 on, they
# stop a run only after the entry that streams it has replied to their notice.
PROTOCOL_VERSION_MAX = 6


@dataclass(frozen=True, slots=True)
class Message:
    """Base class of typed messages between two processes."""

    type_code: ClassVar[int] = 0


@dataclass(frozen=True, slots=True)
class _Codec:
    """Describe how one message type is decoded."""

    message_type: type[Message]
    names: tuple[str, ...]
    types: tuple[tuple[type, ...], ...]
    # Types of a frame with all fields; one comparison replaces the check of
    # each field.
    exact_types: tuple[type, ...]
    required_count: int


MessageType = TypeVar('MessageType', bound=type[Message])

_codecs: dict[int, _Codec] = {}

# Field annotations of messages and the decoded types they accept.
_ACCEPTED_TYPES: dict[object, tuple[type, ...]] = {
    int: (int,),
    float: (float, int),
    str: (str,),
    bool: (bool,),
    bytes: (bytes,),
    list: (list,),
    dict: (dict,),
}


def message(type_code: int) -> Callable[[MessageType], MessageType]:
    """Register a message class under its wire type code."""

    def register(message_type: MessageType) -> MessageType:
        if type_code in _codecs:
            raise ValueError(f'type code {type_code} is already registered')
        annotations = get_type_hints(message_type)
        declared_fields = fields(message_type)
        _codecs[type_code] = _Codec(
            message_type=message_type,
            names=tuple(field.name for field in declared_fields),
            types=tuple(
                _ACCEPTED_TYPES[annotations[field.name]]
                for field in declared_fields
            ),
            exact_types=tuple(
                _ACCEPTED_TYPES[annotations[field.name]][0]
                for field in declared_fields
            ),
            required_count=sum(
                field.default is MISSING and field.default_factory is MISSING
                for field in declared_fields
            ),
        )
        message_type.type_code = type_code
        return message_type

    return register


def encode_message(message_object: Message) -> tuple[object, ...]:
    """Return the type code and the fields of a message."""
    codec = _codecs[message_object.type_code]
    return (
        message_object.type_code,
        *[getattr(message_object, name) for name in codec.names],
    )


def decode_message(frame: list[object], peer: str) -> Message:
    """Build a message from a decoded array.

    Raises FrameError for a missing field or a field of another type. An
    unknown type code gives an UnknownMessage.
    """
    type_code = frame[0]
    codec = _codecs.get(type_code) if isinstance(type_code, int) else None
    if codec is None:
        return UnknownMessage()
    arguments = frame[1 : len(codec.names) + 1]
    if tuple(map(type, arguments)) == codec.exact_types:
        return codec.message_type(*arguments)
    if len(arguments) < codec.required_count:
        raise FrameError(
            f'message {type_code} lacks fields', step='decode', peer=peer
        )
    for name, accepted, argument in zip(codec.names, codec.types, arguments):
        if type(argument) not in accepted:
            raise FrameError(
                f'field {name} of message {type_code} is {type(argument).__name__}',
                step='decode',
                peer=peer,
            )
    return codec.message_type(*arguments)


@dataclass(frozen=True, slots=True)
class UnknownMessage(Message):
    """Represent a message of a newer version, which is ignored."""

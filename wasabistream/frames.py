"""Encoder and reader of the frames of a msgpack stream.

A frame is one msgpack array: the type code of the message followed by its
fields in declared order.
"""

import msgpack

from wasabistream.exceptions import FrameError
from wasabistream.messages import Message, decode_message, encode_message

# A configuration document has up to 1 MiB; the rest is for the other fields of
# its frame.
MAX_FRAME_BYTES = 1024 * 1024 + 64 * 1024
# Buffer of a new reader, which grows with its frames up to the limit. The
# library's default of 1 MiB for each link is filled over time and never freed.
INITIAL_BUFFER_BYTES = 16 * 1024
MAX_DEPTH = 8
NESTED_TYPES = (list, dict)


def encode_frame(message: Message) -> bytes:
    """Encode a message as one frame."""
    frame: bytes = msgpack.packb(encode_message(message))
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError(f'frame has {len(frame)} bytes', step='encode')
    return frame


class FrameReader:
    """Decode frames from received bytes."""

    def __init__(self, peer: str) -> None:
        # Names the peer in errors.
        self._peer = peer
        self._unpacker = msgpack.Unpacker(
            read_size=INITIAL_BUFFER_BYTES,
            max_buffer_size=2 * MAX_FRAME_BYTES,
            max_array_len=MAX_FRAME_BYTES,
            max_map_len=1024,
            max_bin_len=MAX_FRAME_BYTES,
            max_str_len=MAX_FRAME_BYTES,
        )

    def feed(self, received: bytes) -> list[Message]:
        """Return the messages completed by `received`.

        Raises FrameError when the stream is malformed.
        """
        try:
            self._unpacker.feed(received)
            unpacked = list(self._unpacker)
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            raise FrameError(
                f'malformed frame: {error!r}', step='decode', peer=self._peer
            ) from error
        return [self._decode(decoded) for decoded in unpacked]

    def _decode(self, decoded: object) -> Message:
        if not isinstance(decoded, list) or not decoded:
            raise FrameError(
                'frame is not a non-empty array', step='decode', peer=self._peer
            )
        for field_value in decoded:
            # Most fields are not nested; a call for each would take as long
            # as the rest of the decoding.
            if type(field_value) in NESTED_TYPES:
                self._check_depth(field_value, 1)
        return decode_message(decoded, self._peer)

    def _check_depth(self, field_value: object, depth: int) -> None:
        if not isinstance(field_value, (list, dict)):
            return
        if depth >= MAX_DEPTH:
            raise FrameError(
                f'frame nests more than {MAX_DEPTH} levels',
                step='decode',
                peer=self._peer,
            )
        children = (
            field_value.values()
            if isinstance(field_value, dict)
            else field_value
        )
        for child in children:
            self._check_depth(child, depth + 1)

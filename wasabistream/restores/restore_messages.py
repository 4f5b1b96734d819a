"""Messages between entries about a store that returned from an older copy."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(105)
@dataclass(frozen=True, slots=True)
class HeldItems(Message):
    """Send held items to an entry that may not have known them."""

    # Epoch of the store whose listing the holds correct.
    epoch: int
    # Rows of key, listed revision (0: the listing lacks it), content (None: held
    # as removed), revision and remaining time in ms (-1: until it is written).
    rows: list

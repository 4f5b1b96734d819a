"""Messages between entries about the demand for services."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(103)
@dataclass(frozen=True, slots=True)
class DemandNotice(Message):
    """Report what arrives at one entry, to entries of its data centre.

    Each row holds a service, its prompt tokens and expected tokens per second
    and the slope of the former in tokens per second squared, as whole numbers.
    """

    rows: list


@message(104)
@dataclass(frozen=True, slots=True)
class DataCentreDemand(Message):
    """Report the sum of a data centre, to entries of the others.

    The rows are those of a DemandNotice.
    """

    data_centre: str
    # Grows with each message of one sender.
    sequence: int
    rows: list
    # Mean age of the notices in the sum.
    age_ms: int

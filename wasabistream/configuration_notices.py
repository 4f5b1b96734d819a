"""Messages that relay patches, the VM list and refused documents."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(40)
@dataclass(frozen=True, slots=True)
class DocumentPatch(Message):
    """Carry a patch from the document with the base digest."""

    revision: int
    digest: str
    base_digest: str
    patch: bytes


@message(41)
@dataclass(frozen=True, slots=True)
class VmListDigest(Message):
    """Announce the VM list, or the subset for the receiver."""

    list_index: int
    digest: str
    read_age_seconds: float


@message(42)
@dataclass(frozen=True, slots=True)
class VmListFetch(Message):
    """Request the VM list, or a patch from the one with `held_digest`."""

    list_index: int
    held_digest: str


@message(43)
@dataclass(frozen=True, slots=True)
class VmListPatch(Message):
    """Carry a patch from the VM list with the base digest."""

    list_index: int
    digest: str
    base_digest: str
    read_age_seconds: float
    patch: bytes


@message(44)
@dataclass(frozen=True, slots=True)
class ReaderStatus(Message):
    """Report the age of the last read; below 0 the sender does not read.

    `list_read_age_seconds` is the age of the last read that gave the VM list
    with `list_index`.
    """

    read_age_seconds: float
    list_index: int
    list_read_age_seconds: float


@message(45)
@dataclass(frozen=True, slots=True)
class DocumentRefused(Message):
    """Report why a published document was refused."""

    digest: str
    cause: str
    problems: list

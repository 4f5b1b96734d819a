"""Messages that relay differences, the VM list and refused documents."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@message(40)
@dataclass(frozen=True, slots=True)
class DocumentPatch(Message):
    """Carry what differs from the document with the base digest."""

    revision: int
    digest: str
    base_digest: str
    patch: bytes


@message(41)
@dataclass(frozen=True, slots=True)
class VmListDigest(Message):
    """Tell which VM list, or which part of it, the sender holds."""

    list_index: int
    digest: str
    read_age_seconds: float


@message(42)
@dataclass(frozen=True, slots=True)
class VmListFetch(Message):
    """Ask for a VM list newer than the one that is held."""

    list_index: int
    held_digest: str


@message(43)
@dataclass(frozen=True, slots=True)
class VmListPatch(Message):
    """Carry what differs from the VM list with the base digest."""

    list_index: int
    digest: str
    base_digest: str
    read_age_seconds: float
    patch: bytes


@message(44)
@dataclass(frozen=True, slots=True)
class ReaderStatus(Message):
    """Tell how old the last read is; below 0 the sender does not read."""

    read_age_seconds: float
    list_index: int
    list_read_age_seconds: float


@message(45)
@dataclass(frozen=True, slots=True)
class DocumentRefused(Message):
    """Tell why a published document is not in force."""

    digest: str
    cause: str
    problems: list

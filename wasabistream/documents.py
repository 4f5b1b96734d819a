"""Configuration document of one environment."""

import hashlib
import json
from dataclasses import dataclass
from functools import cached_property
from typing import Any, NoReturn

import cattrs

from wasabistream.crosschecks import cross_check
from wasabistream.exceptions import DocumentError
from wasabistream.json_converters import problems_of, structure
from wasabistream.models import Model
from wasabistream.organisations import Organisation
from wasabistream.rules import (
    FormatNumber,
    Name,
    Rate,
    Region,
    Revision,
)
from wasabistream.services import CallRule, Service

__all__ = ('CallRule', 'Document', 'DocumentError', 'Model', 'Organisation')

MAX_DOCUMENT_BYTES = 1024 * 1024


@dataclass(frozen=True)
class DataCentre:
    """Describe one data centre."""

    name: Name
    in_service: bool = True
    region: Region = ''


@dataclass(frozen=True)
class EngineKind:
    """Describe what engines of one kind do."""

    name: Name
    checks_fencing: bool = True


@dataclass(frozen=True)
class Document:
    """Hold one accepted configuration document."""

    format: FormatNumber
    revision: Revision
    models: tuple[Model, ...]
    data_centres: tuple[DataCentre, ...]
    organisations: tuple[Organisation, ...]
    services: tuple[Service, ...] = ()
    engine_kinds: tuple[EngineKind, ...] = ()
    backend_servers_out: tuple[Name, ...] = ()
    # Rate of the weight store, shared by all engines of the environment.
    weight_loads_per_minute: Rate = 60

    @cached_property
    def organisations_by_digest(self) -> dict[str, Organisation]:
        """Map credential digests to organisations."""
        return {item.credential_sha256: item for item in self.organisations}

    @cached_property
    def services_by_name(self) -> dict[str, Service]:
        """Map names to services."""
        return {item.name: item for item in self.services}

    @cached_property
    def models_by_name(self) -> dict[str, Model]:
        """Map names to models."""
        return {item.name: item for item in self.models}

    def is_data_centre_in_service(self, name: str) -> bool:
        """Tell whether a data centre may get new work."""
        return all(
            item.in_service for item in self.data_centres if item.name == name
        )

    def checks_fencing(self, kind: str) -> bool:
        """Tell whether engines of a kind refuse a stale fencing token."""
        return all(
            item.checks_fencing
            for item in self.engine_kinds
            if item.name == kind
        )


@dataclass(frozen=True)
class DocumentVersion:
    """Hold a document with its canonical bytes and their digest."""

    document: Document
    body: bytes
    digest: str

    @property
    def version_id(self) -> tuple[int, str]:
        """Return the key by which versions are ordered."""
        return (self.document.revision, self.digest)


def parse_document(body: bytes) -> DocumentVersion:
    """Check the bytes of a document; raises DocumentError."""
    raw = load_json(body)
    problems: list[str] = []
    try:
        document = structure(raw, Document)
    except (cattrs.BaseValidationError, ValueError) as error:
        problems.extend(problems_of(error, '$'))
    problems.extend(cross_check(raw))
    if problems:
        raise DocumentError(tuple(problems))
    canonical = canonical_json(raw)
    return DocumentVersion(document, canonical, digest_of(canonical))


def load_json(body: bytes) -> Any:
    """Read JSON without repeated keys or NaN; raises DocumentError."""
    if len(body) > MAX_DOCUMENT_BYTES:
        raise DocumentError(
            (f'$: {len(body)} bytes, expected {MAX_DOCUMENT_BYTES} at most',)
        )
    try:
        return json.loads(
            body, object_pairs_hook=_unique, parse_constant=_refuse_constant
        )
    except (ValueError, RecursionError) as error:
        # The text of a decoding error may quote the document.
        reason = error.msg if isinstance(error, json.JSONDecodeError) else ''
        line = getattr(error, 'lineno', 0)
        cause = f'{reason or type(error).__name__} in line {line}'
        if isinstance(error, RepeatedKeyError):
            cause = str(error)
        raise DocumentError((f'$: not JSON: {cause}',)) from None


def canonical_json(raw: Any) -> bytes:
    """Return the bytes over which digests are taken.

    Formatting does not count, so that a relay can send differences.
    """
    return json.dumps(
        raw, sort_keys=True, separators=(',', ':'), allow_nan=False
    ).encode()


def digest_of(body: bytes) -> str:
    """Return the digest of bytes."""
    return hashlib.sha256(body).hexdigest()


class RepeatedKeyError(ValueError):
    """Report an object with the same key twice."""


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise RepeatedKeyError('an object has the same key twice')
    return found


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f'{name} is not a JSON number')

"""The configuration document of an environment, its checks and versions."""

import hashlib
import json
from dataclasses import dataclass
from functools import cached_property
from typing import Any, NoReturn

import cattrs

from wasabistream.crosschecks import cross_check
from wasabistream.exceptions import DocumentError
from wasabistream.json_converters import list_problems, structure
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
    """State whether engines of one kind check fencing tokens."""

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
    # Ids of the backend servers that operators have taken out of rotation.
    backend_servers_out: tuple[Name, ...] = ()
    # Rate that the weight store sustains for all engines of the environment.
    weight_loads_per_minute: Rate = 60

    @cached_property
    def organisations_by_digest(self) -> dict[str, Organisation]:
        """Return the organisations by credential digest."""
        return {item.credential_sha256: item for item in self.organisations}

    @cached_property
    def services_by_name(self) -> dict[str, Service]:
        """Return the services by name."""
        return {item.name: item for item in self.services}

    @cached_property
    def models_by_name(self) -> dict[str, Model]:
        """Return the models by name."""
        return {item.name: item for item in self.models}

    def is_data_centre_in_service(self, name: str) -> bool:
        """Tell whether a data centre may get new work; an unlisted one may."""
        return all(
            item.in_service for item in self.data_centres if item.name == name
        )

    def checks_fencing(self, kind: str) -> bool:
        """Tell whether engines check fencing tokens; unlisted kinds do."""
        return all(
            item.checks_fencing
            for item in self.engine_kinds
            if item.name == kind
        )


@dataclass(frozen=True)
class DocumentVersion:
    """Hold a document with its canonical JSON and the digest of that."""

    document: Document
    body: bytes
    digest: str

    @property
    def version_id(self) -> tuple[int, str]:
        """Return revision and digest, by which versions are ordered."""
        return (self.document.revision, self.digest)


def parse_document(body: bytes) -> DocumentVersion:
    """Parse and check a document; raises DocumentError with all problems."""
    raw = decode_json(body)
    problems: list[str] = []
    try:
        document = structure(raw, Document)
    except (cattrs.BaseValidationError, ValueError) as error:
        problems.extend(list_problems(error, '$'))
    problems.extend(cross_check(raw))
    if problems:
        raise DocumentError(tuple(problems))
    canonical = canonical_json(raw)
    return DocumentVersion(document, canonical, compute_digest(canonical))


def decode_json(body: bytes) -> Any:
    """Parse JSON; raises DocumentError, also for repeated keys and NaN."""
    if len(body) > MAX_DOCUMENT_BYTES:
        raise DocumentError(
            (f'$: {len(body)} bytes, expected {MAX_DOCUMENT_BYTES} at most',)
        )
    try:
        return json.loads(
            body,
            object_pairs_hook=_refuse_repeated_keys,
            parse_constant=_refuse_non_finite,
        )
    except (ValueError, RecursionError) as error:
        # The message of another error may quote the document, and with it
        # credential digests.
        reason = error.msg if isinstance(error, json.JSONDecodeError) else ''
        line = getattr(error, 'lineno', 0)
        cause = f'{reason or type(error).__name__} in line {line}'
        if isinstance(error, RepeatedKeyError):
            cause = str(error)
        raise DocumentError((f'$: not JSON: {cause}',)) from None


def canonical_json(raw: Any) -> bytes:
    """Encode a JSON value with sorted keys and no whitespace.

    Digests ignore formatting, so that a patch gives the same digest.
    """
    return json.dumps(
        raw, sort_keys=True, separators=(',', ':'), allow_nan=False
    ).encode()


def compute_digest(body: bytes) -> str:
    """Return the SHA-256 digest in hex."""
    return hashlib.sha256(body).hexdigest()


class RepeatedKeyError(ValueError):
    """Report a JSON object with a repeated key."""


def _refuse_repeated_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    mapping = dict(pairs)
    if len(mapping) < len(pairs):
        raise RepeatedKeyError('an object has the same key twice')
    return mapping


def _refuse_non_finite(name: str) -> NoReturn:
    raise ValueError(f'{name} is not a JSON number')

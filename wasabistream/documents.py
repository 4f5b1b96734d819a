"""Configuration document of one environment."""

import hashlib
import json
from dataclasses import dataclass
from functools import cached_property

import cattrs

from wasabistream.exceptions import WasabiError

FORMAT = 1
MAX_DOCUMENT_BYTES = 1024 * 1024


class DocumentError(WasabiError):
    """Report all problems of a document."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__('; '.join(problems), step='document')
        self.problems = problems


@dataclass(frozen=True)
class Model:
    """Describe one model and where it is served."""

    name: str
    version: str
    data_centres: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    min_replica_count: int = 1
    # Part of the data centre's engines that serve the model.
    weight: float = 1


@dataclass(frozen=True)
class DataCentre:
    """Describe one data centre."""

    name: str
    in_service: bool = True
    region: str = ''


@dataclass(frozen=True)
class Organisation:
    """Describe one organisation and its credential."""

    name: str
    credential_sha256: str
    priority_weight: float = 1
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    default_class: str = 'normal'
    max_concurrent_count: int = 10000


@dataclass(frozen=True)
class CallRule:
    """Name calls of a service that may not be repeated."""

    method: str
    path_prefix: str


@dataclass(frozen=True)
class Service:
    """Describe one plain service."""

    name: str
    non_repeatable: tuple[CallRule, ...] = ()
    retry_horizon_seconds: float = 600
    settling_seconds: float = 10
    clock_offset_seconds: float = 1
    timeout_seconds: float = 10

    def is_repeatable(self, method: str, path: str) -> bool:
        """Tell whether a call may run more than once."""
        return not any(
            rule.method.upper() == method and path.startswith(rule.path_prefix)
            for rule in self.non_repeatable
        )


@dataclass(frozen=True)
class EngineKind:
    """Describe what engines of one kind do."""

    name: str
    checks_fencing: bool = True


@dataclass(frozen=True)
class Document:
    """Hold one accepted configuration document."""

    format: int
    revision: int
    models: tuple[Model, ...]
    data_centres: tuple[DataCentre, ...]
    organisations: tuple[Organisation, ...]
    services: tuple[Service, ...] = ()
    engine_kinds: tuple[EngineKind, ...] = ()
    backend_servers_out: tuple[str, ...] = ()
    weight_loads_per_minute: float = 60

    @cached_property
    def organisations_by_digest(self) -> dict[str, Organisation]:
        """Map credential digests to organisations."""
        return {item.credential_sha256: item for item in self.organisations}

    @cached_property
    def services_by_name(self) -> dict[str, Service]:
        """Map names to services."""
        return {item.name: item for item in self.services}

    def data_centre_in_service(self, name: str) -> bool:
        """Tell whether a data centre may get new work."""
        return all(
            item.in_service for item in self.data_centres if item.name == name
        )


@dataclass(frozen=True)
class DocumentVersion:
    """Hold a document with its bytes and their digest."""

    document: Document
    body: bytes
    digest: str

    @property
    def order(self) -> tuple[int, str]:
        """Return the key by which versions are ordered."""
        return (self.document.revision, self.digest)


_converter = cattrs.Converter(forbid_extra_keys=True)


def parse_document(body: bytes) -> DocumentVersion:
    """Check the bytes of a document; raises DocumentError."""
    if len(body) > MAX_DOCUMENT_BYTES:
        raise DocumentError((f'$: {len(body)} bytes',))
    try:
        document = _converter.structure(json.loads(body), Document)
    except ValueError as error:
        raise DocumentError((f'$: not JSON: {error}',)) from error
    except cattrs.BaseValidationError as error:
        raise DocumentError(
            tuple(cattrs.transform_error(error, path='$'))
        ) from error
    return DocumentVersion(document, body, hashlib.sha256(body).hexdigest())

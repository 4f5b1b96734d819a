"""Settings of the daemons, read from flags and environment variables."""

from collections.abc import Mapping
from dataclasses import MISSING, dataclass, field, fields
from typing import Any, TypeVar

from wasabistream.exceptions import SettingsError
from wasabistream.setting_rules import (
    RULES,
    find_joint_problems,
    find_rule_problems,
)

ENVIRONMENT_PREFIX = 'WASABI_'

# Defaults of every setting that has one; field names end in their unit. RULES
# states what each setting means and which values it accepts.
DEFAULT_CONFIG: Mapping[str, Any] = {
    'address': '127.0.0.1',
    'http_port': 0,
    'link_port': 0,
    'reader_count': 2,
    'configuration_url': 'http://127.0.0.1:8500',
    'document_key': 'wasabistream/document',
    'vm_list_key': 'wasabistream/vms',
    'drain_limit_seconds': 120.0,
    # A load balancer notices a lost readiness only at its next probes.
    'drain_notice_seconds': 3.0,
    'log_level': 'INFO',
    'max_body_bytes': 1024 * 1024,
    'max_header_bytes': 16 * 1024,
    'worker_thread_count': 64,
    'max_stream_count': 2000,
    'slow_caller_limit_bytes': 256 * 1024,
    'routing_policy': 'balanced',
    'backend_url': 'http://127.0.0.1:8000',
    'backend_kind': 'engine',
    'engine_kind': 'standard',
    'service': '',
    'admission_policy': 'growth',
    'memory_headroom_ratio': 0.95,
    'ramp_start_count': 2,
    'max_batch_count': 256,
    'normal_token_seconds': 0.0,
    'stream_buffer_bytes': 8 * 1024 * 1024,
    'orphan_limit_seconds': 10.0,
    'service_concurrency_count': 32,
    'ledger_bytes': 32 * 1024 * 1024,
    'report_interval_seconds': 1.0,
    'tls_certificate_file': '',
    'tls_key_file': '',
    'tls_authority_file': '',
}

SettingsType = TypeVar('SettingsType')


def _setting(name: str, *, minimum: float = 0) -> Any:
    return field(default=DEFAULT_CONFIG[name], metadata={'minimum': minimum})


@dataclass(frozen=True, kw_only=True)
class ProcessSettings:
    """Hold the settings that entry and agent share."""

    # Id of the process in the deployment, not that of the operating system.
    process_id: str
    data_centre: str
    address: str = _setting('address')
    http_port: int = _setting('http_port')
    link_port: int = _setting('link_port')
    drain_limit_seconds: float = _setting('drain_limit_seconds')
    log_level: str = _setting('log_level')
    report_interval_seconds: float = _setting(
        'report_interval_seconds', minimum=0.05
    )
    tls_certificate_file: str = _setting('tls_certificate_file')
    tls_key_file: str = _setting('tls_key_file')
    tls_authority_file: str = _setting('tls_authority_file')


@dataclass(frozen=True, kw_only=True)
class EntrySettings(ProcessSettings):
    """Hold the settings of an entry daemon of `wasabistream.entries`.

    Entries on the platform use NodeSettings instead.
    """

    configuration_url: str = _setting('configuration_url')
    # Key of the configuration document in the configuration service.
    document_key: str = _setting('document_key')
    vm_list_key: str = _setting('vm_list_key')
    # Entries of a data centre that read the configuration service.
    reader_count: int = _setting('reader_count', minimum=1)
    max_body_bytes: int = _setting('max_body_bytes', minimum=1)
    max_header_bytes: int = _setting('max_header_bytes', minimum=1)
    worker_thread_count: int = _setting('worker_thread_count', minimum=1)
    max_stream_count: int = _setting('max_stream_count', minimum=1)
    # Unsent bytes of one stream that may wait for its caller.
    slow_caller_limit_bytes: int = _setting(
        'slow_caller_limit_bytes', minimum=1
    )
    drain_notice_seconds: float = _setting('drain_notice_seconds')
    routing_policy: str = _setting('routing_policy')


@dataclass(frozen=True, kw_only=True)
class AgentSettings(ProcessSettings):
    """Hold the settings of an agent."""

    backend_url: str = _setting('backend_url')
    backend_kind: str = _setting('backend_kind')
    # Protocol of the engine.
    engine_kind: str = _setting('engine_kind')
    service: str = _setting('service')
    # With `growth`, generations start while the projected peak of their memory
    # stays within the limit.
    admission_policy: str = _setting('admission_policy')
    # Part of the engine memory that may be in use, not the part left free.
    memory_headroom_ratio: float = _setting('memory_headroom_ratio')
    # Number of generations that a cold engine may start with.
    ramp_start_count: int = _setting('ramp_start_count', minimum=1)
    # Maximum number of generations in the engine, not of batches.
    max_batch_count: int = _setting('max_batch_count', minimum=1)
    # Time between tokens of a warm engine; with 0 the agent measures it.
    normal_token_seconds: float = _setting('normal_token_seconds')
    # Bytes of each stream that are kept for resumes.
    stream_buffer_bytes: int = _setting('stream_buffer_bytes', minimum=1)
    # A stream that has had no reader for this long is cancelled, except one of
    # the class `patient`.
    orphan_limit_seconds: float = _setting('orphan_limit_seconds')
    service_concurrency_count: int = _setting(
        'service_concurrency_count', minimum=1
    )
    # Memory for the recorded idempotency keys and their answers.
    ledger_bytes: int = _setting('ledger_bytes', minimum=1)


def load_settings(
    settings_type: type[SettingsType],
    flags: Mapping[str, Any],
    environment: Mapping[str, str],
) -> SettingsType:
    """Build settings; a flag overrides its environment variable.

    Raises SettingsError with all problems at once.
    """
    problems: list[str] = []
    arguments: dict[str, Any] = {}
    fields_by_name = {
        declared_field.name: declared_field
        for declared_field in fields(settings_type)  # type: ignore[arg-type]
    }
    for name in flags:
        if name not in fields_by_name:
            problems.append(f'--{name}: unknown setting')
    for name, declared_field in fields_by_name.items():
        variable = ENVIRONMENT_PREFIX + name.upper()
        raw = flags.get(name, environment.get(variable))
        if raw is None:
            if declared_field.default is MISSING:
                problems.append(f'--{name} or {variable} is required')
            continue
        try:
            arguments[name] = _convert(
                raw, declared_field.type, declared_field.metadata
            )
        except ValueError as error:
            problems.append(f'--{name}: {error}')
    problems.extend(find_rule_problems(arguments))
    problems.extend(find_joint_problems(arguments))
    if problems:
        raise SettingsError(tuple(problems))
    return settings_type(**arguments)


def _convert(raw: Any, target_type: Any, limits: Mapping[str, float]) -> Any:
    if target_type is str:
        return str(raw)
    try:
        number = target_type(raw)
    except (TypeError, ValueError):
        raise ValueError(f'{raw!r} is not {target_type.__name__}') from None
    # NaN fails every comparison, so that it counts as below the minimum.
    if not number >= limits.get('minimum', 0):
        raise ValueError(f'{raw!r} is below {limits["minimum"]}')
    return number


def describe_settings(settings_type: type) -> list[dict[str, str]]:
    """Return name, type, default, choices and meaning of each setting."""
    rows = []
    for declared_field in fields(settings_type):
        rule = RULES[declared_field.name]
        required = declared_field.default is MISSING
        rows.append(
            {
                'setting': declared_field.name,
                'type': getattr(
                    declared_field.type, '__name__', str(declared_field.type)
                ),
                'default': 'required'
                if required
                else str(declared_field.default),
                'choices': ', '.join(rule.choices),
                'meaning': rule.meaning,
            }
        )
    return rows

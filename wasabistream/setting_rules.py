"""Meanings of the settings and the values that they accept."""

import math
import re
import urllib.parse
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from wasabistream.units import MAX_PORT

# Ids become parts of request ids, stream ids and header fields.
ID_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR', 'CRITICAL')

# Returns what is wrong with a value, or an empty string.
ValueCheck = Callable[[Any], str]


@dataclass(frozen=True)
class SettingRule:
    """Describe one setting and the values that it accepts."""

    meaning: str
    choices: tuple[str, ...] = ()
    maximum: float = math.inf
    check: ValueCheck | None = None

    def find_problem(self, setting: Any) -> str:
        """Return what is wrong with a value, or an empty string."""
        if self.choices and setting not in self.choices:
            return f'{setting!r} is not one of {", ".join(self.choices)}'
        if isinstance(setting, float) and not math.isfinite(setting):
            return f'{setting!r} is not finite'
        if not isinstance(setting, str) and setting > self.maximum:
            return f'{setting!r} is above {self.maximum:g}'
        return self.check(setting) if self.check else ''


def _check_id(setting: str) -> str:
    if ID_PATTERN.fullmatch(setting):
        return ''
    return f'{setting!r} has other characters than letters, digits and ._-'


def _check_url(setting: str) -> str:
    try:
        parts = urllib.parse.urlsplit(setting)
        valid = parts.scheme in {'http', 'https'} and bool(parts.hostname)
        valid = valid and (parts.port is None or parts.port > 0)
    except ValueError:
        valid = False
    return '' if valid else f'{setting!r} is not an HTTP URL'


def _check_empty(setting: str) -> str:
    # A process that ignored the files would send unencrypted data unnoticed.
    return 'TLS between processes is not implemented' if setting else ''


RULES: Mapping[str, SettingRule] = {
    'process_id': SettingRule('id of this process', check=_check_id),
    'data_centre': SettingRule('data centre of this VM', check=_check_id),
    'address': SettingRule('IP address to listen on'),
    'http_port': SettingRule(
        'port of the HTTP server; 0 takes a free one', maximum=MAX_PORT
    ),
    'link_port': SettingRule(
        'port for links of peers; 0 takes a free one', maximum=MAX_PORT
    ),
    'drain_limit_seconds': SettingRule('longest wait for work at shutdown'),
    'drain_notice_seconds': SettingRule(
        'time in which a draining entry still serves new requests'
    ),
    'log_level': SettingRule('least severe log lines', LOG_LEVELS),
    'report_interval_seconds': SettingRule('time between load reports'),
    'tls_certificate_file': SettingRule(
        'certificate for links (not implemented)', check=_check_empty
    ),
    'tls_key_file': SettingRule(
        'key of the certificate (not implemented)', check=_check_empty
    ),
    'tls_authority_file': SettingRule(
        'authority of peers (not implemented)', check=_check_empty
    ),
    'configuration_url': SettingRule(
        'URL of the configuration service', check=_check_url
    ),
    'document_key': SettingRule('key of the configuration document'),
    'vm_list_key': SettingRule('key of the VM list'),
    'reader_count': SettingRule(
        'entries of a data centre that read the configuration service'
    ),
    'max_body_bytes': SettingRule('longest request body'),
    'max_header_bytes': SettingRule('longest request head'),
    'worker_thread_count': SettingRule('threads that read requests'),
    'max_stream_count': SettingRule('most open attempts of this entry'),
    'slow_caller_limit_bytes': SettingRule(
        'bytes that may wait for a slow caller'
    ),
    'routing_policy': SettingRule(
        'choice of the backend server',
        ('balanced', 'round_robin', 'least_requests'),
    ),
    'backend_url': SettingRule('URL of the backend server', check=_check_url),
    'backend_kind': SettingRule(
        'kind of the backend server', ('engine', 'service')
    ),
    'engine_kind': SettingRule('protocol of the engine', ('standard',)),
    'service': SettingRule('name of the plain service'),
    'admission_policy': SettingRule(
        'admission control of the engine', ('growth', 'open')
    ),
    'memory_headroom_ratio': SettingRule(
        'part of the engine memory in use at most', maximum=1
    ),
    'ramp_start_count': SettingRule('generations that a cold engine starts'),
    'max_batch_count': SettingRule('most generations in an engine'),
    'normal_token_seconds': SettingRule(
        'time between tokens of a warm engine; 0 learns it'
    ),
    'stream_buffer_bytes': SettingRule('bytes kept of each stream'),
    'orphan_limit_seconds': SettingRule(
        'time after which a stream without a reader is cancelled'
    ),
    'service_concurrency_count': SettingRule(
        'most calls of a plain service at a time'
    ),
    'ledger_bytes': SettingRule('bytes for recorded keys and answers'),
}


def find_rule_problems(settings: Mapping[str, Any]) -> list[str]:
    """Return what is wrong with single settings."""
    found = {
        name: RULES[name].find_problem(setting)
        for name, setting in settings.items()
        if name in RULES
    }
    return [f'--{name}: {text}' for name, text in found.items() if text]


def find_joint_problems(settings: Mapping[str, Any]) -> list[str]:
    """Return what is wrong with settings that depend on each other."""
    has_no_service = not settings.get('service')
    if settings.get('backend_kind') == 'service' and has_no_service:
        return ['--service: is required for a service']
    return []

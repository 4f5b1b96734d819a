"""Tests of settings."""

import pathlib
import unittest

from wasabistream.exceptions import SettingsError
from wasabistream.settings import (
    AgentSettings,
    EntrySettings,
    load_settings,
)
from wasabistream_tools.settings_page import settings_page

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'settings.md'
REQUIRED = {'process_id': 'one', 'data_centre': 'dc-a'}


class SettingsTest(unittest.TestCase):
    """Guard the check of settings before anything starts."""

    def test_all_problems_at_once(self) -> None:
        """Guard against a daemon that starts with a value it cannot use."""
        wrong = {
            'data_centre': 'a/b',
            'http_port': 70000,
            'log_level': 'LOUD',
            'backend_url': 'ftp://x',
            'backend_kind': 'service',
            'memory_headroom_ratio': 'nan',
            'tls_key_file': '/none',
            'color': 'red',
        }
        raised = self.assertRaises(SettingsError)
        with raised:
            load_settings(AgentSettings, wrong, {})
        named = {
            problem.partition(':')[0].partition(' ')[0].removeprefix('--')
            for problem in raised.exception.problems
        }
        self.assertEqual(
            named, {*wrong, 'process_id', 'service'} - {'backend_kind'}
        )

    def test_flag_goes_before_variable(self) -> None:
        """Guard the order of flags and environment variables."""
        environment = {'WASABI_HTTP_PORT': '1', 'WASABI_LINK_PORT': '2'}
        settings = load_settings(
            EntrySettings, {**REQUIRED, 'http_port': 3}, environment
        )
        self.assertEqual((settings.http_port, settings.link_port), (3, 2))

    def test_page_is_current(self) -> None:
        """Guard the page of settings against the declarations."""
        self.assertEqual(PAGE.read_text(encoding='utf-8'), settings_page())

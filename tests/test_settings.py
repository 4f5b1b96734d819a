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
    """Test the checks of settings at the start of a daemon."""

    def test_all_problems_at_once(self) -> None:
        """Guard against an invalid setting that is accepted or not reported."""
        flags = {
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
            load_settings(AgentSettings, flags, {})
        reported = {
            problem.partition(':')[0].partition(' ')[0].removeprefix('--')
            for problem in raised.exception.problems
        }
        # process_id is missing, and a backend of kind service needs the setting
        # service; the kind itself is valid.
        self.assertEqual(
            reported, {*flags, 'process_id', 'service'} - {'backend_kind'}
        )

    def test_flag_overrides_variable(self) -> None:
        """Guard against a variable that overrides a flag or is ignored."""
        environment = {'WASABI_HTTP_PORT': '1', 'WASABI_LINK_PORT': '2'}
        settings = load_settings(
            EntrySettings, {**REQUIRED, 'http_port': 3}, environment
        )
        self.assertEqual((settings.http_port, settings.link_port), (3, 2))

    def test_page_is_current(self) -> None:
        """Guard against a page of settings that differs from the code."""
        self.assertEqual(PAGE.read_text(encoding='utf-8'), settings_page())

"""Tests of the commands check, diff and plan."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from typing import Any

from tests.builders import build_full_document
from wasabistream.commands import Commands


def _build_vm(number: int, data_centre: str) -> dict[str, Any]:
    return {
        'id': f'{data_centre}-{number}',
        'role': 'agent',
        'address': '127.0.0.1',
        'link_port': 1,
        'data_centre': data_centre,
    }


class InspectionTest(unittest.TestCase):
    """Guard the output of the commands that operators run before a change."""

    def setUp(self) -> None:
        """Build two documents and a VM list."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.before = build_full_document()
        self.after = build_full_document(revision=2)
        self.vms = [
            _build_vm(number, data_centre)
            for data_centre in ('dc-a', 'dc-b')
            for number in range(4)
        ]

    def run_command(self, name: str, **options: Any) -> tuple[int, str, str]:
        """Run a command and return its exit code and output."""
        out, err = io.StringIO(), io.StringIO()
        paths = {
            key: self.write(key, content) for key, content in options.items()
        }
        code = 0
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                getattr(Commands(), name)(**paths, json=True)
            except SystemExit as stop:
                code = int(stop.code or 0)
        return code, out.getvalue(), err.getvalue()

    def write(self, name: str, content: Any) -> str:
        """Write a JSON file and return its path."""
        path = self.folder / name
        path.write_text(json.dumps(content), encoding='utf-8')
        return str(path)

    def test_bad_document(self) -> None:
        """Guard against an exit code 0 for an invalid document."""
        code, out, err = self.run_command('check', document={'format': 2})
        self.assertEqual((code, out), (2, ''))
        self.assertIn('$.format: 2 is not from 1 to 1', err)
        self.assertIn('$.revision: required field is missing', err)

    def test_diff_hides_credentials(self) -> None:
        """Guard against credential digests in the output of diff."""
        self.after['organisations'][0]['credential_sha256'] = 'b' * 64
        self.after['organisations'].append(
            {'name': 'new', 'credential_sha256': 'c' * 64}
        )
        code, out, _ = self.run_command(
            'diff', before=self.before, after=self.after
        )
        rows = [json.loads(line) for line in out.splitlines()]
        self.assertEqual(code, 0)
        self.assertEqual(
            [row['path'] for row in rows],
            [
                '$.organisations.desk.credential_sha256',
                '$.organisations.new',
                '$.revision',
            ],
        )
        self.assertNotIn('b' * 8, out)
        self.assertNotIn('c' * 8, out)

    def test_plan(self) -> None:
        """Guard against a plan that omits model loads or engines to drain."""
        self.after['models'][0]['version_by_data_centre'] = {'dc-b': '9'}
        self.after['backend_servers_out'] = ['dc-a-0']
        code, out, _ = self.run_command(
            'plan',
            before=self.before,
            after=self.after,
            vms={'vms': self.vms},
        )
        plan = json.loads(out)
        totals = [
            (
                row['engines_after'],
                row['load_count'],
                row['drain_count'],
                row['kept_percent'],
            )
            for row in plan['data_centres']
        ]
        self.assertEqual(code, 0)
        self.assertEqual(totals, [(3, 0, 1, 75.0), (4, 4, 0, 0.0)])

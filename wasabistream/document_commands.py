"""Commands that read documents from files: check, diff and plan."""

import pathlib
import sys
from dataclasses import asdict

from wasabistream.applications import EXIT_BAD_SETTINGS
from wasabistream.comparisons import compare
from wasabistream.documents import DocumentVersion, parse_document
from wasabistream.exceptions import ConfigurationError, DocumentError
from wasabistream.plans import make_plan
from wasabistream.tables import write_rows
from wasabistream.vms import VmList, parse_vm_list


def check(path: str, as_json: bool) -> None:
    """Check a document and print its revision, digest and counts."""
    version = read_document(path)
    document = version.document
    row = {
        'revision': document.revision,
        'digest': version.digest,
        'size_bytes': len(version.body),
        'models': len(document.models),
        'data_centres': len(document.data_centres),
        'organisations': len(document.organisations),
        'services': len(document.services),
    }
    write_rows([row], as_json)


def diff(before: str, after: str, as_json: bool) -> None:
    """Print the differences between two documents."""
    differences = compare(read_document(before), read_document(after))
    write_rows([asdict(item) for item in differences], as_json)


def plan(before: str, after: str, vms: str, as_json: bool) -> None:
    """Print the model loads, moves and drains that a change causes."""
    version_before, version_after = read_document(before), read_document(after)
    if version_after.version_id < version_before.version_id:
        _exit_with_problems(
            [f'{after}: revision is below {version_before.document.revision}']
        )
    result = make_plan(
        version_before.document, version_after.document, _read_vm_list(vms)
    )
    if as_json:
        write_rows([asdict(result)], as_json)
        return
    write_rows([asdict(item) for item in result.data_centres], as_json)
    sys.stdout.write('\n')
    write_rows([asdict(item) for item in result.models], as_json)
    sys.stdout.write(
        f'\nloads take {result.load_seconds:.0f} s at the weight store rate\n'
    )


def read_document(path: str) -> DocumentVersion:
    """Read a document, or print its problems and exit."""
    try:
        return parse_document(_read_file(path))
    except DocumentError as error:
        _exit_with_problems(
            [f'{path}: {problem}' for problem in error.problems]
        )
        raise


def _read_vm_list(path: str) -> VmList:
    try:
        return parse_vm_list(_read_file(path), 0)
    except ConfigurationError as error:
        _exit_with_problems([f'{path}: {error}'])
        raise


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        _exit_with_problems([f'{path}: {error.strerror}'])
        raise


def _exit_with_problems(problems: list[str]) -> None:
    for problem in problems:
        sys.stderr.write(f'{problem}\n')
    sys.exit(EXIT_BAD_SETTINGS)

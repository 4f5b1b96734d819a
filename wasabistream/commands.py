"""Commands of the command line."""

import json
import os
import pathlib
import sys
from typing import Any

from wasabistream.agents import AgentApplication
from wasabistream.applications import EXIT_BAD_SETTINGS, Application
from wasabistream.documents import DocumentError, parse_document
from wasabistream.entries import EntryApplication
from wasabistream.exceptions import SettingsError
from wasabistream.logs import configure_logs
from wasabistream.measures import Measures
from wasabistream.settings import AgentSettings, EntrySettings, load_settings


class Commands:
    """Run and inspect wasabistream."""

    measure = Measures

    def entry(self, **flags: Any) -> None:
        """Run an entry daemon; settings are flags or WASABI_ variables."""
        settings = _load(EntrySettings, flags)
        configure_logs(settings.log_level, settings.process_id)
        _run(EntryApplication(settings))

    def agent(self, **flags: Any) -> None:
        """Run an agent; settings are flags or WASABI_ variables."""
        settings = _load(AgentSettings, flags)
        configure_logs(settings.log_level, settings.process_id)
        _run(AgentApplication(settings))

    def check(self, document: str) -> None:
        """Check a configuration document file and print its digest."""
        body = pathlib.Path(document).read_bytes()
        try:
            version = parse_document(body)
        except DocumentError as error:
            for problem in error.problems:
                sys.stderr.write(f'{problem}\n')
            sys.exit(EXIT_BAD_SETTINGS)
        sys.stdout.write(
            json.dumps(
                {
                    'revision': version.document.revision,
                    'digest': version.digest,
                }
            )
            + '\n'
        )


def _load(settings_type: Any, flags: dict[str, Any]) -> Any:
    try:
        return load_settings(settings_type, flags, os.environ)
    except SettingsError as error:
        for problem in error.problems:
            sys.stderr.write(f'{problem}\n')
        sys.exit(EXIT_BAD_SETTINGS)


def _run(application: Application) -> None:
    sys.exit(application.run())

"""Commands of the `wasabistream` command line, run by fire."""

import os
import sys
from typing import Any

from fire.decorators import SetParseFn

from wasabistream import daemon_commands, document_commands
from wasabistream.agents import AgentApplication
from wasabistream.applications import EXIT_BAD_SETTINGS, EXIT_DONE, Application
from wasabistream.entries import EntryApplication
from wasabistream.exceptions import SettingsError
from wasabistream.inspection import log_commands
from wasabistream.logs import configure_logs
from wasabistream.measure_commands import MeasureCommands
from wasabistream.route_queries import route_commands
from wasabistream.route_queries.queries import FIELD_NAMES
from wasabistream.settings import (
    AgentSettings,
    EntrySettings,
    describe_settings,
    load_settings,
)

# fire passes all flags to a command that accepts any, so such a command prints
# its help itself.
HELP_FLAGS = frozenset(('help', 'h'))
# Options of `route` that are texts, whatever they look like.
ROUTE_OPTIONS = ('urls', 'key', 'operator_key', *FIELD_NAMES)


class Commands:
    """Run and inspect wasabistream."""

    # An instance: fire's help leaves out the methods of a class.
    measure = MeasureCommands()

    def entry(self, **flags: Any) -> None:
        """Run an entry daemon; settings are flags or WASABI_ variables."""
        settings = _load_or_exit(EntrySettings, flags)
        configure_logs(settings.log_level, settings.process_id)
        _run_and_exit(EntryApplication(settings))

    def agent(self, **flags: Any) -> None:
        """Run an agent; settings are flags or WASABI_ variables."""
        settings = _load_or_exit(AgentSettings, flags)
        configure_logs(settings.log_level, settings.process_id)
        _run_and_exit(AgentApplication(settings))

    def status(self, urls: str, json: bool = False) -> None:
        """Print readiness and document digest of daemons at comma-separated URLs."""
        sys.exit(daemon_commands.status(urls, as_json=json))

    def audit(self, urls: str, json: bool = False) -> None:
        """Print the audit trails of the daemons at comma-separated URLs."""
        sys.exit(daemon_commands.audit(urls, as_json=json))

    # Without it, the parser would turn the key `12e3` into a number.
    @SetParseFn(str, *ROUTE_OPTIONS)
    def route(
        self,
        urls: str,
        host: str,
        path: str,
        json: bool = False,
        **options: Any,
    ) -> None:
        """Print where a request would go now, from entries at these URLs.

        Nothing is sent to a server. Options: `key` is the API key of the
        caller, `prompt_tokens` and `output_tokens` state the size of a
        generation, `parts` are the ids of shared parts of its prompt,
        separated by commas, `software_version` is the one that began the
        stream which the request goes on with, `operator_key` is the key of
        the entries (or WASABISTREAM_OPERATOR_KEY).
        """
        query_options = {'host': host, 'path': path, **options}
        sys.exit(route_commands.route(urls, query_options, as_json=json))

    def check(self, document: str, json: bool = False) -> None:
        """Validate a configuration document file and print its digest."""
        document_commands.check(document, as_json=json)

    def diff(self, before: str, after: str, json: bool = False) -> None:
        """Print the differences between two configuration document files."""
        document_commands.diff(before, after, as_json=json)

    def plan(
        self, before: str, after: str, vms: str, json: bool = False
    ) -> None:
        """Print the loads, moves and drains that a document change will cause.

        `vms` is a file with the VM list. An engine loads the weights of a
        model, moves to another model, or drains and goes out of service.
        """
        document_commands.plan(before, after, vms, as_json=json)

    def explain(self, request_id: str, *files: str, json: bool = False) -> None:
        """Print what the log files of all processes say about one request."""
        sys.exit(
            log_commands.explain(
                str(request_id), tuple(map(str, files)), as_json=json
            )
        )

    def losses(self, *files: str, worths: str = '', json: bool = False) -> None:
        """Print the requests in log files that were not in time, by cause.

        `worths` weights routes, for example `drafts=170,chats=18`.
        """
        sys.exit(
            log_commands.losses(
                tuple(map(str, files)), str(worths), as_json=json
            )
        )


def _format_settings_help(settings_type: type) -> str:
    rows = describe_settings(settings_type)
    lines = [
        f'--{row["setting"]} ({row["type"]}, {row["default"]})\n'
        + f'    {row["meaning"]} {row["choices"]}'.rstrip()
        for row in rows
    ]
    return '\n'.join(lines)


def _load_or_exit(settings_type: Any, flags: dict[str, Any]) -> Any:
    if flags.keys() & HELP_FLAGS:
        sys.stdout.write(f'{_format_settings_help(settings_type)}\n')
        sys.exit(EXIT_DONE)
    try:
        return load_settings(settings_type, flags, os.environ)
    except SettingsError as error:
        for problem in error.problems:
            sys.stderr.write(f'{problem}\n')
        sys.exit(EXIT_BAD_SETTINGS)


def _run_and_exit(application: Application) -> None:
    sys.exit(application.run())

"""Command line that starts the daemons on the platform."""

import os
import sys

import fire

from wasabistream.applications import EXIT_BAD_SETTINGS, Application
from wasabistream.exceptions import SettingsError
from wasabistream.logs import configure_logs
from wasabistream.platform.agent_applications import PlatformAgent
from wasabistream.platform.entry_applications import PlatformEntry
from wasabistream.platform.node_applications import ProcessOptions
from wasabistream.platform.node_files import NodeSettings, read_node_file

NODE_FILE_VARIABLE = 'WASABISTREAM_NODE_FILE'
DEFAULT_NODE_FILE = '/etc/wasabistream/boot.yaml'
DEFAULT_LOG_LEVEL = 'INFO'
# The deployment file names the same port.
DEFAULT_METRICS_PORT = 9464


class PlatformCommands:
    """Run wasabistream on the platform."""

    def entry(
        self,
        log_level: str = DEFAULT_LOG_LEVEL,
        metrics_port: int = DEFAULT_METRICS_PORT,
    ) -> None:
        """Run the entry daemon of a front machine."""
        node_settings = _read_settings_and_configure_logs(log_level)
        _run_and_exit(
            PlatformEntry(node_settings, _build_options(metrics_port))
        )

    def agent(
        self,
        log_level: str = DEFAULT_LOG_LEVEL,
        metrics_port: int = DEFAULT_METRICS_PORT,
    ) -> None:
        """Run the agent daemon beside an engine."""
        node_settings = _read_settings_and_configure_logs(log_level)
        _run_and_exit(
            PlatformAgent(node_settings, _build_options(metrics_port))
        )


def _build_options(metrics_port: int) -> ProcessOptions:
    return ProcessOptions(_settings_path(), metrics_port)


def _settings_path() -> str:
    return os.environ.get(NODE_FILE_VARIABLE, DEFAULT_NODE_FILE)


def _read_settings_and_configure_logs(log_level: str) -> NodeSettings:
    try:
        node_settings = read_node_file(_settings_path())
    except SettingsError as error:
        for problem in error.problems:
            sys.stderr.write(f'{problem}\n')
        sys.exit(EXIT_BAD_SETTINGS)
    configure_logs(log_level, node_settings.process_id)
    return node_settings


def _run_and_exit(application: Application) -> None:
    sys.exit(application.run())


if __name__ == '__main__':
    fire.Fire(PlatformCommands, name='wasabistream.platform')

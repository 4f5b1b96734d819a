"""Start of the daemons from environment variables.

The module loads no command line library: a process that takes over from a lost
one serves sooner without it.
"""

import os
import sys
from collections.abc import Callable

from wasabistream.applications import EXIT_BAD_SETTINGS
from wasabistream.exceptions import SettingsError
from wasabistream.logs import configure_logs
from wasabistream.platform.node_applications import (
    NodeApplication,
    ProcessOptions,
)
from wasabistream.platform.node_files import NodeSettings, read_node_file
from wasabistream.route_queries.operator_keys import OPERATOR_KEY_VARIABLE
from wasabistream.units import MAX_PORT

NODE_FILE_VARIABLE = 'WASABISTREAM_NODE_FILE'
LOG_LEVEL_VARIABLE = 'WASABISTREAM_LOG_LEVEL'
METRICS_PORT_VARIABLE = 'WASABISTREAM_METRICS_PORT'
DEFAULT_NODE_FILE = '/etc/wasabistream/boot.yaml'
DEFAULT_LOG_LEVEL = 'INFO'
# The deployment file names the same port.
DEFAULT_METRICS_PORT = 9464

ApplicationFactory = Callable[[NodeSettings, ProcessOptions], NodeApplication]


def run_daemon(
    build_application: ApplicationFactory,
    log_level: str = '',
    metrics_port: int | None = None,
) -> int:
    """Run a daemon and return its exit code.

    Options that are not given come from the environment.
    """
    try:
        application = _build(build_application, log_level, metrics_port)
    except SettingsError as error:
        for problem in error.problems:
            sys.stderr.write(f'{problem}\n')
        return EXIT_BAD_SETTINGS
    return application.run()


def read_metrics_port() -> int:
    """Return the port from the environment; raises SettingsError."""
    text = os.environ.get(METRICS_PORT_VARIABLE, str(DEFAULT_METRICS_PORT))
    if not text.isdecimal() or not 0 < int(text) <= MAX_PORT:
        raise SettingsError((f'{METRICS_PORT_VARIABLE}: {text!r} is no port',))
    return int(text)


def _build(
    build_application: ApplicationFactory,
    log_level: str,
    metrics_port: int | None,
) -> NodeApplication:
    port = read_metrics_port() if metrics_port is None else metrics_port
    path = os.environ.get(NODE_FILE_VARIABLE, DEFAULT_NODE_FILE)
    node_settings = read_node_file(path)
    level = log_level or os.environ.get(LOG_LEVEL_VARIABLE, DEFAULT_LOG_LEVEL)
    configure_logs(level, node_settings.process_id)
    # Applications check settings of their own before they open any socket.
    options = ProcessOptions(
        path, port, os.environ.get(OPERATOR_KEY_VARIABLE, '')
    )
    return build_application(node_settings, options)

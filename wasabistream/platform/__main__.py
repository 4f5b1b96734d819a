"""Command line that starts the daemons on the platform."""

import sys

import fire

from wasabistream.platform.agent_applications import PlatformAgent
from wasabistream.platform.daemons import run_daemon
from wasabistream.platform.entry_applications import PlatformEntry


class PlatformCommands:
    """Run wasabistream on the platform.

    Options that are not given come from WASABISTREAM_LOG_LEVEL and
    WASABISTREAM_METRICS_PORT.
    """

    def entry(
        self, log_level: str = '', metrics_port: int | None = None
    ) -> None:
        """Run the entry daemon of a front machine."""
        sys.exit(run_daemon(PlatformEntry, log_level, metrics_port))

    def agent(
        self, log_level: str = '', metrics_port: int | None = None
    ) -> None:
        """Run the agent daemon beside an engine."""
        sys.exit(run_daemon(PlatformAgent, log_level, metrics_port))


if __name__ == '__main__':
    fire.Fire(PlatformCommands(), name='wasabistream.platform')

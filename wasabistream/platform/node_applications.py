"""Application of one process on the platform."""

import logging
import secrets
import signal
import threading
from dataclasses import dataclass
from types import FrameType

from prometheus_client import start_http_server

from wasabistream.applications import Application
from wasabistream.exceptions import SettingsError
from wasabistream.messages import PROTOCOL_VERSION_MAX, PROTOCOL_VERSION_MIN
from wasabistream.notices import Hello
from wasabistream.platform.node_files import NodeSettings, read_node_file
from wasabistream.settings import ProcessSettings

logger = logging.getLogger(__name__)

# The file may change without a signal.
SETTINGS_POLL_SECONDS = 2.0
# Time between the end of the drain and SIGKILL.
STOP_RESERVE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ProcessOptions:
    """Hold what the command line and the environment tell a process."""

    settings_path: str
    metrics_port: int


class NodeApplication(Application):
    """Run one process with the settings of the platform."""

    def __init__(self, node: NodeSettings, process: ProcessOptions) -> None:
        super().__init__(
            ProcessSettings(
                process_id=node.process_id,
                data_centre=node.data_centre,
                address=node.address,
                drain_limit_seconds=(
                    node.bounds.grace_seconds - STOP_RESERVE_SECONDS
                ),
            )
        )
        self.node = node
        self._process = process
        self._path = process.settings_path
        self._reload_wanted = threading.Event()
        self.hello = Hello(
            PROTOCOL_VERSION_MIN,
            PROTOCOL_VERSION_MAX,
            self.process_role,
            node.process_id,
            secrets.token_hex(4),
            node.data_centre,
        )

    def run(self) -> int:
        """Run until a signal arrives and return the exit code."""
        signal.signal(signal.SIGHUP, self._reload)
        threading.Thread(
            target=self._watch_settings, name='settings', daemon=True
        ).start()
        start_http_server(self._process.metrics_port, self.node.address)
        return super().run()

    def on_reload(self, node: NodeSettings) -> None:
        """Take over settings that have changed."""

    def _reload(self, number: int, frame: FrameType | None) -> None:
        # The watcher reads the file; a signal handler must not wait.
        self._reload_wanted.set()

    def _watch_settings(self) -> None:
        while True:
            signalled = self._reload_wanted.wait(SETTINGS_POLL_SECONDS)
            self._reload_wanted.clear()
            try:
                node = read_node_file(self._path)
            except SettingsError as error:
                logger.error('settings: change is refused: %s', error)
                continue
            if node != self.node:
                self.node = node
                self.on_reload(node)
                logger.info('settings: changed', extra={'signalled': signalled})

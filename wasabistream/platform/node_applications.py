"""Base application of the daemons on the platform."""

import logging
import queue
import secrets
import signal
import threading
from dataclasses import dataclass, field
from types import FrameType

from prometheus_client import start_http_server

from wasabistream.applications import Application
from wasabistream.exceptions import SettingsError
from wasabistream.messages import PROTOCOL_VERSION_MAX, PROTOCOL_VERSION_MIN
from wasabistream.notices import Hello
from wasabistream.platform.node_files import NodeFile, NodeSettings
from wasabistream.settings import ProcessSettings

logger = logging.getLogger(__name__)

# The platform may change the file without sending SIGHUP.
SETTINGS_POLL_SECONDS = 2.0
# Part of the time until SIGKILL that is left for the stop after the drain. On
# a busy machine half a second of eight was not enough.
STOP_RESERVE_RATIO = 0.125
# Part of that time after which the process ends, whatever it waits for.
STOP_LIMIT_RATIO = 0.7
# Part of that time, after the limit, for a report on what the process waits for.
STOP_REPORT_RATIO = 0.15
# Part of that time for the answers of requests that are cut.
LAST_ANSWERS_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class ProcessOptions:
    """Hold the options from the command line and the environment."""

    settings_path: str
    metrics_port: int
    # Key that operators send to explain a selection; empty if none is needed.
    operator_key: str = field(default='', repr=False)


class NodeApplication(Application):
    """Run one daemon and reload its settings file when it changes."""

    def __init__(
        self, node_settings: NodeSettings, process: ProcessOptions
    ) -> None:
        # The part of the settings that the base application uses.
        super().__init__(
            ProcessSettings(
                process_id=node_settings.process_id,
                data_centre=node_settings.data_centre,
                address=node_settings.address,
                drain_limit_seconds=(
                    node_settings.bounds.grace_seconds
                    * (1 - STOP_RESERVE_RATIO)
                ),
            )
        )
        self.node_settings = node_settings
        self._options = process
        self._node_file = NodeFile(process.settings_path)
        # One entry for each SIGHUP; a handler can put without waiting.
        self._reload_requests: queue.SimpleQueue[int] = queue.SimpleQueue()
        self.hello = Hello(
            PROTOCOL_VERSION_MIN,
            PROTOCOL_VERSION_MAX,
            self.process_role,
            node_settings.process_id,
            secrets.token_hex(4),
            node_settings.data_centre,
        )

    def run(self) -> int:
        """Run until a signal arrives and return the exit code."""
        signal.signal(signal.SIGHUP, self._request_reload)
        threading.Thread(
            target=self._watch_settings, name='settings', daemon=True
        ).start()
        self.start_metrics_server(
            self.node_settings.address, self._options.metrics_port
        )
        return super().run()

    def start_metrics_server(self, address: str, port: int) -> None:
        """Serve the metrics."""
        start_http_server(port, address)

    def ends_drain(self, signal_number: int) -> bool:
        """Return whether a repeated signal ends the drain.

        Whoever repeats SIGTERM, such as several supervisors, still gives the
        grace time from the first one.
        """
        return signal_number == signal.SIGINT

    def stop_limit_seconds(self) -> float:
        """Return the time from SIGTERM to the exit, ahead of SIGKILL."""
        return (
            self.settings.drain_limit_seconds
            + self._stop_reserve_seconds() * STOP_LIMIT_RATIO
        )

    def stop_report_seconds(self) -> float:
        """Return the time from that limit until the process is ended."""
        return self._stop_reserve_seconds() * STOP_REPORT_RATIO

    def last_answers_seconds(self) -> float:
        """Return the time for the answers of requests that are cut."""
        return self._stop_reserve_seconds() * LAST_ANSWERS_RATIO

    def on_reload(self, node_settings: NodeSettings) -> None:
        """Apply changed settings; called on the thread that read them."""

    def _stop_reserve_seconds(self) -> float:
        return self.node_settings.bounds.grace_seconds * STOP_RESERVE_RATIO

    def _request_reload(self, number: int, frame: FrameType | None) -> None:
        # A signal handler must not block, so another thread
        # reads the file.
        self._reload_requests.put(number)

    def _wait_for_reload(self) -> bool:
        """Wait for SIGHUP or the interval; return whether it was SIGHUP."""
        try:
            self._reload_requests.get(timeout=SETTINGS_POLL_SECONDS)
        except queue.Empty:
            return False
        # One reading of the file answers all signals so far.
        while not self._reload_requests.empty():
            self._reload_requests.get()
        return True

    def _watch_settings(self) -> None:
        while True:
            signalled = self._wait_for_reload()
            try:
                node_settings = self._node_file.read()
            except SettingsError as error:
                logger.error('settings: change is refused: %s', error)
                continue
            if node_settings != self.node_settings:
                self.node_settings = node_settings
                self.on_reload(node_settings)
                logger.info('settings: changed', extra={'signalled': signalled})

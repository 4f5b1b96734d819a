"""Application of one process on the platform."""

import signal
from types import FrameType

from prometheus_client import start_http_server

from wasabistream.applications import Application
from wasabistream.messages import PROTOCOL_VERSION_MAX, PROTOCOL_VERSION_MIN
from wasabistream.notices import Hello
from wasabistream.platform.node_files import NodeSettings
from wasabistream.settings import ProcessSettings

# Time between the end of the drain and SIGKILL.
STOP_RESERVE_SECONDS = 0.5


class NodeApplication(Application):
    """Run one process with the settings of the platform."""

    def __init__(
        self, node: NodeSettings, incarnation: str, metrics_port: int
    ) -> None:
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
        self._metrics_port = metrics_port
        self.hello = Hello(
            PROTOCOL_VERSION_MIN,
            PROTOCOL_VERSION_MAX,
            self.part,
            node.process_id,
            incarnation,
            node.data_centre,
        )

    def run(self) -> int:
        """Run until a signal arrives and return the exit code."""
        signal.signal(signal.SIGHUP, self._reload)
        start_http_server(self._metrics_port, self.node.address)
        return super().run()

    def on_reload(self) -> None:
        """Read the settings file again."""

    def _reload(self, number: int, frame: FrameType | None) -> None:
        self.on_reload()

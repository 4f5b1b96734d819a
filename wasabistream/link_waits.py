"""What the task of a connection waits for; tasks are generators."""

import socket
from collections.abc import Generator
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Readable:
    """Wait until a socket can be read; raises TimeoutError in the task."""

    sock: socket.socket
    timeout_seconds: float | None


@dataclass(frozen=True, slots=True)
class Connected:
    """Wait until a socket is connected; raises TimeoutError in the task."""

    sock: socket.socket
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class Pause:
    """Wait for a time."""

    seconds: float


Wait = Readable | Connected | Pause
# A task yields what it waits for and is resumed once that has happened.
Task = Generator[Wait, None, Any]

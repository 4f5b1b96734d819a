"""Connection pools of urllib3 whose responses are limited."""

from functools import partial
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

from wasabistream.limited_responses import LimitedResponse, ResponseLimits

# Connections to one peer that are kept for reuse.
MAX_IDLE_COUNT = 256


class TrackedConnection(HTTPConnection):
    """Remember whether a request could not be sent completely.

    A server may answer before it has read a long body, so that urllib3 reads
    the response in spite of a reset.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.send_failed = False

    def connect(self) -> None:
        """Open the connection."""
        self.send_failed = False
        super().connect()

    def send(self, data: Any) -> None:
        """Send a part of a request; raises OSError."""
        try:
            super().send(data)
        except OSError:
            self.send_failed = True
            raise


class _LimitedConnection(TrackedConnection):
    """Limit each response.

    With `reuses` off, each request uses a new connection, on which no late
    answer to an earlier request can arrive.
    """

    def __init__(
        self,
        *arguments: Any,
        limits: ResponseLimits,
        reuses: bool,
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self._build_limited = partial(
            LimitedResponse,
            limits=limits,
            closes=not reuses,
        )
        # http.client calls this to create the response.
        self.response_class = self._build_response  # type: ignore[assignment]

    def _build_response(
        self, *arguments: Any, **options: Any
    ) -> LimitedResponse:
        return self._build_limited(
            *arguments, send_failed=self.send_failed, **options
        )


class _LimitedTlsConnection(_LimitedConnection, HTTPSConnection):
    """Limit the responses of a connection with TLS."""


class LimitedPool(urllib3.HTTPConnectionPool):
    """Keep connections to one peer; takes `limits` and `reuses`."""

    # urllib3 reads this attribute.
    ConnectionCls = _LimitedConnection  # noqa: WPS115


class _LimitedTlsPool(urllib3.HTTPSConnectionPool):
    """Keep connections with TLS to one peer."""

    # urllib3 reads this attribute.
    ConnectionCls = _LimitedTlsConnection  # noqa: WPS115


def build_pool_manager(
    limits: ResponseLimits, *, reuses: bool
) -> urllib3.PoolManager:
    """Return a manager that limits each response."""
    manager = urllib3.PoolManager(maxsize=MAX_IDLE_COUNT, retries=False)
    options: dict[str, Any] = {'limits': limits, 'reuses': reuses}
    # urllib3 calls the classes with a host and a port.
    pools: dict[str, Any] = {
        'http': partial(LimitedPool, **options),
        'https': partial(_LimitedTlsPool, **options),
    }
    manager.pool_classes_by_scheme = pools
    return manager

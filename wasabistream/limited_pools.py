"""Connection pools of urllib3 whose responses are limited."""

from functools import partial
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

from wasabistream.limited_responses import LimitedResponse

# Connections to one peer that are kept for reuse.
MAX_IDLE_COUNT = 256


class _LimitedConnection(HTTPConnection):
    """Limit each response.

    With `reuses` off, each request uses a new connection, on which no late
    answer to an earlier request can arrive. With `limits_duration`, the read
    timeout applies to a response as a whole.
    """

    def __init__(
        self,
        *arguments: Any,
        limit_bytes: int,
        reuses: bool,
        limits_duration: bool = True,
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        # http.client calls this to create the response.
        self.response_class = partial(  # type: ignore[assignment]
            LimitedResponse,
            limit_bytes=limit_bytes,
            limits_duration=limits_duration,
            closes=not reuses,
        )


class _LimitedTlsConnection(_LimitedConnection, HTTPSConnection):
    """Limit the responses of a connection with TLS."""


class LimitedPool(urllib3.HTTPConnectionPool):
    """Keep connections to one peer; takes `limit_bytes` and `reuses`."""

    # urllib3 reads this attribute.
    ConnectionCls = _LimitedConnection  # noqa: WPS115


class _LimitedTlsPool(urllib3.HTTPSConnectionPool):
    """Keep connections with TLS to one peer."""

    # urllib3 reads this attribute.
    ConnectionCls = _LimitedTlsConnection  # noqa: WPS115


def build_pool_manager(
    limit_bytes: int, *, reuses: bool, limits_duration: bool = True
) -> urllib3.PoolManager:
    """Return a manager that limits each response to a number of bytes."""
    manager = urllib3.PoolManager(maxsize=MAX_IDLE_COUNT, retries=False)
    options: dict[str, Any] = {
        'limit_bytes': limit_bytes,
        'reuses': reuses,
        'limits_duration': limits_duration,
    }
    # urllib3 calls the classes with a host and a port.
    pools: dict[str, Any] = {
        'http': partial(LimitedPool, **options),
        'https': partial(_LimitedTlsPool, **options),
    }
    manager.pool_classes_by_scheme = pools
    return manager

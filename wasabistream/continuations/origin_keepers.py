"""Origins of streams that an agent keeps for the entries."""

import logging

from wasabistream.continuations.origin_messages import (
    StreamOriginQuery,
    StreamOriginRecord,
    StreamOriginReply,
)
from wasabistream.continuations.origin_tables import (
    KEY_BYTES,
    MAX_NAME_CHARACTERS,
    OriginTable,
    share_origin,
)
from wasabistream.units import MILLISECONDS_PER_SECOND

logger = logging.getLogger(__name__)

# Records of an agent; a busy engine begins some tens of streams a second.
MAX_KEPT_COUNT = 16_384


class OriginKeeper:
    """Keep the records of entries, which outlive them here."""

    def __init__(self) -> None:
        self._table = OriginTable(MAX_KEPT_COUNT)

    def record(self, notice: StreamOriginRecord) -> None:
        """Keep a record."""
        # An empty version withdraws what was recorded before.
        names = (notice.service, notice.software_version)
        if (
            len(notice.key) != KEY_BYTES
            or not notice.service
            or max(map(len, names)) > MAX_NAME_CHARACTERS
        ):
            logger.warning('agent: record of a stream is malformed')
            return
        self._table.record(
            notice.key,
            share_origin(*names),
            notice.keep_ms / MILLISECONDS_PER_SECOND,
        )

    def answer(self, query: StreamOriginQuery) -> StreamOriginReply:
        """Return the reply to a query."""
        origin = self._table.find(query.key)
        if origin is None:
            return StreamOriginReply(query.number, found=False)
        return StreamOriginReply(
            query.number,
            found=True,
            service=origin.service,
            software_version=origin.software_version,
        )

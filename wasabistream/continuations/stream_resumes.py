"""Streams that callers resume, at the software version that began them."""

import dataclasses
import logging
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from functools import partial

from wasabistream.continuations.first_events import FirstEvent
from wasabistream.continuations.origin_exchanges import OriginExchange
from wasabistream.continuations.origin_tables import (
    MAX_KEEP_SECONDS,
    build_origin_key,
    is_recordable,
)
from wasabistream.continuations.resume_decisions import (
    OriginSearch,
    ResumeDecision,
    ResumeRefusal,
    check_claim,
    decide_resume,
)
from wasabistream.continuations.stream_origins import (
    StreamOrigin,
    may_continue,
)
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.replies import build_refusal
from wasabistream.forwarding.requests import ForwardRequest, Reply
from wasabistream.forwarding.routes import Route
from wasabistream.forwarding.supervisors import (
    CutReason,
    RequestWatch,
    cut_request,
)
from wasabistream.metrics import REFUSALS, RESUMED_STREAMS
from wasabistream.scheduling.urgencies import find_urgency

logger = logging.getLogger(__name__)

# Time for which an origin is kept, as a multiple of the route's timeout: a
# stream may last as long, and its caller may take as long to come back.
KEEP_RATIO = 2.0


class StreamResumer:
    """Record what begins each stream and let callers resume it there."""

    def __init__(
        self,
        fleet: FleetHolder,
        exchange: OriginExchange,
        is_list_current: Callable[[], bool],
    ) -> None:
        self._fleet = fleet
        # Whether the list of servers is that of the store at present.
        self._is_list_current = is_list_current
        self._exchange = exchange
        self._lock = threading.Lock()
        # Streams in progress here by key.
        self._running: defaultdict[bytes, set[RequestWatch]] = defaultdict(set)

    def prepare(self, watch: RequestWatch) -> Reply | None:
        """Bind a request that resumes a stream to what began the stream.

        Returns the refusal of a request that cannot go on there.
        """
        request = watch.request
        if request.resume_claim is None:
            return None
        started = time.monotonic()
        refusal = check_claim(request.resume_claim, request.route)
        if refusal is not None:
            return self._refuse(request, refusal, started)
        key = _build_key(request)
        own = self._exchange.own.find(key)
        decision = self._decide(request, key, own)
        origin = decision.origin
        if origin is None or decision.refusal is not None:
            return self._refuse(
                request, decision.refusal or ResumeRefusal.unknown, started
            )
        if not self._has_server(origin):
            return self._refuse(
                request, ResumeRefusal.version_gone, started, origin
            )
        watch.request = self._bind(request, origin)
        # A caller that has left meanwhile may have come back already.
        if not watch.is_ended:
            self._end_earlier(key, watch)
        source = 'agent' if own is None else 'own'
        RESUMED_STREAMS.labels(source).inc()
        logger.info(
            'stream: taken up',
            extra={
                'source': source,
                **_describe(request, origin, started),
            },
        )
        return None

    def record_first_event(
        self, watch: RequestWatch, first: FirstEvent | None
    ) -> None:
        """Keep what began a stream; call before its caller gets the event.

        The first event has bound the request. In a resumed stream this keeps
        the record for longer.
        """
        request = watch.request
        if not request.route.resumable:
            return
        origin = request.origin or StreamOrigin(request.service, '')
        key = _build_key(request)
        if first is not None and first.awaits_version:
            logger.info(
                'stream: its version is not known yet',
                extra={
                    'request_id': request.request_id,
                    'endpoint': watch.endpoint,
                },
            )
            self._add_running(key, watch)
            self._exchange.keep_later(
                key, first.server, _find_keep_seconds(request.route)
            )
            return
        if not is_recordable(origin):
            logger.info(
                'stream: cannot be taken up, its version is not known',
                extra={
                    'request_id': request.request_id,
                    'endpoint': watch.endpoint,
                },
            )
            return
        self._add_running(key, watch)
        self._exchange.keep(
            key, origin, watch.endpoint, _find_keep_seconds(request.route)
        )

    def withdraw(self, watch: RequestWatch) -> None:
        """Withdraw the record of a stream whose version is in doubt.

        The list may show later than the first event that its server had
        started again.
        """
        request = watch.request
        if request.route.resumable:
            self._exchange.keep(
                _build_key(request),
                StreamOrigin(request.service, ''),
                watch.endpoint,
                _find_keep_seconds(request.route),
            )

    def _refuse(
        self,
        request: ForwardRequest,
        refusal: ResumeRefusal,
        started: float,
        origin: StreamOrigin | None = None,
    ) -> Reply:
        is_list_current = self._is_list_current()
        REFUSALS.labels(refusal.value).inc()
        logger.info(
            'request: refused: %s',
            refusal.text,
            extra={
                'refusal': refusal.value,
                'is_list_current': is_list_current,
                **_describe(request, origin, started),
            },
        )
        remaining_seconds = request.deadline.remaining_seconds
        # What an old list says may change within the caller's time, or another
        # entry may know better.
        is_final = refusal.is_final and (
            is_list_current or not refusal.rests_on_list
        )
        return build_refusal(
            remaining_seconds, remaining_seconds if is_final else 0
        )

    def _decide(
        self, request: ForwardRequest, key: bytes, own: StreamOrigin | None
    ) -> ResumeDecision:
        if own is not None:
            return decide_resume(OriginSearch(frozenset((own,))), request.route)
        return self._exchange.find(
            key,
            lambda: request.deadline.remaining_seconds,
            partial(decide_resume, route=request.route),
        )

    def _bind(
        self, request: ForwardRequest, origin: StreamOrigin
    ) -> ForwardRequest:
        configuration = self._fleet.current.configuration
        urgency = request.urgency
        if configuration is not None:
            urgency = find_urgency(
                configuration,
                origin.service,
                request.route.name,
                request.priority,
            )
        return dataclasses.replace(
            request, origin=origin, service=origin.service, urgency=urgency
        )

    def _has_server(self, origin: StreamOrigin) -> bool:
        return any(
            may_continue(origin, server)
            for server in self._fleet.current.usable_servers(origin.service)
        )

    def _end_earlier(self, key: bytes, watch: RequestWatch) -> None:
        """End the same stream in progress here, which its caller has left.

        The end of the caller's connection may not have been seen yet.
        """
        with self._lock:
            earlier = self._running.get(key, set()) - {watch}
        for other in earlier:
            cut_request(other, CutReason.resumed)

    def _add_running(self, key: bytes, watch: RequestWatch) -> None:
        with self._lock:
            self._running[key].add(watch)
        watch.resources.callback(partial(self._remove, key, watch))

    def _remove(self, key: bytes, watch: RequestWatch) -> None:
        with self._lock:
            watches = self._running[key]
            watches.discard(watch)
            if not watches:
                self._running.pop(key)


def _build_key(request: ForwardRequest) -> bytes:
    claim = request.resume_claim
    first_id = claim.first_request_id if claim else request.request_id
    return build_origin_key(request.organisation, first_id)


def _find_keep_seconds(route: Route) -> float:
    return min(route.timeout_seconds * KEEP_RATIO, MAX_KEEP_SECONDS)


def _describe(
    request: ForwardRequest, origin: StreamOrigin | None, started: float
) -> dict[str, object]:
    claim = request.resume_claim
    return {
        'request_id': request.request_id,
        'resumes': claim.first_request_id if claim else '',
        'route': request.route.name,
        'organisation': request.organisation,
        'service': origin.service if origin else '',
        'software_version': origin.software_version if origin else '',
        'seconds': round(time.monotonic() - started, 4),
    }

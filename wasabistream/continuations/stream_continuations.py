"""Where the streams of an entry may go on, by its view of the fleet."""

import dataclasses
import time
from collections.abc import Collection

from wasabistream.continuations.continuation_failures import (
    ContinuationFailure,
    find_failure,
    report_failure,
)
from wasabistream.continuations.first_events import (
    FirstEvent,
    bind_origin,
    confirm_origin,
    is_confirmed_by_move,
    learn_version,
    note_missing_version,
)
from wasabistream.continuations.move_destinations import find_move_destination
from wasabistream.continuations.stream_origins import (
    StreamOrigin,
    may_continue,
)
from wasabistream.engine_starts.start_confirmers import (
    StartCheck,
    StartConfirmer,
    TrustList,
)
from wasabistream.exceptions import BackendError
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.move_messages import RunMoved
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.forwarding.stream_progress import StreamProgress
from wasabistream.forwarding.supervisors import RequestWatch
from wasabistream.run_endings.boot_clocks import read_boot_clock
from wasabistream.units import MILLISECONDS_PER_SECOND


class StreamContinuations:
    """Bind streams to the software version of their first event."""

    def __init__(self, fleet: FleetHolder) -> None:
        self._fleet = fleet
        # Confirms that the list names the start of a server that serves.
        self.starts: StartConfirmer = TrustList()

    def bind(
        self,
        server: BackendServer,
        watch: RequestWatch,
        progress: StreamProgress,
    ) -> None:
        """Bind a stream at its first event, or check that it may go on.

        To be called before the first event of an attempt is passed on, as the
        server may have been replaced since it was chosen. Raises BackendError
        if its event does not fit the stream.
        """
        request = watch.request
        check = self.starts.confirm(
            server,
            # A stream that goes on would join the versions at once.
            asks_engine=request.origin is not None,
            since_seconds=watch.attached_at_boot_seconds,
        )
        listed = self._fleet.current.servers.get(server.server_id)
        first = bind_origin(
            server, listed, round(time.time() * MILLISECONDS_PER_SECOND)
        )
        first = _apply_check(first, check)
        if check is StartCheck.confirmed:
            first = learn_version(note_missing_version(first), listed)
        origin = first.known_origin
        if request.origin is not None and request.origin != origin:
            raise BackendError('server was replaced', 'events', server.endpoint)
        if progress.first_event is None:
            progress.first_event = dataclasses.replace(
                first, at_boot_seconds=read_boot_clock()
            )
            watch.request = dataclasses.replace(request, origin=origin)

    def confirm_by_report(
        self, watch: RequestWatch, progress: StreamProgress
    ) -> bool:
        """Confirm the origin if the agent has stated it since the first event.

        Returns whether it was unknown until now. Asks nobody, so that it may be
        called for each event.
        """
        first = progress.first_event
        if first is None or first.is_start_known:
            return False
        if not first.origin.software_version or not self.starts.is_reported(
            first.server, first.at_boot_seconds
        ):
            return False
        progress.first_event = dataclasses.replace(first, is_start_known=True)
        watch.request = dataclasses.replace(watch.request, origin=first.origin)
        return True

    def confirm(
        self,
        request: ForwardRequest,
        progress: StreamProgress,
        *,
        asks_engine: bool,
    ) -> ForwardRequest:
        """Return the request with the origin that is confirmed now.

        With `asks_engine`, an engine that has not stated its start is asked
        again, which may take as long as its report.
        """
        if progress.first_event is None:
            return request
        check = self._check_start(progress.first_event, asks_engine=asks_engine)
        # Read again, as the check may have taken a while.
        first = progress.first_event
        listed = self._fleet.current.servers.get(first.server.server_id)
        first = learn_version(first, listed)
        # A doubt stays when the server leaves or starts once more.
        first = _apply_check(
            dataclasses.replace(first, origin=confirm_origin(first, listed)),
            check,
        )
        progress.first_event = first
        return dataclasses.replace(request, origin=first.known_origin)

    def report_no_server(
        self,
        request: ForwardRequest,
        progress: StreamProgress,
        excluded: Collection[str],
    ) -> None:
        """Report that no server outside the excluded ones can go on."""
        first = progress.first_event
        if first is None or request.origin is None:
            return
        server_count = self._count_continuing(request.origin, excluded)
        report_failure(
            find_failure(first, request.origin, server_count),
            request.request_id,
            first.server,
            progress.event_count,
            server_count,
        )

    def find_target(
        self,
        moved: RunMoved,
        source: BackendServer,
        watch: RequestWatch,
        progress: StreamProgress,
    ) -> BackendServer | None:
        """Return where a moved generation goes on; None if it must not."""
        target = find_move_destination(self._fleet.current, moved, source)
        request = self._confirm_move(moved, source, watch.request, progress)
        origin = request.origin
        if target is source:
            # The handle distinguishes its start from any other, so that a doubt
            # about the list does not end the stream.
            if origin is not None and origin.software_version:
                watch.request = request
            return source
        watch.request = request
        # Before its first event the stream is bound to no version.
        if target is not None and (
            origin is None or may_continue(origin, target)
        ):
            return target
        origin = origin or StreamOrigin(source.service, source.software_version)
        report_failure(
            ContinuationFailure.moved_elsewhere,
            moved.run_id,
            source,
            progress.event_count,
            self._count_continuing(origin, (source.endpoint,)),
        )
        return None

    def _confirm_move(
        self,
        moved: RunMoved,
        source: BackendServer,
        request: ForwardRequest,
        progress: StreamProgress,
    ) -> ForwardRequest:
        first = progress.first_event
        if (
            first is not None
            and first.server.endpoint == source.endpoint
            and is_confirmed_by_move(first, moved)
        ):
            return dataclasses.replace(request, origin=first.origin)
        return self.confirm(request, progress, asks_engine=True)

    def _check_start(
        self, first: FirstEvent, *, asks_engine: bool
    ) -> StartCheck:
        if first.is_start_known:
            return StartCheck.confirmed
        if not asks_engine or not first.origin.software_version:
            return StartCheck.unknown
        # The word of an agent may be older than the first event.
        return self.starts.confirm(first.server, asks_engine=True)

    def _count_continuing(
        self, origin: StreamOrigin, excluded: Collection[str]
    ) -> int:
        return sum(
            server.endpoint not in excluded and may_continue(origin, server)
            for server in self._fleet.current.usable_servers(origin.service)
        )


def _apply_check(first: FirstEvent, check: StartCheck) -> FirstEvent:
    if check is StartCheck.unknown:
        return dataclasses.replace(first, is_start_known=False)
    if check is StartCheck.replaced:
        unknown = StreamOrigin(first.origin.service, '')
        return dataclasses.replace(first, origin=unknown, is_start_known=True)
    return dataclasses.replace(first, is_start_known=True)

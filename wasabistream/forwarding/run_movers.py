"""Moves of generations off an engine that is shutting down."""

import logging
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from wasabistream.exceptions import BackendError
from wasabistream.forwarding.copy_rate_estimators import CopyRateEstimator
from wasabistream.forwarding.engine_states import EngineRun, EngineState
from wasabistream.forwarding.move_messages import (
    RunMoved,
    RunMoving,
    RunSilent,
)
from wasabistream.forwarding.move_outcomes import MoveOutcome
from wasabistream.forwarding.move_target_finders import MoveTargetFinder
from wasabistream.forwarding.move_targets import MoveTarget
from wasabistream.messages import Message
from wasabistream.metrics import MOVES, MOVES_WITHOUT_TARGET
from wasabistream.run_endings.endings import lists_run
from wasabistream.run_endings.listed_runs import is_still_listed
from wasabistream.run_endings.run_stops import RunStops, StopOrder
from wasabistream.run_endings.stop_announcers import StopGate

logger = logging.getLogger(__name__)

# Delay before a failed move of a generation is tried again.
MOVE_RETRY_SECONDS = 0.3
STATE_POLL_INTERVAL_SECONDS = 0.03
# Events that an engine has made beyond those that its entry has received, from
# which on the connection between them counts as broken. Some are on the way.
LOST_EVENT_COUNT = 8
# The same for a stream that the entry gives up. None has arrived for seconds, so
# that none is on the way.
GIVEN_UP_LOST_EVENT_COUNT = 1
# Extra memory at the target for tokens generated during the copy.
GROWTH_TOKENS = 64


class AgentEngine(Protocol):
    """The engine beside an agent, which can copy its runs to others."""

    def state(self) -> EngineState:
        """Return the engine's state; raises BackendError."""

    def copy_run(
        self, run_id: str, target_endpoint: str, *, final: bool
    ) -> MoveOutcome:
        """Copy a generation; with `final`, it is stopped first.

        Raises BackendError.
        """


class RunMover:
    """Move each run (generation) to another engine, where it continues.

    The first copy is made while the generation runs. The final copy carries
    only what has been generated since, so that the pause in the stream is
    short. Runs in an agent and broadcasts to all linked entries.
    """

    def __init__(
        self,
        engine: AgentEngine,
        source_endpoint: str,
        target_finder: MoveTargetFinder,
        broadcast: Callable[[Message], None],
        gate: StopGate,
        stops: RunStops | None = None,
    ) -> None:
        self._engine = engine
        self._source_endpoint = source_endpoint
        self._target_finder = target_finder
        self._broadcast = broadcast
        self._stops = stops or RunStops()
        self._gate = gate
        self._copy_rates = CopyRateEstimator()
        self._silent_lock = threading.Lock()
        # Reports in progress.
        self._silent_runs: set[tuple[str, bool]] = set()
        self._moving_lock = threading.Lock()
        # Number of moves in progress by run.
        self._moving: Counter[str] = Counter()
        # Generations of the engine while it leaves.
        self._leaving_run_ids: frozenset[str] = frozenset()

    def moving_runs(self) -> list[str]:
        """Return the ids of generations that are being moved or will be."""
        with self._moving_lock:
            return list(self._leaving_run_ids | set(+self._moving))

    def move_all(self) -> None:
        """Move generations while the engine shuts down and can be polled."""
        try:
            self._move_all()
        finally:
            self._leaving_run_ids = frozenset()

    def move_silent(self, report: RunSilent) -> None:
        """Move a generation whose connection to its entry has gone silent.

        The engine cannot tell; it goes on with events that nobody receives. If
        the entry gives the stream up, the run is stopped also without room for
        it elsewhere: its memory stays, and it goes on from there.
        """
        if report.is_given_up:
            self._gate.record_given_up(report.run_id)
        key = (report.run_id, report.is_given_up)
        with self._silent_lock:
            if key in self._silent_runs:
                return
            self._silent_runs.add(key)
        try:
            state = self._read_state()
            if state is None or state.leaving:
                # Generations of an engine that leaves are moved in any case.
                return
            run = _find_cut_off_run(state, report)
            if run is not None and self._gate.announce(run.run_id):
                logger.warning(
                    'mover: events do not reach the entry',
                    extra={
                        'request_id': run.run_id,
                        'event_count': run.event_count,
                        'received_count': report.event_count,
                    },
                )
                self._move(
                    run,
                    remote_affordable=True,
                    must_stop=report.is_given_up,
                )
            if report.is_given_up:
                # The run may come back to the engine with its stream.
                self._gate.forget_given_up(report.run_id)
        finally:
            with self._silent_lock:
                self._silent_runs.discard(key)

    def _move_all(self) -> None:
        retry_at_seconds: dict[str, float] = {}
        while True:
            try:
                state = self._engine.state()
            except BackendError as error:
                logger.info('mover: engine has ended: %s', error)
                return
            if not state.leaving:
                return
            self._leaving_run_ids = frozenset(run.run_id for run in state.runs)
            self._gate.find_entries(self._leaving_run_ids)
            now = time.monotonic()
            # Others go on, as nobody could take them up from their memory.
            runs = [
                run
                for run in state.runs
                if retry_at_seconds.get(run.run_id, 0) <= now
                and self._gate.is_streamed(run.run_id)
            ]
            if not runs:
                self._gate.wait(STATE_POLL_INTERVAL_SECONDS)
                continue
            run = max(runs, key=_work_at_risk)
            remote_affordable = self._copy_rates.can_afford_remote_copy(
                run, runs, state.leaves_seconds
            )
            if not self._move(run, remote_affordable=remote_affordable):
                retry_at_seconds[run.run_id] = now + MOVE_RETRY_SECONDS

    def _read_state(self) -> EngineState | None:
        try:
            return self._engine.state()
        except BackendError as error:
            logger.info('mover: engine does not answer: %s', error)
            return None

    def _move(
        self,
        run: EngineRun,
        *,
        remote_affordable: bool,
        must_stop: bool = False,
    ) -> bool:
        with self._moving_lock:
            self._moving[run.run_id] += 1
        try:
            is_done = self._move_to_target(
                run, remote_affordable=remote_affordable
            )
            if must_stop and not self._has_stopped(run):
                return self._stop_in_place(run)
            return is_done
        finally:
            with self._moving_lock:
                self._moving[run.run_id] -= 1

    def _move_to_target(
        self, run: EngineRun, *, remote_affordable: bool
    ) -> bool:
        started = time.monotonic()
        target = self._target_finder.find(
            run, GROWTH_TOKENS, remote_affordable=remote_affordable
        )
        if target is None:
            shortage = self._target_finder.find_shortage()
            MOVES_WITHOUT_TARGET.labels(shortage.value).inc()
            logger.warning(
                'mover: no room',
                extra={'request_id': run.run_id, 'reason': shortage.value},
            )
            return False
        try:
            first = self._engine.copy_run(
                run.run_id, target.endpoint, final=False
            )
        except BackendError as error:
            _log_error(run, error)
            return False
        if not first.copied:
            _log_move(run, target.endpoint, first, started)
            # Excludes the target until the entries report again.
            target.free_tokens = 0
            # A full target is not a failure: the generation is tried at another
            # one at once. Any other refusal, such as for a generation that has
            # ended, is retried later.
            return first.target_full
        self._copy_rates.record_copy(
            run.memory_tokens,
            time.monotonic() - started,
            remote=self._target_finder.is_remote(target),
        )
        return self._finish(run, target, first.handle, started)

    def _stop_in_place(self, run: EngineRun) -> bool:
        """Stop a run that no engine has room for; return whether it stopped.

        The order names a target, but the engine keeps the memory.
        """
        target = self._target_finder.find_any()
        if target is None:
            return False
        logger.info(
            'mover: stops a run that is given up',
            extra={'request_id': run.run_id, 'to': target.endpoint},
        )
        return self._finish(run, target, '', time.monotonic())

    def _finish(
        self, run: EngineRun, target: MoveTarget, handle: str, started: float
    ) -> bool:
        """Stop a generation, copy the rest and broadcast its destination."""
        if not self._may_still_run(run):
            # Its entry streams it no longer and would not reply.
            _log_ended(run)
            return True
        # The entry knows of the copy as well when it replies to the gate.
        self._broadcast(
            _build_announcement(run, target, self._source_endpoint, handle)
        )
        is_announced = self._gate.announce(run.run_id)
        if is_announced and self._may_still_run(run):
            with self._stops.order(run.run_id) as order:
                return self._stop(run, target, handle, started, order)
        if is_announced:
            # After an order its end could not be told from a stop. The copy stays
            # known, as a late order of another move may have stopped the run.
            _log_ended(run)
        else:
            self._withdraw(run, handle)
        return is_announced

    def _stop(
        self,
        run: EngineRun,
        target: MoveTarget,
        handle: str,
        started: float,
        order: StopOrder,
    ) -> bool:
        order.handle = handle
        logger.info(
            'mover: last order',
            extra={
                'request_id': run.run_id,
                'to': target.endpoint,
                'event_count': run.event_count,
                'has_first_copy': handle != '',
            },
        )
        try:
            last = self._engine.copy_run(
                run.run_id, target.endpoint, final=True
            )
        except BackendError as error:
            # The engine has ended, or the answer is lost; a stopped generation
            # can continue from the first copy.
            _log_error(run, error)
            if handle and not self._goes_on(run):
                self._broadcast_move(run, target, target.endpoint, handle)
            return False
        _log_move(run, target.endpoint, last, started)
        # A refusal may come from an engine in trouble, or answer an order that
        # has arrived twice: only the run itself shows that it goes on.
        goes_on = not last.handle and self._goes_on(run)
        if goes_on and not last.in_conflict:
            order.withdraw()
            self._withdraw(run, handle)
        order.handle = last.handle or handle
        if last.handle:
            # If the final copy fails, the stopped generation can continue at
            # the source.
            destination = (
                target.endpoint if last.copied else self._source_endpoint
            )
            self._broadcast_move(run, target, destination, last.handle)
        elif handle and not goes_on:
            self._broadcast_move(run, target, target.endpoint, handle)
        return last.copied

    def _withdraw(self, run: EngineRun, handle: str) -> None:
        # Another move of the same run may have its own order in progress.
        self._broadcast(RunMoving(run.run_id, handle=handle, is_withdrawn=True))

    def _may_still_run(self, run: EngineRun) -> bool:
        try:
            return lists_run(self._engine.state(), run.run_id)
        except BackendError as error:
            _log_error(run, error)
            return True

    def _goes_on(self, run: EngineRun) -> bool:
        try:
            return is_still_listed(self._engine, run.run_id)
        except BackendError as error:
            _log_error(run, error)
            return False

    def _has_stopped(self, run: EngineRun) -> bool:
        try:
            return not lists_run(self._engine.state(), run.run_id)
        except BackendError as error:
            _log_error(run, error)
            return True

    def _broadcast_move(
        self, run: EngineRun, target: MoveTarget, destination: str, handle: str
    ) -> None:
        self._broadcast(
            RunMoved(
                run.run_id,
                destination,
                self._source_endpoint,
                handle,
                # The finder has compared it with that of the own engine.
                target.software_version,
                (
                    target.started_unix_ms
                    if destination == target.endpoint
                    else 0
                ),
            )
        )


def _find_cut_off_run(
    state: EngineState, report: RunSilent
) -> EngineRun | None:
    lost_count = LOST_EVENT_COUNT
    if report.is_given_up:
        lost_count = GIVEN_UP_LOST_EVENT_COUNT
    least_count = report.event_count + lost_count
    for run in state.runs:
        if run.run_id == report.run_id and run.event_count >= least_count:
            return run
    return None


def _work_at_risk(run: EngineRun) -> int:
    # Events that would be lost if the generation could not be moved.
    return run.event_count


def _build_announcement(
    run: EngineRun, target: MoveTarget, source_endpoint: str, handle: str
) -> RunMoving:
    if not handle:
        return RunMoving(run.run_id)
    return RunMoving(
        run.run_id,
        target.endpoint,
        source_endpoint,
        handle,
        target.software_version,
        target.started_unix_ms,
    )


def _log_ended(run: EngineRun) -> None:
    logger.info('mover: run has ended', extra={'request_id': run.run_id})


def _log_error(run: EngineRun, error: BackendError) -> None:
    logger.warning('mover: %s', error, extra={'request_id': run.run_id})


def _log_move(
    run: EngineRun, target_endpoint: str, outcome: MoveOutcome, started: float
) -> None:
    MOVES.labels('moved' if outcome.copied else 'not_moved').inc()
    logger.info(
        'mover: moved' if outcome.copied else 'mover: not moved',
        extra={
            'request_id': run.run_id,
            'to': target_endpoint,
            'memory_tokens': run.memory_tokens,
            'event_count': run.event_count,
            'status': outcome.status,
            'seconds': round(time.monotonic() - started, 4),
        },
    )

"""Builders of entries that share what they know about crashes of servers."""

import dataclasses
from collections.abc import Callable, Iterable
from unittest.mock import Mock

from tests.forwarding_builders import Clock, build_request, build_server
from wasabistream.exceptions import NotRunError
from wasabistream.forwarding.poison_request_guards import PoisonRequestGuard
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.messages import Message
from wasabistream.poison_parts import PoisonPartDetector

GONE = NotRunError('refused', 'connect', 'server')
ENTRY_COUNT = 5
# Between crashes and answers; longer than the time in which reports of one
# crash are merged.
STEP_SECONDS = 3.0


def build_prompt_request(number: int, parts: tuple[str, ...]) -> ForwardRequest:
    """Return a request like no other, whose prompt has these shared parts."""
    return dataclasses.replace(
        build_request(request_id=f'request-{number}'),
        fingerprint=number,
        prompt_parts=parts,
    )


class CrashFleet:
    """Link the guards of several entries; messages arrive at once."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.guards: list[PoisonRequestGuard] = []
        self.detectors: list[PoisonPartDetector] = []
        # Entries that neither send nor get messages.
        self.cut_entries: set[int] = set()
        self._crash_count = 0
        self._request_count = 0
        for _ in range(ENTRY_COUNT):
            self.start_entry()

    def start_entry(self) -> int:
        """Start an entry, link it to the others and return its number."""
        number = len(self.guards)
        probe = Mock()
        probe.probe.side_effect = GONE
        self.detectors.append(PoisonPartDetector(self.clock))
        self.guards.append(
            PoisonRequestGuard(
                probe, self._broadcaster(number), self.detectors[number]
            )
        )
        self.link(number)
        return number

    def link(self, number: int) -> None:
        """Link an entry to the others, which tell each other what they know."""
        self.cut_entries.discard(number)
        for other, guard in enumerate(self.guards):
            if other == number or other in self.cut_entries:
                continue
            _deliver(guard.describe(), self.guards[number])
            _deliver(self.guards[number].describe(), guard)

    def build_request(self, parts: tuple[str, ...]) -> ForwardRequest:
        """Return a new request with these shared parts."""
        self._request_count += 1
        return build_prompt_request(self._request_count, parts)

    def crash(self, entry: int, *parts: str) -> None:
        """Let a new request with these parts crash a server."""
        self.clock.advance(STEP_SECONDS)
        self._crash_count += 1
        self.report(entry, parts, has_begun=True)

    def report(
        self, entry: int, parts: tuple[str, ...], *, has_begun: bool
    ) -> None:
        """Let an entry see the last crash under a request with these parts."""
        self.guards[entry].record_lost_answer(
            build_server(self._crash_count),
            self.build_request(parts),
            has_begun=has_begun,
        )

    def answer(self, entry: int, *parts: str) -> None:
        """Let a new request with these parts be answered, if it is admitted."""
        self.clock.advance(STEP_SECONDS)
        request = self.build_request(parts)
        if not self.guards[entry].find_refusal_reason(request):
            self.guards[entry].record_answer(request, 0)

    def crash_together(self, *parts: str) -> None:
        """Let servers with waiting requests with these parts end at once."""
        for entry in range(ENTRY_COUNT):
            self._crash_count += 1
            self.report(entry, parts, has_begun=False)

    def refusing_entries(self, *parts: str) -> list[int]:
        """Return the entries that refuse a new request with these parts."""
        return [
            number
            for number, guard in enumerate(self.guards)
            if guard.refuses_repeat(self.build_request(parts))
        ]

    def _broadcaster(self, sender: int) -> Callable[[Message], None]:
        def broadcast(notice: Message) -> None:
            if sender in self.cut_entries:
                return
            for number, guard in enumerate(self.guards):
                if number != sender and number not in self.cut_entries:
                    _deliver([notice], guard)

        return broadcast


def _deliver(notices: Iterable[Message], guard: PoisonRequestGuard) -> None:
    for notice in notices:
        guard.on_crash_notice(notice)  # type: ignore[arg-type]

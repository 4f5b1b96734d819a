"""Builders of entries that share what they know about crashes of servers."""

import dataclasses
from collections.abc import Callable
from unittest.mock import Mock

from tests.forwarding_builders import Clock, build_request, build_server
from wasabistream.exceptions import NotRunError
from wasabistream.forwarding.poison_request_guards import PoisonRequestGuard
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.messages import Message

GONE = NotRunError('refused', 'connect', 'server')
ENTRY_COUNT = 5


def build_prompt_request(number: int, *parts: str) -> ForwardRequest:
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
        # Entries that neither send nor get messages.
        self.cut_entries: set[int] = set()
        self._crash_count = 0
        self._request_count = 0
        for _ in range(ENTRY_COUNT):
            self.start_entry()

    def start_entry(self) -> int:
        """Start an entry and return its number."""
        number = len(self.guards)
        probe = Mock()
        probe.probe.side_effect = GONE
        self.guards.append(PoisonRequestGuard(probe, self._broadcaster(number)))
        return number

    def build_request(self, *parts: str) -> ForwardRequest:
        """Return a new request with these shared parts."""
        self._request_count += 1
        return build_prompt_request(self._request_count, *parts)

    def crash(self, entry: int, *parts: str) -> None:
        """Let a new request with these parts crash a server."""
        self._crash_count += 1
        self.clock.advance(1)
        self.guards[entry].record_lost_answer(
            build_server(self._crash_count), self.build_request(*parts)
        )

    def refusing_entries(self, *parts: str) -> list[int]:
        """Return the entries that refuse a new request with these parts."""
        return [
            number
            for number, guard in enumerate(self.guards)
            if guard.is_banned(self.build_request(*parts))
        ]

    def _broadcaster(self, sender: int) -> Callable[[Message], None]:
        def broadcast(notice: Message) -> None:
            if sender in self.cut_entries:
                return
            for number, guard in enumerate(self.guards):
                if number != sender and number not in self.cut_entries:
                    guard.on_crash_notice(notice)  # type: ignore[arg-type]

        return broadcast

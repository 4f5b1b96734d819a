"""Verdicts of a selection on each server of a service."""

from dataclasses import dataclass
from enum import StrEnum

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.load_trackers import LoadEstimate


class Exclusion(StrEnum):
    """State why a server gets no new requests; the values are stable."""

    draining = 'draining'
    data_centre_out = 'data_centre_out'
    # A cold server has got its share of requests for now.
    cold_rate = 'cold_rate'
    # The server's stated rate limit is used up for now.
    stated_limit = 'stated_limit'
    # The server turned a request away and stated when to come back.
    back_off = 'back_off'
    leaving = 'leaving'
    # Without a server id, another server may have the address by now.
    uncertain_address = 'uncertain_address'
    unreachable = 'unreachable'
    # Its agent reports that it does not respond.
    silent = 'silent'
    # Its queue uses up half of the time until the deadline.
    too_late = 'too_late'
    # The stream was begun by another software version, or by an unknown one.
    other_version = 'other_version'


@dataclass(frozen=True, slots=True)
class ServerVerdict:
    """Hold what a selection finds about one server."""

    server: BackendServer
    estimate: LoadEstimate
    # None for a candidate.
    exclusion: Exclusion | None
    # Cost by which candidates are compared; None for an excluded server.
    cost: float | None = None

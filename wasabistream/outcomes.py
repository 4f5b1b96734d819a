"""Outcomes of an attempt."""

from enum import StrEnum


class Outcome(StrEnum):
    """Say whether a backend server executed an attempt."""

    not_run = 'not_run'
    run = 'run'
    unknown = 'unknown'

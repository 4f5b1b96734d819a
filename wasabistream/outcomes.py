"""Outcomes of an attempt."""

from enum import StrEnum


class Outcome(StrEnum):
    """State what is known about the execution of an attempt."""

    not_run = 'not_run'
    run = 'run'
    unknown = 'unknown'

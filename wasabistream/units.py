"""Factors between the units of wire formats and those of this code."""

MILLISECONDS_PER_SECOND = 1000

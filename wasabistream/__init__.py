"""Serving system for model generations of unknown length on busy engines."""

__version__ = '0.1.0'

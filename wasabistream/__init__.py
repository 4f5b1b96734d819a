"""Serving system for generations of unknown length on crowded engines."""

__version__ = '0.1.0'

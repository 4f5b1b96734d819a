"""Inspection of requests from the log lines of all processes."""

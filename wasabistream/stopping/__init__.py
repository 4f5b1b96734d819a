"""Stops of processes that answer what they have taken."""

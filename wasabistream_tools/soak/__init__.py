"""Fault soak of the platform daemons as real processes."""

"""Queueing of generations that may start later than others."""

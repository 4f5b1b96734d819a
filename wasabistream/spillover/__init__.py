"""Requests that leave their data centre, and how many."""

"""Explanation of where a request would go, without sending it."""

"""Tests of wasabistream."""

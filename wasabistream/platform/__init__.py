"""Adapter to the platform that the daemons run on.

Only this package knows the platform's names. It decodes settings, store
entries, requests and reports once into the types of `forwarding`, and holds
no decisions.
"""

"""Forward callers' requests unchanged to backend servers.

This package chooses the backend server for a request, decides on retries and
refusals, and continues streams when their backend server stops. It owns the
view of the fleet that one process holds. It does not depend on the platform:
the adapter in `wasabistream.platform` decodes the platform's data into the
types of this package.
"""

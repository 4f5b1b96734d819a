"""Forward callers' requests unchanged to backend servers.

This package decides which backend server runs a request, what is retried,
who is refused and how a stream outlives its backend server. It owns the view
of the fleet that one process holds. It does not know the platform: the
adapter decodes what the platform says into the types of this package.
"""

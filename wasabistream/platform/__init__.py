"""Adapter to the platform that the daemons run on.

Only this package uses the platform's names and formats. It decodes settings,
store items, requests and engine reports into the types of the package
`forwarding`, which makes all decisions.
"""

"""Scheduling on the leading control host, for all entry hosts.

The leader places streams at runners and orders runners to change between
the prefill and decode stages. The algorithms are pure code in
`limpetroute.routing`.
"""

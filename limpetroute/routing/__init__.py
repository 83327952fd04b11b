"""Forwarding logic without I/O: routes, outcomes, placement and budgets.

No module here opens a socket or reads a clock.
"""

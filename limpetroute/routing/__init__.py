"""Pure parts of forwarding: routes, outcomes, placement, budgets.

Nothing here opens a socket or reads a clock.
"""

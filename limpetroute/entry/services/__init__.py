"""Calls to plain services, repeatable and once-only."""

"""Paths that the platform calls."""

READY = '/api/readyz'

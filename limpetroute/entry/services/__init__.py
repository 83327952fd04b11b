"""Calls to plain services: retryable ones and at-most-once ones."""

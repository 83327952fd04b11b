"""Logging, metrics and spans."""

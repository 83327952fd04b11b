"""Callers: HTTP handlers, answers and their connections."""

"""Logging, metrics and tracing."""

"""Runs: from a scheduled request to its last token."""

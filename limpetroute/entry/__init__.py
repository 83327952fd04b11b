"""The process that callers talk to."""

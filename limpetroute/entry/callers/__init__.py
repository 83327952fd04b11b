"""HTTP handlers for callers, their answers and connections."""

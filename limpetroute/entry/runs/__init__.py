"""Running requests: placement, prefill, transfer and decode."""

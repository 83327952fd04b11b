"""Load, experiment and capacity measurements."""

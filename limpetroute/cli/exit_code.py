"""Exit codes that all commands share."""

DONE = 0
NO = 1
USAGE = 2
UNKNOWN = 3

"""Pure replica state machine: no sockets, no clock, no disk."""

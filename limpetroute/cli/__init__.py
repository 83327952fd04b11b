"""Commands of the limpetroute program."""

"""HTTP and disk I/O of the control log, around the pure replica."""

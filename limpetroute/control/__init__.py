"""The control log's HTTP and disk around the pure replica."""

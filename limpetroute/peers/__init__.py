"""What entry hosts share with each other."""

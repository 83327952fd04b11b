"""Records of requests and of their answers."""

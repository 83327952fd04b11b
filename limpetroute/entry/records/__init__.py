"""Records of requests and of finished answers."""

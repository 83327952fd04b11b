"""Announcements of runners and the client that drives them."""

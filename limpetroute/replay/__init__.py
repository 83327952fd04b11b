"""Plays recorded traces through the product's own decisions."""

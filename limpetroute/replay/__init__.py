"""Replays recorded traces through the production decision code."""

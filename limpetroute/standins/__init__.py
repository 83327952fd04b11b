"""Simulated engine and plain service for the demo and the tests."""

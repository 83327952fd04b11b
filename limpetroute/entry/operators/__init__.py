"""Operators: status, requests, drain."""

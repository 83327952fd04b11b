"""Adapter for the platform's header names, formats and HTTP calls.

The package converts between the platform's formats and the project's own
types; it makes no routing decisions. Only the command line imports it.
"""

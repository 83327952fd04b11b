"""Validated models of all that enters from outside."""

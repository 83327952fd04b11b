"""Scheduling decisions under load: no network, no clock."""

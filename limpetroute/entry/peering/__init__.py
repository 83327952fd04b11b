"""Cooperation of entry hosts: membership, copies, grants, relays."""

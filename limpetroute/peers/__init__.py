"""Membership, leases, grants and record copies between entry hosts."""

"""Assigns names to hosts by rendezvous hashing."""

import typing

import xxhash

__all__ = ['first', 'ranked']


def ranked(name: str, hosts: typing.Iterable[str]) -> list[str]:
    """Order hosts for a name by rendezvous (highest random weight) hashing.

    When a host goes, only the names for which it was first move, each to
    its next host. All processes compute the same order on their own.

    Parameters
    ----------
    name : str
        Name to assign to a host.
    hosts : iterable of str
        Available hosts.
    """
    return sorted(hosts, key=lambda host: (-_weight(name, host), host))


def first(name: str, hosts: typing.Iterable[str]) -> str | None:
    """Return the first host for a name, or None without hosts."""
    found = ranked(name, hosts)
    return found[0] if found else None


def _weight(name: str, host: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f'{name}\0{host}'.encode()))

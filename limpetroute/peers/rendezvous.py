"""Picks hosts for a name so that few names move when hosts change."""

import typing

import xxhash

__all__ = ['first', 'ranked']


def ranked(name: str, hosts: typing.Iterable[str]) -> list[str]:
    """Order hosts for a name by highest random weight.

    A host that goes moves only the names it was first for, each to the
    name's next host; every process orders alike without asking.

    Parameters
    ----------
    name : str
        What is to be placed.
    hosts : iterable of str
        The hosts there are.
    """
    return sorted(hosts, key=lambda host: (-_weight(name, host), host))


def first(name: str, hosts: typing.Iterable[str]) -> str | None:
    """Return the first host for a name, or None without hosts."""
    found = ranked(name, hosts)
    return found[0] if found else None


def _weight(name: str, host: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f'{name}\0{host}'.encode()))

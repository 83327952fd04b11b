"""Addresses and first replicas derived from a list of seeds."""

import typing

BOOTSTRAP_SUFFIX = 'founder'


def host_of(seed: str) -> str:
    """Return the IP address of an ``IP:PORT``."""
    return seed.rpartition(':')[0].strip('[]')


def bootstrap_replicas(seeds: typing.Sequence[str]) -> dict[str, str]:
    """Return the first replicas of the group, by seed host.

    All seeds get the same list at their first start, so each derives the
    same first membership without communication. Two halves of the seeds
    cannot bootstrap two groups: both bootstrap the same group, in which
    only a majority can commit.
    """
    hosts = [host_of(seed) for seed in seeds]
    return {host: f'{host}.{BOOTSTRAP_SUFFIX}' for host in hosts}


def url(*, host: str, scheme: str, port: int) -> str:
    """Return the URL of a control host for other control hosts."""
    address = f'[{host}]' if ':' in host else host
    return f'{scheme}://{address}:{port}'

"""Addresses and founding replicas that follow from a list of seeds."""

import typing

BOOTSTRAP_SUFFIX = 'founder'


def host_of(seed: str) -> str:
    """Return the host, an IP address, of an ``IP:PORT``."""
    return seed.rpartition(':')[0].strip('[]')


def bootstrap_replicas(seeds: typing.Sequence[str]) -> dict[str, str]:
    """Return each seed host's replica in the group that they found.

    All seeds are given the same list at the first start, so each can
    work out the first membership by itself. Nothing has to be agreed on
    beforehand, and two halves of the seeds cannot found two groups:
    they found the same one, in which only a majority decides.
    """
    hosts = [host_of(seed) for seed in seeds]
    return {host: f'{host}.{BOOTSTRAP_SUFFIX}' for host in hosts}


def url(*, host: str, scheme: str, port: int) -> str:
    """Return the address at which a control host hears the others."""
    shown = f'[{host}]' if ':' in host else host
    return f'{scheme}://{shown}:{port}'

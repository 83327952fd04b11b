import json
import socket
import subprocess
import sys

import pytest

from tests.whole_path import port_pool

TAKE = """
import json, sys
from tests.whole_path import port_pool
print(json.dumps([port_pool.free_port() for _ in range(150)]), flush=True)
sys.stdin.read()
"""


def test_no_two_processes_get_the_same_port():
    """A restarted host finds its port taken by a fleet of another run."""
    started = [
        subprocess.Popen(
            [sys.executable, '-c', TAKE],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(3)
    ]
    try:
        taken = [json.loads(one.stdout.readline()) for one in started]
    finally:
        for one in started:
            one.communicate()
    found = [port for some in taken for port in some]
    assert len(found) == len(set(found)) == 450


def test_no_port_is_one_of_an_outgoing_connection():
    """An outgoing connection takes the port of a host that restarts."""
    with open('/proc/sys/net/ipv4/ip_local_port_range') as file:
        lowest = int(file.read().split()[0])
    assert port_pool.LAST <= lowest


def test_a_port_in_use_is_passed_over():
    pool = port_pool.PortPool()
    taken = pool.take()
    with socket.socket() as sock:
        sock.bind((port_pool.ADDRESS, taken + 1))
        assert pool.take() == taken + 2


def test_a_pool_without_blocks_says_so():
    pool = port_pool.PortPool(
        first=port_pool.FIRST, last=port_pool.FIRST, block=1
    )
    with pytest.raises(port_pool.NoPortError):
        pool.take()

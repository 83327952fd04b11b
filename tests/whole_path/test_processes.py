import socket

import pytest

from tests.whole_path import port_pool
from tests.whole_path import processes


def test_a_process_without_its_port_says_so(tmp_path):
    """A run without a host is taken for one that loses answers."""
    with socket.socket() as taken:
        taken.bind((port_pool.ADDRESS, port_pool.free_port()))
        taken.listen()
        port = taken.getsockname()[1]
        process = processes.Process(
            'entry',
            {
                'host_id': 'e0',
                'zone': 'a',
                'zones': ['a'],
                'listen': {'port': port},
            },
            tmp_path,
            'e0',
        )
        try:
            with pytest.raises(processes.NotReadyError, match='e0: .*listen'):
                process.wait_ready()
        finally:
            process.stop()

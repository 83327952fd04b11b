"""Tests of the list through which entry hosts learn of each other."""

from limpetroute.border import entry_hosts_body
from limpetroute.control import entry_directory


def _host(name, port=1):
    return entry_hosts_body.EntryHostBody(
        host_id=name, zone='a', url=f'http://127.0.0.1:{port}'
    )


def test_the_digest_follows_the_list():
    one, other = (entry_directory.EntryDirectory() for _ in range(2))
    one.note(_host('a'), 0.0)
    one.note(_host('b'), 0.0)
    other.note(_host('b'), 5.0)
    assert one.digest != other.digest
    other.note(_host('a'), 6.0)
    assert one.digest == other.digest
    other.note(_host('a', port=2), 7.0)
    assert one.digest != other.digest


def test_a_host_without_reports_leaves_the_list():
    directory = entry_directory.EntryDirectory()
    directory.note(_host('a'), 0.0)
    directory.note(_host('b'), 1.0 + entry_directory.EXPIRY_S)
    assert [host.host_id for host in directory.hosts()] == ['b']

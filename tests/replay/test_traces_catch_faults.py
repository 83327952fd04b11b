"""Takes guards out of the product; the traces must then differ."""

import pytest

from limpetroute.agreement import replica
from limpetroute.control import manifest_store
from limpetroute.decisions import round_robin
from limpetroute.entry import send_guard
from limpetroute.peers import lease_voter
from limpetroute.peers import request_record
from limpetroute.replay import replayer
from limpetroute.replay import trace_reader
from limpetroute.runners import directory
from tests.cli import commands


def _agrees(name):
    data = (commands.ROOT / 'traces' / f'{name}.jsonl').read_bytes()
    return replayer.replay(trace_reader.read(data))[-1].agrees


def _forget_end(self, work_id, how, now_s):
    """A router that keeps what a gone caller held."""


def _forgetful_voter(self, *, voter_id, config, started_s):
    _LEASE_VOTER_INIT(
        self, voter_id=voter_id, config=config, started_s=started_s - 1e6
    )


def _accept_any(self, body):
    self.newest = body
    return manifest_store.Accepted(
        number=body.number, digest=body.digest, resent=False
    )


def _always_current(self, attachment):
    return True


def _any_proof(self):
    return 'any'


def _deliver_nothing(self, attachment, index):
    """A record that does not note what was delivered."""


def _never_older(new, old):
    return False


def _always_heard(self, now_s):
    return now_s


_LEASE_VOTER_INIT = lease_voter.LeaseVoter.__init__
_NEXT = round_robin.RoundRobin._next


def _next_ignoring_leaving(self, role, model, tried):
    kept = self._runners
    self._runners = {name: _Staying(facts) for name, facts in kept.items()}
    try:
        return _NEXT(self, role, model, tried)
    finally:
        self._runners = kept


class _Staying:
    """A runner's facts, but for its wish to leave."""

    leaving = False

    def __init__(self, facts):
        self._facts = facts

    def __getattr__(self, name):
        return getattr(self._facts, name)


def _next_ignoring_failures(self, role, model, tried):
    return _NEXT(self, role, model, set())


ROUTER = round_robin.RoundRobin
RECORD = request_record.RequestRecord
FAULTS = [
    ('gone-caller-frees-its-slot', ROUTER, 'on_end', _forget_end),
    ('gone-caller-in-the-queue', ROUTER, 'on_end', _forget_end),
    (
        'leaving-runner-gets-no-new-work',
        ROUTER,
        '_next',
        _next_ignoring_leaving,
    ),
    ('runner-dies-while-writing', ROUTER, '_next', _next_ignoring_failures),
    (
        'stalled-transfer-is-tried-elsewhere',
        ROUTER,
        '_next',
        _next_ignoring_failures,
    ),
    ('answer-is-delivered-once', RECORD, 'mark_delivered', _deliver_nothing),
    ('resumed-answer-has-no-seam', RECORD, 'is_current', _always_current),
    (
        'not-run-was-not-run',
        send_guard.SendGuard,
        'not_run_proof',
        _any_proof,
    ),
    (
        'manifests-with-equal-numbers',
        manifest_store.ManifestStore,
        'submit',
        _accept_any,
    ),
    ('late-announcement-revives-nobody', directory, '_is_older', _never_older),
    (
        'restarted-voter-promises-nothing-twice',
        lease_voter.LeaseVoter,
        '__init__',
        _forgetful_voter,
    ),
    (
        'isolated-leader-commits-nothing',
        replica.Replica,
        '_quorum_round_s',
        _always_heard,
    ),
]


@pytest.mark.parametrize(
    ('name', 'owner', 'guard', 'fault'),
    FAULTS,
    ids=[fault[0] for fault in FAULTS],
)
def test_trace_differs_without_the_guard(
    monkeypatch, name, owner, guard, fault
):
    assert _agrees(name)
    monkeypatch.setattr(owner, guard, fault)
    assert not _agrees(name)

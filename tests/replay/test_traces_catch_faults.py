"""Disables one safeguard at a time; its trace must then differ."""

import pytest

from limpetroute.agreement import replica
from limpetroute.control import claim_table
from limpetroute.control import control_state
from limpetroute.control import manifest_store
from limpetroute.control import results
from limpetroute.decisions import full_policy
from limpetroute.decisions import runner_state
from limpetroute.entry.runs import send_guard
from limpetroute.peers import lease_voter
from limpetroute.peers import request_record
from limpetroute.replay import replayer
from limpetroute.replay import trace_reader
from limpetroute.runners import directory
from tests.cli import commands


def _agrees(name):
    data = (commands.ROOT / 'traces' / f'{name}.jsonl').read_bytes()
    return replayer.replay(trace_reader.read(data))[-1].agrees


def _ignore_end(self, work_id, how, now_s):
    """Keep the slot and queue entry of a caller that left."""


def _init_voter_without_waiting(self, *, voter_id, config, started_s):
    _LEASE_VOTER_INIT(
        self, voter_id=voter_id, config=config, started_s=started_s - 1e6
    )


def _accept_every_manifest(self, command):
    return manifest_store.Accepted(
        number=command.number, digest=command.digest, resent=False
    )


def _grant_every_claim(self, command, fence):
    return results.Granted(fence=fence)


def _withdraw_nothing(self, command):
    return results.Done()


def _same_fence(self, name):
    return results.FenceGiven(name=name, fence=1)


def _always_current(self, attachment):
    return True


def _always_prove_not_run(self):
    return 'any'


def _skip_delivery_mark(self, attachment, index):
    """Do not record which events were delivered."""


def _never_older(new, old):
    return False


def _always_in_contact(self, now_s):
    return now_s


_LEASE_VOTER_INIT = lease_voter.LeaseVoter.__init__


def _avoid_no_runner(self, *args, **kwargs):
    """Do not record that a runner failed."""


_USABLE_WHILE_LEAVING = property(lambda self: not self.ejected)


ROUTER = full_policy.FullPolicy
RECORD = request_record.RequestRecord
FAULTS = [
    ('gone-caller-frees-its-slot', ROUTER, 'on_end', _ignore_end),
    ('gone-caller-in-the-queue', ROUTER, 'on_end', _ignore_end),
    (
        'leaving-runner-gets-no-new-work',
        runner_state.RunnerState,
        'usable',
        _USABLE_WHILE_LEAVING,
    ),
    ('runner-dies-while-writing', ROUTER, '_avoid', _avoid_no_runner),
    (
        'stalled-transfer-is-tried-elsewhere',
        ROUTER,
        '_avoid',
        _avoid_no_runner,
    ),
    (
        'answer-is-delivered-once',
        RECORD,
        'mark_delivered',
        _skip_delivery_mark,
    ),
    ('resumed-answer-has-no-seam', RECORD, 'is_current', _always_current),
    (
        'not-run-was-not-run',
        send_guard.SendGuard,
        'not_run_proof',
        _always_prove_not_run,
    ),
    (
        'manifests-with-equal-numbers',
        control_state.ControlState,
        '_submit',
        _accept_every_manifest,
    ),
    (
        'release-confirmation-runs-once',
        claim_table.ClaimTable,
        'make',
        _grant_every_claim,
    ),
    (
        'lost-claim-never-comes-back',
        claim_table.ClaimTable,
        'withdraw',
        _withdraw_nothing,
    ),
    (
        'fencing-numbers-only-grow',
        control_state.ControlState,
        '_next_fence',
        _same_fence,
    ),
    ('late-announcement-revives-nobody', directory, '_is_older', _never_older),
    (
        'restarted-voter-promises-nothing-twice',
        lease_voter.LeaseVoter,
        '__init__',
        _init_voter_without_waiting,
    ),
    (
        'isolated-leader-commits-nothing',
        replica.Replica,
        '_quorum_round_s',
        _always_in_contact,
    ),
]


@pytest.mark.parametrize(
    ('name', 'owner', 'attribute', 'replacement'),
    FAULTS,
    ids=[fault[0] for fault in FAULTS],
)
def test_trace_differs_without_the_guard(
    monkeypatch, name, owner, attribute, replacement
):
    assert _agrees(name)
    monkeypatch.setattr(owner, attribute, replacement)
    assert not _agrees(name)

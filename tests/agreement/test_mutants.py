"""Checks that the state machine test fails for each removed guard.

Subclasses in this module remove the guards; the product has no switch
for it.
"""

import hypothesis
from hypothesis import stateful
import pytest

from limpetroute import agreement
from tests.agreement import cluster as cluster_module
from tests.agreement import test_fuzz

MAX_EXAMPLES = 2000


class NoTermCheck(agreement.Replica):
    def _is_stale(self, term):
        return False


class NoPreVote(agreement.Replica):
    def _uses_pre_vote(self):
        return False


class NoCatchUp(agreement.Replica):
    def has_caught_up(self, replica_id):
        return True


class NoSilenceBeforeVote(agreement.Replica):
    def _leader_is_alive(self):
        return False


class TermCheckCluster(cluster_module.Cluster):
    replica_type = NoTermCheck


class PreVoteCluster(cluster_module.Cluster):
    replica_type = NoPreVote


class CatchUpCluster(cluster_module.Cluster):
    replica_type = NoCatchUp


class LeaseCluster(cluster_module.Cluster):
    replica_type = NoSilenceBeforeVote


class LostDiskCluster(cluster_module.Cluster):
    renames_lost_disk = False


class UnsyncedCluster(cluster_module.Cluster):
    syncs_before_ack = False


def run_until_caught(cluster, size, max_examples=MAX_EXAMPLES):
    """Return examples, rule steps and message when the fault is found."""

    class Machine(test_fuzz.ReplicaMachine):
        cluster_type = cluster
        examples = 0
        rules_run = 0

        @stateful.initialize()
        def count(self):
            type(self).examples += 1

    Machine.size = size
    try:
        stateful.run_state_machine_as_test(
            Machine,
            settings=hypothesis.settings(
                max_examples=max_examples,
                stateful_step_count=50,
                derandomize=True,
                deadline=None,
                database=None,
                phases=[hypothesis.Phase.generate],
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
        )
    except AssertionError as exc:
        message = str(exc).split('\n')[0]
        return Machine.examples, Machine.rules_run, message
    return None


@pytest.mark.parametrize(
    'cluster',
    [
        TermCheckCluster,
        PreVoteCluster,
        LostDiskCluster,
        UnsyncedCluster,
        CatchUpCluster,
        LeaseCluster,
    ],
)
def test_guard_taken_out_is_caught(cluster):
    caught = run_until_caught(cluster, 3)
    assert caught is not None, f'{cluster.__name__} was not caught'
    examples, steps, message = caught
    print(f'{cluster.__name__}: {examples} examples, {steps} steps: {message}')

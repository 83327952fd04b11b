"""The status report of a control host."""

import typing

from limpetroute.control import group as group_module
from limpetroute.control import node as node_module


def describe(node: node_module.Node) -> dict[str, typing.Any]:
    """Return a control host's status as JSON types."""
    now_s = node.now_s
    newest = node.config.state.newest
    away = set(node.reports.unresponsive(now_s))
    return {
        'host_id': node.settings.host_id,
        'zone': node.settings.zone,
        'replica_id': node.folder.replica_id,
        'failure': node.failure,
        'syncs': node.syncs,
        'manifest': {
            'number': newest.number,
            'digest': newest.digest,
            'sender': newest.sender,
        }
        if newest
        else None,
        'groups': [_describe_group(node, group) for group in node.groups],
        'links': node.links,
        'replacements': node.replacements.all(),
        'hosts': {
            host_id: {
                'number': report.number,
                'heard_s_ago': round(now_s - report.last_seen_s, 1),
                'away': host_id in away,
            }
            for host_id, report in node.reports.all().items()
        },
        **{name: read() for name, read in node.describers.items()},
    }


def _describe_group(
    node: node_module.Node, group: group_module.Group
) -> dict[str, typing.Any]:
    replica = group.replica
    claims = group.state.claims
    return {
        'group': group.number,
        'role': replica.role.value,
        'term': replica.term,
        'leader_host': group.leader_host,
        'in_touch': replica.has_active_leader(node.now_s),
        'commit_index': replica.commit_index,
        'applied_index': replica.applied_index,
        'snapshot_index': replica.log.base_index,
        'commits': group.commits,
        'claims': len(claims),
        'unsettled_claims': claims.unsettled,
        'claim_bytes': claims.used_bytes,
        'members': [
            {
                'host_id': member.host_id,
                'replica_id': member.replica_id,
                'voter': member.voter,
                'match_index': replica.match_index(member.replica_id),
            }
            for member in replica.membership.members
        ],
    }

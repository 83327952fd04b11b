"""Consensus as a pure state machine: no sockets, no clock, no disk.

The package can be used alone: create a `Replica`, pass it events with
the time, and execute the `Effects` that it returns. Several groups in
one process are several replicas; their writes may share one file and
one sync.
"""

from limpetroute.agreement.bootstrap import initial_state
from limpetroute.agreement.effects import Appended
from limpetroute.agreement.effects import Effects
from limpetroute.agreement.effects import Refused
from limpetroute.agreement.effects import SaveEntries
from limpetroute.agreement.effects import SaveSnapshot
from limpetroute.agreement.effects import SaveVote
from limpetroute.agreement.entry import Entry
from limpetroute.agreement.entry import EntryKind
from limpetroute.agreement.events import AddLearner
from limpetroute.agreement.events import Compact
from limpetroute.agreement.events import Persisted
from limpetroute.agreement.events import PersistFailed
from limpetroute.agreement.events import Propose
from limpetroute.agreement.events import Received
from limpetroute.agreement.events import RemoveMember
from limpetroute.agreement.events import Tick
from limpetroute.agreement.member import Member
from limpetroute.agreement.membership import Membership
from limpetroute.agreement.messages import Envelope
from limpetroute.agreement.replacement import next_change
from limpetroute.agreement.replica import Replica
from limpetroute.agreement.replica import Role
from limpetroute.agreement.saved_state import SavedState
from limpetroute.agreement.snapshot import Snapshot
from limpetroute.agreement.timings import Timings

__all__ = [
    'AddLearner',
    'Appended',
    'Compact',
    'Effects',
    'Entry',
    'EntryKind',
    'Envelope',
    'Member',
    'Membership',
    'PersistFailed',
    'Persisted',
    'Propose',
    'Received',
    'Refused',
    'RemoveMember',
    'Replica',
    'Role',
    'SaveEntries',
    'SaveSnapshot',
    'SaveVote',
    'SavedState',
    'Snapshot',
    'Tick',
    'Timings',
    'initial_state',
    'next_change',
]

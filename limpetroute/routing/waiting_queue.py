"""Queue of the waiting streams in the order of placement."""

import collections
import itertools
import math
import operator
import typing

import sortedcontainers

from limpetroute.routing import team_shares
from limpetroute.routing import urgency
from limpetroute.routing import waiting_stream

# First element of the sort keys.
RESUMED = 0
PUT_FIRST = 1
IN_TIME = 2
LATE = 3

CanMeetTarget = typing.Callable[[waiting_stream.WaitingStream], bool]
Key = tuple[typing.Any, ...]
# Streams that yield to others in the same cases: state and rank.
Group = tuple[int, urgency.Rank]


class WaitingQueue:
    """Queue of the waiting streams in the order of placement.

    Resumed streams go first: if such a stream is not resumed soon, all that
    was written for it is lost. Then come streams that can still meet their
    target, earliest target first. Among these, streams that may be sent only
    once go first, because their callers cannot retry. Late streams follow.

    In a ranked queue, more urgent streams go first within each of these
    groups, and among streams of one rank, those of teams that are within their
    share. Streams that are put first go before all but resumed ones.

    Parameters
    ----------
    shares : TeamShares or None
        Shares of the teams in a ranked queue.
    """

    def __init__(
        self, *, shares: team_shares.TeamShares | None = None
    ) -> None:
        self._shares = shares or team_shares.TeamShares()
        self._is_ranked = False
        self._streams: dict[str, waiting_stream.WaitingStream] = {}
        self._numbers = itertools.count()
        self._keys: dict[str, Key] = {}
        self._order = sortedcontainers.SortedDict()
        # The rest is empty unless the queue is ranked.
        self._groups: dict[str, Group] = {}
        self._group_sizes: collections.Counter[Group] = collections.Counter()
        # Streams of each rank and team by their order within the team, and
        # the tokens that the team takes if its streams up to this one are
        # placed.
        self._teams: dict[
            tuple[urgency.Rank, str], sortedcontainers.SortedDict
        ] = {}
        self._team_keys: dict[str, Key] = {}
        self._team_tokens: dict[str, int] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(streams={len(self._streams)!r})'

    def __len__(self) -> int:
        return len(self._streams)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._streams

    @property
    def is_ranked(self) -> bool:
        """Whether ranks and shares of teams decide the order."""
        return self._is_ranked

    def set_ranked(self, is_ranked: bool, in_time: CanMeetTarget) -> None:
        """Set whether ranks decide the order, and sort all streams anew."""
        streams = self.in_order()
        for one in streams:
            self.remove(one.request_id)
        self._is_ranked = is_ranked
        for one in streams:
            self.add(one, in_time(one))

    def add(self, stream: waiting_stream.WaitingStream, in_time: bool) -> None:
        """Add a stream, with whether it can meet its target."""
        self.remove(stream.request_id)
        request = stream.request
        number = next(self._numbers)
        key: Key
        if request.goes_on:
            key = (RESUMED, stream.sent_s, number)
        elif in_time:
            key = (IN_TIME, request.may_repeat, stream.due_s, number)
        else:
            key = (LATE, stream.sent_s, number)
        self._streams[stream.request_id] = stream
        if self._is_ranked:
            key = self._ranked_key(stream, key)
        self._put(stream, key)

    def remove(self, request_id: str) -> None:
        """Remove a stream if it is present."""
        stream = self._streams.pop(request_id, None)
        if stream is None:
            return
        del self._order[self._keys.pop(request_id)]
        group = self._groups.pop(request_id, None)
        if group is None:
            return
        self._group_sizes[group] -= 1
        if not self._group_sizes[group]:
            del self._group_sizes[group]
        self._leave_team(stream)

    def sort(self, in_time: CanMeetTarget) -> None:
        """Move streams that became late, or can meet their target again."""
        for stream in list(self._order.values()):
            if stream.request.goes_on:
                continue
            state = self._keys[stream.request_id][0]
            if state == PUT_FIRST:
                continue
            is_in_time = in_time(stream)
            if is_in_time != (state == IN_TIME):
                self.add(stream, is_in_time)
        if self._is_ranked:
            self._sort_by_team()

    def put_first(
        self,
        counts: typing.Mapping[urgency.Rank, int],
        has_time_left: CanMeetTarget,
    ) -> None:
        """Put streams of some ranks before the others.

        The earliest targets that can still be met go first, then late streams.
        A stream that has time left needs no help yet.

        Parameters
        ----------
        counts : mapping of Rank to int
            How many streams of each rank to put first, including those that
            are already.
        has_time_left : callable
            Whether a stream may wait without missing its target.
        """
        for rank, count in counts.items():
            count -= self._group_sizes[PUT_FIRST, rank]
            if count <= 0:
                continue
            found: list[typing.Any] = []
            for (team_rank, _), queue in self._teams.items():
                if team_rank != rank:
                    continue
                found.extend(
                    (key[0], one.due_s, one.sent_s, key[-1], one)
                    for key, one in queue.items()
                    if key[0] == LATE or not has_time_left(one)
                )
            found.sort(key=lambda entry: entry[:-1])
            for *_, one in found[:count]:
                self.remove(one.request_id)
                self._streams[one.request_id] = one
                self._join_group(one, PUT_FIRST, rank)
                self._put(one, (PUT_FIRST, rank, next(self._numbers)))

    def is_put_first(self, request_id: str) -> bool:
        """Return whether a stream is put before the others."""
        return self._keys[request_id][0] == PUT_FIRST

    def resumed(self) -> typing.Iterator[waiting_stream.WaitingStream]:
        """Yield the streams that go on, in order."""
        for key, stream in self._order.items():
            if key[0] != RESUMED:
                return
            yield stream

    def late(self) -> typing.Iterator[waiting_stream.WaitingStream]:
        """Yield the late streams of a queue without ranks, last one first."""
        for key in reversed(self._order):
            if key[0] != LATE:
                return
            yield self._order[key]

    def in_order(self) -> list[waiting_stream.WaitingStream]:
        """Return the streams in order."""
        return list(self._order.values())

    def by_group(
        self,
    ) -> typing.Iterator[list[waiting_stream.WaitingStream]]:
        """Yield the streams of a ranked queue in order, group by group."""
        for group in sorted(self._group_sizes):
            keys = self._order.irange(group, (*group, math.inf))
            yield list(map(self._order.__getitem__, keys))

    def positions_in_rank(self) -> dict[str, int]:
        """Return the position of each stream in its rank, from 0.

        Streams that go on have none. Empty unless the queue is ranked.
        """
        sizes: collections.Counter[urgency.Rank] = collections.Counter()
        positions: dict[str, int] = {}
        for group in sorted(self._group_sizes):
            state, rank = group
            if state == RESUMED:
                continue
            keys = self._order.irange(group, (*group, math.inf))
            streams = map(self._order.__getitem__, keys)
            names = map(operator.attrgetter('request_id'), streams)
            numbered = zip(names, itertools.count(sizes[rank]), strict=False)
            positions.update(numbered)
            sizes[rank] += self._group_sizes[group]
        return positions

    def size_of_rank(self, rank: urgency.Rank) -> int:
        """Return how many streams of a rank wait to begin."""
        return sum(
            self._group_sizes[state, rank]
            for state in (PUT_FIRST, IN_TIME, LATE)
        )

    def ranks(self) -> set[urgency.Rank]:
        """Return the ranks of the streams that wait to begin."""
        return {rank for state, rank in self._group_sizes if state != RESUMED}

    def count_before_late(self, rank: urgency.Rank) -> int:
        """Return how many streams go before a late one of a rank."""
        return sum(
            size
            for (state, other), size in self._group_sizes.items()
            if state != LATE or other <= rank
        )

    def _put(self, stream: waiting_stream.WaitingStream, key: Key) -> None:
        self._keys[stream.request_id] = key
        self._order[key] = stream

    def _join_group(
        self,
        stream: waiting_stream.WaitingStream,
        state: int,
        rank: urgency.Rank,
    ) -> None:
        self._groups[stream.request_id] = (state, rank)
        self._group_sizes[state, rank] += 1

    def _ranked_key(
        self, stream: waiting_stream.WaitingStream, key: Key
    ) -> Key:
        rank = urgency.rank_of(stream.request)
        self._join_group(stream, key[0], rank)
        if stream.request.goes_on:
            return (key[0], rank, *key[1:])
        tokens = self._join_team(stream, rank, key)
        unused = self._shares.unused_tokens(rank, stream.request.team)
        excess = max(0.0, tokens - unused)
        return (key[0], rank, excess, *key[1:])

    def _join_team(
        self,
        stream: waiting_stream.WaitingStream,
        rank: urgency.Rank,
        key: Key,
    ) -> int:
        """Add a stream to its team; return what the team takes with it."""
        request = stream.request
        queue = self._teams.setdefault(
            (rank, request.team), sortedcontainers.SortedDict()
        )
        queue[key] = stream
        self._team_keys[stream.request_id] = key
        position = queue.index(key)
        tokens = team_shares.tokens_of(request)
        if position:
            before = queue.peekitem(position - 1)[1]
            tokens += self._team_tokens[before.request_id]
        if position + 1 < len(queue):
            # The streams behind it are moved in the next `sort`.
            behind = queue.peekitem(position + 1)[1]
            tokens = min(tokens, self._team_tokens[behind.request_id])
        self._team_tokens[stream.request_id] = tokens
        return tokens

    def _leave_team(self, stream: waiting_stream.WaitingStream) -> None:
        key = self._team_keys.pop(stream.request_id, None)
        if key is None:
            return
        del self._team_tokens[stream.request_id]
        team = (urgency.rank_of(stream.request), stream.request.team)
        queue = self._teams[team]
        del queue[key]
        if not queue:
            del self._teams[team]

    def _sort_by_team(self) -> None:
        """Divide the capacity among teams and order their streams by it."""
        waiting: dict[urgency.Rank, dict[str, int]] = {}
        for (rank, team), queue in self._teams.items():
            requests = (one.request for one in queue.values())
            waiting.setdefault(rank, {})[team] = sum(
                map(team_shares.tokens_of, requests)
            )
        self._shares.divide(waiting)
        for (rank, team), queue in self._teams.items():
            tokens = 0
            unused = self._shares.unused_tokens(rank, team)
            for key, one in queue.items():
                name = one.request_id
                tokens += team_shares.tokens_of(one.request)
                self._team_tokens[name] = tokens
                excess = max(0.0, tokens - unused)
                old_key = self._keys[name]
                if old_key[2] != excess:
                    del self._order[old_key]
                    self._put(one, (key[0], rank, excess, *key[1:]))

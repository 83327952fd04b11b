"""Counters and histograms of the forwarder."""

from opentelemetry import metrics

from limpetroute.forwarding import connection_meters
from limpetroute.telemetry import bounded_labels

# Targets are 200 to 400 ms for plain calls and 900 ms for the first event
# of a stream; the buckets are narrow around these values.
ANSWER_BOUNDS_S = (
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    0.9,
    1.2,
    2.0,
    4.0,
    8.0,
    14.0,
)


ERROR_BOUNDS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
# Teams with a time series of their own at one host.
MAX_TEAM_LABELS = 24


class ForwardMeters:
    """Counters and histograms of the forwarder.

    Labels have few values, so the number of time series does not depend
    on the number of callers and requests.

    Parameters
    ----------
    meter : Meter
        Makes the instruments.
    """

    def __init__(self, *, meter: metrics.Meter) -> None:
        self._answers = meter.create_histogram(
            'limpetroute_answer',
            unit='s',
            description='From a request to the end of its answer.',
            explicit_bucket_boundaries_advisory=ANSWER_BOUNDS_S,
        )
        self._first_events = meter.create_histogram(
            'limpetroute_first_event',
            unit='s',
            description="From a request to its stream's first event.",
            explicit_bucket_boundaries_advisory=ANSWER_BOUNDS_S,
        )
        self._first_event_errors = meter.create_histogram(
            'limpetroute_first_event_error',
            unit='s',
            description='By how much first events miss their forecast.',
            explicit_bucket_boundaries_advisory=ERROR_BOUNDS_S,
        )
        self._longest_gaps = meter.create_histogram(
            'limpetroute_longest_pause',
            unit='s',
            description="Longest time between two of an answer's events.",
            explicit_bucket_boundaries_advisory=ANSWER_BOUNDS_S,
        )
        self._sends = meter.create_counter(
            'limpetroute_sends',
            description='Sends to runners, by part and result.',
        )

        self._plain_slots = meter.create_counter(
            'limpetroute_plain_slots',
            description='Choices of plain runners, by outcome and reason.',
        )
        self._crashes = meter.create_counter(
            'limpetroute_crashes',
            description='Requests under which a runner crashed.',
        )
        self._closed_unread = meter.create_counter(
            'limpetroute_connections_closed_unread',
            description='New connections closed, as they were too many.',
        )
        self._bodies_refused = meter.create_counter(
            'limpetroute_bodies_refused',
            description='Requests refused, as their bodies did not fit.',
        )

        self._connections = meter.create_counter(
            'limpetroute_connections',
            description='Connections that may be kept, by what happened.',
        )
        self._team_answers = meter.create_counter(
            'limpetroute_team_answers',
            description='Answers to callers, by team and status.',
        )
        self._team_labels = bounded_labels.BoundedLabels(limit=MAX_TEAM_LABELS)

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    def answered(self, kind: str, status: int, seconds: float) -> None:
        """Record an answer to a caller."""
        self._answers.record(seconds, {'kind': kind, 'status': status})

    def team_answered(self, team: str, status: int) -> None:
        """Count an answer to a team's caller."""
        label = self._team_labels.get(team)
        self._team_answers.add(1, {'team': label, 'status': status})

    def first_event(self, seconds: float) -> None:
        """Record a stream's first event."""
        self._first_events.record(seconds)

    def first_event_error(self, seconds: float) -> None:
        """Record by how much a first event came later than forecast.

        Histograms take no negative values, so a label tells early events.
        """
        self._first_event_errors.record(abs(seconds), {'early': seconds < 0})

    def longest_gap(self, seconds: float) -> None:
        """Record the longest gap between two events of an answer."""
        self._longest_gaps.record(seconds)

    def sent(self, part: str, result: str) -> None:
        """Count a send to a runner."""
        self._sends.add(1, {'part': part, 'result': result})

    def plain_slot(self, outcome: str, reason: str = '') -> None:
        """Count a slot that was granted, refused, or chosen locally."""
        self._plain_slots.add(1, {'outcome': outcome, 'reason': reason})

    def closed_unread(self, count: int) -> None:
        """Count connections of callers that were closed unread."""
        self._closed_unread.add(count)

    def body_refused(self) -> None:
        """Count a request whose body found no memory."""
        self._bodies_refused.add(1)

    def connections_to(
        self, server: str
    ) -> connection_meters.ConnectionMeters:
        """Return what counts the connections to one kind of server."""
        return connection_meters.ConnectionMeters(
            counter=self._connections, server=server
        )

    def crashed(self, answer_begun: bool) -> None:
        """Count a request that a crashed runner was processing."""
        self._crashes.add(1, {'begun': answer_begun})

"""Commands of the control log and their encoding."""

import base64
import dataclasses
import json
import typing
import zlib


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SubmitManifest:
    """Put a manifest in force; ``text`` is its JSON document."""

    number: int
    digest: str
    sender: str
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NextFence:
    """Allocate the next fencing number of a name."""

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MakeClaim:
    """Claim a call that must not run twice.

    ``token`` identifies one attempt of one holder: if the command is sent
    again, the claim is granted again. ``at_s`` is the leader's wall clock
    in Unix seconds.
    """

    team: str
    key: str
    body_digest: str
    holder: str
    token: str
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WithdrawClaim:
    """Withdraw a claim whose grant its holder never received.

    The token is void from then on, even if its claim is committed later.
    """

    team: str
    key: str
    token: str
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettleClaim:
    """Write the outcome of a claimed call."""

    team: str
    key: str
    status: int
    body: str
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForgetOld:
    """Drop settled claims and void tokens older than these times.

    Times are in Unix seconds.
    """

    settled_before_s: float
    void_before_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SubmitRoutes:
    """Put a routing configuration in force, unless a newer one is."""

    version: int
    digest: str
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoteRunner:
    """Record a runner's announcement; see `RunnerRow`."""

    runner_id: str
    address: str
    text: str
    sequence: int
    state: str
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForgetRunner:
    """Record that a runner has left for good.

    ``started_ms`` is the start of the process that left, in Unix
    milliseconds; 0 stands for any.
    """

    runner_id: str
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoteCrashes:
    """Record crashes of runners with the requests that they were running.

    Each row has the runner's identity, its start in Unix milliseconds, and
    a mapping from the fingerprint of each request to whether its answer had
    begun.
    """

    crashes: list[list[typing.Any]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClearRequest:
    """Release a quarantined request as harmless."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TakeTrial:
    """Allow one host to send a quarantined request once.

    ``taken`` is the number of earlier trials that the host saw. If two
    hosts send this command at the same time, the second is denied because
    ``taken`` no longer matches.
    """

    fingerprint: str
    taken: int


Command = (
    SubmitManifest
    | SubmitRoutes
    | NoteRunner
    | ForgetRunner
    | NoteCrashes
    | ClearRequest
    | TakeTrial
    | NextFence
    | MakeClaim
    | WithdrawClaim
    | SettleClaim
    | ForgetOld
)

_TYPES: dict[str, type[Command]] = {
    kind.__name__: kind
    for kind in (
        SubmitManifest,
        SubmitRoutes,
        NoteRunner,
        ForgetRunner,
        NoteCrashes,
        ClearRequest,
        TakeTrial,
        NextFence,
        MakeClaim,
        WithdrawClaim,
        SettleClaim,
        ForgetOld,
    )
}


# Name of entries with a compressed text. Entries of an earlier release have
# the class's name and the plain text.
_PACKED_ROUTES = 'PackedRoutes'
# Takes a third of the time of the default level for entries a tenth larger.
_LEVEL = 1


def encode(command: Command) -> bytes:
    """Return the data of a command's log entry.

    Routing configurations are compressed. On a busy host, followers took
    longer to read a plain text of some thousands of routes than the
    election timeout, so each attempt to commit it ended the leader's term.
    """
    if isinstance(command, SubmitRoutes):
        packed = base64.b64encode(zlib.compress(command.text.encode(), _LEVEL))
        row = [_PACKED_ROUTES, command.version, command.digest]
        return json.dumps([*row, packed.decode()]).encode()
    fields = [
        getattr(command, field.name) for field in dataclasses.fields(command)
    ]
    row = [type(command).__name__, *fields]
    return json.dumps(row, separators=(',', ':')).encode()


def _unpacked_routes(version: int, digest: str, packed: str) -> SubmitRoutes:
    try:
        text = zlib.decompress(base64.b64decode(packed)).decode()
    except zlib.error as exc:
        raise ValueError(f'version {version}: {exc}') from exc
    return SubmitRoutes(version=version, digest=digest, text=text)


def decode(data: bytes) -> Command:
    """Return the command of a log entry.

    Raises
    ------
    ValueError
        If the data is not a result of `encode`.
    """
    name, *values = json.loads(data)
    if name == _PACKED_ROUTES:
        return _unpacked_routes(*values)
    kind = _TYPES.get(name)
    if kind is None:
        raise ValueError(f'unknown command {name!r}')
    names = [field.name for field in dataclasses.fields(kind)]
    if len(values) > len(names):
        raise ValueError(f'{name} has {len(values)} values')
    # Entries of an earlier release lack the last fields, which were added
    # later and have defaults.
    return kind(**dict(zip(names, values, strict=False)))

"""Commands in the log, and what each came to."""

import base64
import dataclasses
import json
import typing
import zlib


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SubmitManifest:
    """Put a manifest in force; ``text`` is its JSON."""

    number: int
    digest: str
    sender: str
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NextFence:
    """Give the next fencing number for a name."""

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MakeClaim:
    """Claim a call that must not run twice.

    ``token`` names one try of one holder: sent again, it is granted
    again. ``at_s`` is the leader's wall clock in Unix seconds.
    """

    team: str
    key: str
    body_digest: str
    holder: str
    token: str
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WithdrawClaim:
    """Take back a claim whose grant its holder never saw.

    The token is void from now on, also if its claim comes later.
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
    """Drop settled claims and void tokens older than these times."""

    settled_before_s: float
    void_before_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SubmitRoutes:
    """Put a routing configuration in force, if none is newer."""

    version: int
    digest: str
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoteRunner:
    """Take a runner's announcement; see `RunnerRow`."""

    runner_id: str
    address: str
    text: str
    sequence: int
    state: str
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForgetRunner:
    """A runner has left for good; 0 stands for any start of it."""

    runner_id: str
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoteCrashes:
    """Runners crashed under requests.

    Each row has the runner's identity, its start in Unix milliseconds, and
    whether an answer had begun, by the request's fingerprint.
    """

    crashes: list[list[typing.Any]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClearRequest:
    """A request under which runners crashed is harmless."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TakeTrial:
    """One host may send a quarantined request once.

    Of two hosts that ask at the same time, the second finds that
    ``taken`` is not the number of trials any more.
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
    one.__name__: one
    for one in (
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


# Entries of an earlier release have the plain text, under the class's name.
_PACKED_ROUTES = 'PackedRoutes'
# A third of the time of the usual level; entries come out a tenth larger.
_LEVEL = 1


def encode(command: Command) -> bytes:
    """Return the log entry's data.

    A routing configuration is compressed. As plain text, one of some
    thousands of routes took followers longer to read, on a busy host,
    than a leader may be silent, so that each try to commit it ended the
    term.
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
        If the data is not one that `encode` made.
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
    # Entries of an earlier version lack the fields that were added at the
    # end since, which have defaults.
    return kind(**dict(zip(names, values, strict=False)))

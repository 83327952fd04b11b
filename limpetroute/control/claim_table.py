"""The table of call claims in the replicated state."""

import collections
import dataclasses
import operator
import typing

from limpetroute.control import commands
from limpetroute.control import results

# Memory of a claim without its strings.
CLAIM_OVERHEAD_BYTES = 700


@dataclasses.dataclass(kw_only=True, slots=True)
class Claim:
    """One claimed call."""

    token: str
    body_digest: str
    holder: str
    fence: int
    made_s: float
    status: int = 0
    body: str = ''
    settled_s: float = 0.0


_FIELDS = tuple(field.name for field in dataclasses.fields(Claim))
# dataclasses.astuple copies deeply: with it, a snapshot of 100,000 claims
# would delay heartbeats for longer than the election timeout.
_values = operator.attrgetter(*_FIELDS)

Key = tuple[str, str]


class ClaimTable:
    """The table of call claims in the replicated state.

    A claim without an outcome is never dropped: the call may have run, and
    without its claim it could run again. Memory is bounded by refusing new
    claims.

    Parameters
    ----------
    max_bytes : int
        Maximum memory of all claims.
    """

    __slots__ = ('_claims', '_settled', '_void', 'max_bytes', 'used_bytes')

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._claims: dict[Key, Claim] = {}
        self._settled: collections.OrderedDict[Key, None] = (
            collections.OrderedDict()
        )
        self._void: dict[str, float] = {}

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(claims={len(self._claims)!r}, '
            f'used_bytes={self.used_bytes!r})'
        )

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def unsettled(self) -> int:
        """Number of claims without an outcome."""
        return len(self._claims) - len(self._settled)

    def get(self, team: str, key: str) -> Claim | None:
        """Return the claim of a team's key, or None."""
        return self._claims.get((team, key))

    def make(self, command: commands.MakeClaim, fence: int) -> results.Result:
        """Grant a claim, or return the existing one."""
        claim_key = (command.team, command.key)
        found = self._claims.get(claim_key)
        if found is not None:
            return _existing(found, command)
        if command.token in self._void:
            return results.Full(reason='the claim was withdrawn')
        claim = Claim(
            token=command.token,
            body_digest=command.body_digest,
            holder=command.holder,
            fence=fence,
            made_s=command.at_s,
        )
        size = _size(claim_key, claim)
        if self.used_bytes + size > self.max_bytes:
            return results.Full(reason='no room for claims')
        self._claims[claim_key] = claim
        self.used_bytes += size
        return results.Granted(fence=fence)

    def withdraw(self, command: commands.WithdrawClaim) -> results.Result:
        """Void a token whose grant its holder never received."""
        claim_key = (command.team, command.key)
        found = self._claims.get(claim_key)
        if found is not None and found.token == command.token:
            if found.status:
                return results.Settled(known=True)
            self._drop(claim_key)
        self._void[command.token] = command.at_s
        return results.Done()

    def settle(self, command: commands.SettleClaim) -> results.Result:
        """Write an outcome, unless the claim already has one."""
        claim_key = (command.team, command.key)
        found = self._claims.get(claim_key)
        if found is None:
            return results.Settled(known=False)
        if found.status:
            return results.Settled(known=True)
        self.used_bytes += len(command.body)
        found.status = command.status
        found.body = command.body
        found.settled_s = command.at_s
        self._settled[claim_key] = None
        return results.Settled(known=True)

    def forget(self, command: commands.ForgetOld) -> results.Result:
        """Drop settled claims and void tokens older than the given times."""
        while self._settled:
            claim_key = next(iter(self._settled))
            settled_s = self._claims[claim_key].settled_s
            if settled_s >= command.settled_before_s:
                break
            self._drop(claim_key)
        for token, at_s in list(self._void.items()):
            if at_s >= command.void_before_s:
                break
            del self._void[token]
        return results.Done()

    def oldest_settled_s(self) -> float | None:
        """Return when the oldest outcome was written, in Unix seconds."""
        for claim_key in self._settled:
            return self._claims[claim_key].settled_s
        return None

    def oldest_void_s(self) -> float | None:
        """Return when the oldest void token was voided, in Unix seconds."""
        return next(iter(self._void.values()), None)

    def dump(self) -> dict[str, typing.Any]:
        """Return the table as JSON types that `load` accepts."""
        return {
            'claims': [
                [*claim_key, *_values(claim)]
                for claim_key, claim in self._claims.items()
            ],
            'settled': list(self._settled),
            'void': self._void,
        }

    def load(self, body: dict[str, typing.Any]) -> None:
        """Load the result of `dump` into an empty table."""
        for team, key, *values in body['claims']:
            claim = Claim(**dict(zip(_FIELDS, values, strict=True)))
            self._claims[team, key] = claim
            self.used_bytes += _size((team, key), claim)
        for team, key in body['settled']:
            self._settled[team, key] = None
        self._void = dict(body['void'])

    def _drop(self, claim_key: Key) -> None:
        claim = self._claims.pop(claim_key)
        self._settled.pop(claim_key, None)
        self.used_bytes -= _size(claim_key, claim)


def _existing(found: Claim, command: commands.MakeClaim) -> results.Result:
    if found.token == command.token and not found.status:
        # The holder repeats its request after a lost response.
        return results.Granted(fence=found.fence)
    return results.Found(
        same_body=found.body_digest == command.body_digest,
        status=found.status,
        body=found.body,
        holder=found.holder,
    )


def _size(claim_key: Key, claim: Claim) -> int:
    texts = (
        *claim_key,
        claim.token,
        claim.body_digest,
        claim.holder,
        claim.body,
    )
    return CLAIM_OVERHEAD_BYTES + sum(len(text) for text in texts)

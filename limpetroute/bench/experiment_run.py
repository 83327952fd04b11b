"""Plays all cases, policies and seeds of an experiment."""

import statistics
import typing

from limpetroute.bench import play
from limpetroute.border import experiment

Play = dict[str, typing.Any]


def plays(
    body: experiment.ExperimentBody, seeds: typing.Sequence[int]
) -> typing.Iterator[Play]:
    """Yield the figures of each play."""
    for case in body.cases:
        for policy in body.policies:
            for seed in seeds:
                yield play.play(body, case, policy, seed)


def summarize(found: typing.Sequence[Play]) -> list[Play]:
    """Return median, least and most of each figure by case and policy."""
    groups: dict[tuple[str, str], list[Play]] = {}
    for item in found:
        groups.setdefault((item['case'], item['policy']), []).append(item)
    rows = []
    for (case, policy), items in groups.items():
        row: Play = {'case': case, 'policy': policy, 'plays': len(items)}
        for name, value in items[0].items():
            if name in ('case', 'policy', 'seed', 'by_team'):
                continue
            if isinstance(value, dict):
                row[name] = _by_key(items, name)
                continue
            row[name] = _spread([item[name] for item in items])
        rows.append(row)
    return rows


def _by_key(items: typing.Sequence[Play], name: str) -> Play:
    keys = sorted({key for item in items for key in item[name]})
    return {
        key: _spread([item[name].get(key) for item in items]) for key in keys
    }


def _spread(values: list[float | None]) -> Play | None:
    known = [value for value in values if value is not None]
    if not known:
        return None
    return {
        'median': statistics.median(known),
        'least': min(known),
        'most': max(known),
    }

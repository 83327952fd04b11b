"""Runs all probes and prints figures and rows."""

import dataclasses
import importlib
import json
import typing

from rich import console as rich_console
from rich import table as rich_table

from limpetroute.bench.capacity import figure
from limpetroute.bench.capacity import goal as goal_module
from limpetroute.bench.capacity import import_probe
from limpetroute.bench.capacity import row
from limpetroute.bench.capacity import worksheet


def measure() -> tuple[list[figure.Figure], list[row.Row]]:
    """Run the probes and work the rows out."""
    figures = import_probe.ImportProbe().measure()
    # Imported late: they bring the modules whose memory was measured.
    later = importlib.import_module('limpetroute.bench.capacity.probes')
    for item in later.probes():
        figures += item.measure()
    sheet = worksheet.Worksheet(figures=figures, goal=goal_module.Goal())
    return figures, sheet.rows()


def as_json(
    figures: typing.Sequence[figure.Figure], rows: typing.Sequence[row.Row]
) -> str:
    """Return figures and rows as JSON."""
    body = {
        'figures': [dataclasses.asdict(item) for item in figures],
        'rows': [
            {**dataclasses.asdict(item), 'ratio': item.ratio} for item in rows
        ],
    }
    return json.dumps(body, indent=2)


def show(
    figures: typing.Sequence[figure.Figure], rows: typing.Sequence[row.Row]
) -> None:
    """Print two tables."""
    console = rich_console.Console()
    measured = rich_table.Table(title='measured here')
    for name in ('figure', 'value', 'unit', 'how'):
        measured.add_column(name)
    for item in figures:
        measured.add_row(item.name, f'{item.value:,.1f}', item.unit, item.how)
    console.print(measured)
    worked = rich_table.Table(title='worked out at goal size')
    for name in ('what', 'worked out', 'bound', 'unit', 'ratio', 'fits'):
        worked.add_column(name)
    for one in rows:
        worked.add_row(
            one.what,
            f'{one.worked_out:,.1f}',
            f'{one.bound:,.1f}',
            one.unit,
            f'{one.ratio:.2f}',
            'yes' if one.fits else 'NO',
        )
    console.print(worked)

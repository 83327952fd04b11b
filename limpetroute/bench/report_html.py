"""Writes the result of an experiment as one HTML file with plots."""

import base64
import html
import io
import typing

from limpetroute.bench import experiment_run

Rows = typing.Sequence[experiment_run.Play]

COLUMNS = (
    ('goodput_per_s', 'goodput/s'),
    ('bound_per_s', 'bound/s'),
    ('wasted_prefill', 'wasted prefill'),
    ('wrongly_admitted', 'wrongly admitted'),
    ('first_token_p50_s', 'first token p50 s'),
    ('first_token_p95_s', 'first token p95 s'),
    ('gap_p95_s', 'gap p95 s'),
    ('fairness', 'fairness'),
    ('light_teams_good', 'other teams good'),
    ('came_back_let_in', 'returned, let in'),
)
PLOTS = (
    ('goodput_per_s', 'requests on time a second'),
    ('first_token_p95_s', 'first token, 95th percentile, s'),
    ('gap_p95_s', 'time between tokens, 95th percentile, s'),
    ('wasted_prefill', 'share of prompt tokens thrown away'),
    ('fairness', "Jain's index between teams"),
)
PAGE = """<!doctype html><meta charset="utf-8"><title>{title}</title>
<style>body{{font-family:sans-serif;margin:2em}}td,th{{padding:.2em .6em;
text-align:right;border-bottom:1px solid #ccc}}td:first-child,
td:nth-child(2){{text-align:left}}table{{border-collapse:collapse}}</style>
<h1>{title}</h1><p>{note}</p><p>Median of {plays} plays, least and most in
brackets. All figures come from the bench's model on a virtual clock.</p>
{plots}{table}"""


def render(title: str, note: str, rows: Rows) -> str:
    """Return the page."""
    plays = max((row['plays'] for row in rows), default=0)
    return PAGE.format(
        title=html.escape(title),
        note=html.escape(note),
        plays=plays,
        plots=''.join(_plots(rows)),
        table=_table(rows),
    )


def _table(rows: Rows) -> str:
    heads = ''.join(f'<th>{label}</th>' for _, label in COLUMNS)
    lines = [f'<table><tr><th>case</th><th>policy</th>{heads}</tr>']
    for row in rows:
        cells = ''.join(f'<td>{_cell(row[name])}</td>' for name, _ in COLUMNS)
        lines.append(
            f'<tr><td>{html.escape(row["case"])}</td>'
            f'<td>{html.escape(row["policy"])}</td>{cells}</tr>'
        )
    lines.append('</table>')
    return '\n'.join(lines)


def _cell(value: typing.Any) -> str:
    if value is None:
        return '-'
    spread = f'{value["least"]:.3g}..{value["most"]:.3g}'
    return f'{value["median"]:.3g} <small>({spread})</small>'


def _plots(rows: Rows) -> typing.Iterator[str]:
    steps = [row for row in rows if row['case'].startswith('load ')]
    if not steps:
        return
    # Imported here: no daemon may pay for a plotting library.
    from matplotlib import figure

    for name, label in PLOTS:
        drawing = figure.Figure(figsize=(7, 4))
        axes = drawing.subplots()
        for policy in dict.fromkeys(row['policy'] for row in steps):
            points = [
                (row['load']['median'], row[name]['median'])
                for row in steps
                if row['policy'] == policy and row[name] is not None
            ]
            axes.plot(*zip(*points, strict=True), marker='o', label=policy)
        axes.set_xlabel('offered load, multiples of capacity')
        axes.set_ylabel(label)
        axes.legend()
        data = io.BytesIO()
        drawing.savefig(data, format='png', dpi=80)
        text = base64.b64encode(data.getvalue()).decode()
        alt = html.escape(label)
        yield f'<img alt="{alt}" src="data:image/png;base64,{text}">'

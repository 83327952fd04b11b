"""What callers get in the five patterns of load that users named."""

import pathlib

import pytest

from limpetroute.bench import play
from limpetroute.border import errors
from limpetroute.border import experiment
from limpetroute.cli import main

FOLDER = pathlib.Path(__file__).parents[2] / 'experiments'


def load(name):
    data = (FOLDER / f'{name}.json').read_bytes()
    return errors.parse(experiment.ExperimentBody, data)


def run(name, case_name, policy, **pattern):
    body = load(name)
    found = [case for case in body.cases if case.name == case_name]
    changed = found[0].pattern.model_copy(
        update={'duration_s': 30.0, **pattern}
    )
    case = found[0].model_copy(update={'pattern': changed})
    return play.play(body, case, policy, 1)


FEDERATION = 'federation-one-router'
KLEINGARTEN = 'kleingarten-one-router'


def test_same_seed_same_play():
    first, second = (run(FEDERATION, 'load 1', 'full') for _ in range(2))
    for name in ('wall_s', 'requests_per_wall_s', 'decision_us'):
        first.pop(name)
        second.pop(name)
    assert first == second


def test_saturation_does_not_collapse():
    # At three times capacity round robin serves everything too late.
    peak = run(FEDERATION, 'load 1', 'full')
    full = run(FEDERATION, 'load 3', 'full')
    base = run(FEDERATION, 'load 3', 'round_robin')
    assert full['goodput_per_s'] >= 0.95 * peak['goodput_per_s']
    assert full['goodput_per_s'] >= 2 * base['goodput_per_s']
    assert full['wasted_prefill'] <= 0.01


def test_burst_is_refused_at_once_and_over_soon():
    # Ten times the load for five seconds. Callers let in are served in
    # time; the rest are told at once.
    got = run(FEDERATION, 'burst x10', 'full', burst_at_s=10.0)
    assert got['wrongly_admitted'] <= 0.15
    assert got['giveup_to_answer_p99_s'] <= 0.01
    assert got['refused_at_once'] > 3 * got['given_up_later']


def test_heavy_team_costs_the_others_little():
    # One team sends fifty times the others' load. The others, alone,
    # would use less than half of the fleet.
    got = run(FEDERATION, 'heavy team', 'full')
    base = run(FEDERATION, 'heavy team', 'two_choices')
    assert got['light_teams_good'] >= 0.9
    assert base['light_teams_good'] < 0.7


def test_slow_runner_is_avoided():
    # One of two decode runners is five times slower than the other.
    got = run(KLEINGARTEN, 'slow decode', 'full')
    base = run(KLEINGARTEN, 'slow decode', 'two_choices')
    assert got['goodput_share'] > base['goodput_share'] + 0.05


def test_short_questions_among_dossiers():
    # Dossiers of thousands of tokens saturate both prefill runners.
    got = run(KLEINGARTEN, 'load 2', 'full')
    base = run(KLEINGARTEN, 'load 2', 'two_choices')
    assert got['by_class']['question'] >= 0.95
    assert got['by_class']['dossier'] >= 0.4
    assert base['by_class']['question'] < 0.7


def test_callers_that_return_as_told_are_let_in():
    got = run(FEDERATION, 'returns 2', 'full')
    base = run(FEDERATION, 'returns 2', 'two_choices')
    assert got['came_back'] > 20
    assert got['came_back_let_in'] >= 0.9
    assert base['came_back_let_in'] < 0.9


@pytest.mark.parametrize(
    'case', ['stalled 5%', 'cancel 20%', 'runner dies', 'lying decode']
)
def test_nothing_is_lost_under_faults(case):
    got = run(KLEINGARTEN, case, 'full')
    assert got['lost'] == 0
    assert got['goodput_share'] >= 0.6


@pytest.mark.parametrize(
    'path', sorted(FOLDER.glob('*.json')), ids=lambda path: path.stem
)
def test_experiments_are_valid(path):
    errors.parse(experiment.ExperimentBody, path.read_bytes())


def test_bench_command(tmp_path, capsys):
    page = tmp_path / 'report.html'
    code = main.main(
        [
            'bench',
            'run',
            str(FOLDER / 'federation.json'),
            '--seeds=1',
            '--cases=load 0.5',
            '--policies=full',
            f'--html={page}',
            f'--json={tmp_path / "r.json"}',
        ]
    )
    assert code == 0
    assert 'load 0.5' in capsys.readouterr().out
    assert '<img' in page.read_text()


@pytest.mark.parametrize(
    'option', ['--seeds=9', '--cases=none', '--policies=best']
)
def test_wrong_option_names_itself(option, capsys):
    code = main.main(['bench', 'run', str(FOLDER / 'federation.json'), option])
    assert code == 2
    assert option.partition('=')[2] in capsys.readouterr().err

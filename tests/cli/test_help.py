import pytest

import limpetroute
from limpetroute.cli import main
from tests.cli import commands


@pytest.mark.parametrize('name', main.COMMANDS)
def test_each_command_has_help_with_an_example(capsys, name):
    with pytest.raises(SystemExit) as exit_info:
        main.main([name, '--help'])
    assert not exit_info.value.code
    output = capsys.readouterr().out
    assert f'limpetroute {name}' in output.partition('Example')[2]


@pytest.mark.parametrize(
    'argv', [[], ['nothing'], ['entry'], ['status', '--nothing']]
)
def test_wrong_usage_exits_with_2(argv):
    assert main.main(argv) == 2


def test_version():
    code, out, _ = commands.run('--version')
    assert (code, out) == (0, f'limpetroute {limpetroute.__version__}\n')

from limpetroute.routing import recent_samples

FAST = 27_000.0
GUESS = 25_000.0


def middle(*values):
    samples = recent_samples.RecentSamples(GUESS)
    for one in values:
        samples.note(one)
    return samples.quantile(0.5)


# Guards against the first samples after a start, which may all be taken under
# unusual conditions.
def test_a_few_samples_leave_the_initial_guess():
    assert middle(FAST * 3, FAST * 3, FAST * 3) == GUESS


# Guards against a busy period that makes a runner seem slow, so that it is
# given fewer and fewer prompts.
def test_a_few_slow_samples_do_not_move_the_median():
    assert middle(*[FAST] * 10, *[FAST / 5] * 6) == FAST


def test_a_lasting_change_moves_the_median():
    assert middle(*[FAST] * 16, *[FAST / 2] * 9) == FAST / 2

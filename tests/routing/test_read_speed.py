from limpetroute.routing import read_speed

FAST = 27_000.0


def noted(*speeds):
    speed = read_speed.ReadSpeed()
    for one in speeds:
        speed.note(one)
    return speed.tokens_per_s


def test_a_few_prompts_say_nothing():
    assert noted(FAST, FAST) is None


# Guards against a busy moment that makes a runner seem slow, whereupon it
# is left less and less to read.
def test_prompts_that_waited_at_the_runner_do_not_make_it_slow():
    assert noted(*[FAST] * 6, *[FAST / 5] * 10) == FAST


# Guards against a single prompt that was in the cache after all.
def test_one_prompt_that_took_no_time_does_not_make_it_fast():
    assert noted(FAST * 50, *[FAST] * 6) == FAST


def test_a_runner_that_turned_slow_is_found_to_be():
    assert noted(*[FAST] * 16, *[FAST / 2] * 14) == FAST / 2

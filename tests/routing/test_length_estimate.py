"""What callers say of the length of their answers, and what comes."""

import math
import random

from limpetroute.routing import length_estimate

MOST = 9620


def learned(rng, *, answers, off):
    estimate = length_estimate.LengthEstimate()
    for _ in range(answers):
        came = min(MOST, 4800 * math.exp(rng.gauss(0, 0.5)))
        said = min(MOST, came * math.exp(rng.gauss(0, off)))
        estimate.learn(said_tokens=round(said), came_tokens=round(came))
    return estimate


def error(rng, estimate, *, off):
    """Return the mean error of the logarithm, corrected and as said."""
    corrected = 0.0
    as_said = 0.0
    for _ in range(500):
        came = min(MOST, 4800 * math.exp(rng.gauss(0, 0.5)))
        said = min(MOST, came * math.exp(rng.gauss(0, off)))
        got = estimate.tokens(said_tokens=round(said), most_tokens=MOST)
        corrected += abs(math.log(got / came)) / 500
        as_said += abs(math.log(said / came)) / 500
    return corrected, as_said


def test_estimates_that_are_far_off_are_corrected():
    """Estimates are off by half; a runner is planned full by them.

    Answers outgrow their plan, and the newest stream is pushed out in
    the middle of its answer.
    """
    rng = random.Random(5)
    estimate = learned(rng, answers=200, off=0.5)
    corrected, as_said = error(rng, estimate, off=0.5)
    assert corrected < 0.85 * as_said


def test_estimates_that_are_right_stay_as_they_are():
    rng = random.Random(6)
    estimate = learned(rng, answers=400, off=0.02)
    corrected, _ = error(rng, estimate, off=0.02)
    assert corrected < 0.1


def test_before_anything_is_known_an_estimate_is_believed():
    estimate = length_estimate.LengthEstimate()
    assert estimate.tokens(said_tokens=500, most_tokens=MOST) == 500
    estimate.learn(said_tokens=0, came_tokens=70)
    assert estimate.tokens(said_tokens=500, most_tokens=MOST) == 500


def test_no_answer_is_expected_beyond_its_bound():
    rng = random.Random(7)
    estimate = learned(rng, answers=100, off=0.5)
    assert estimate.tokens(said_tokens=9000, most_tokens=400) == 400


def test_equal_estimates_say_nothing_and_break_nothing():
    """Callers that give none are taken to say the most, all alike."""
    estimate = length_estimate.LengthEstimate()
    for _ in range(200):
        estimate.learn(said_tokens=MOST, came_tokens=4000)
    got = estimate.tokens(said_tokens=MOST, most_tokens=MOST)
    assert 3800 < got < 5200

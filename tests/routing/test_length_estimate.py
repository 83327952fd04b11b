"""What callers say of the length of their answers, and what comes."""

import math
import random

from limpetroute.routing import length_estimate

MOST = 9620


def learned(rng, *, answers, sigma):
    estimate = length_estimate.LengthEstimate()
    for _ in range(answers):
        actual = min(MOST, 4800 * math.exp(rng.gauss(0, 0.5)))
        estimated = min(MOST, actual * math.exp(rng.gauss(0, sigma)))
        estimate.learn(
            estimated_tokens=round(estimated), actual_tokens=round(actual)
        )
    return estimate


def error(rng, estimate, *, sigma):
    """Return the mean error of the logarithm, corrected and as said."""
    corrected = 0.0
    uncorrected = 0.0
    for _ in range(500):
        actual = min(MOST, 4800 * math.exp(rng.gauss(0, 0.5)))
        estimated = min(MOST, actual * math.exp(rng.gauss(0, sigma)))
        got = estimate.tokens(
            estimated_tokens=round(estimated), most_tokens=MOST
        )
        corrected += abs(math.log(got / actual)) / 500
        uncorrected += abs(math.log(estimated / actual)) / 500
    return corrected, uncorrected


def test_estimates_that_are_far_off_are_corrected():
    """Estimates are off by half; a runner is planned full by them.

    Answers outgrow their plan, and the newest stream is pushed out in
    the middle of its answer.
    """
    rng = random.Random(5)
    estimate = learned(rng, answers=200, sigma=0.5)
    corrected, uncorrected = error(rng, estimate, sigma=0.5)
    assert corrected < 0.85 * uncorrected


def test_estimates_that_are_right_stay_as_they_are():
    rng = random.Random(6)
    estimate = learned(rng, answers=400, sigma=0.02)
    corrected, _ = error(rng, estimate, sigma=0.02)
    assert corrected < 0.1


def test_before_anything_is_known_an_estimate_is_believed():
    estimate = length_estimate.LengthEstimate()
    assert estimate.tokens(estimated_tokens=500, most_tokens=MOST) == 500
    estimate.learn(estimated_tokens=0, actual_tokens=70)
    assert estimate.tokens(estimated_tokens=500, most_tokens=MOST) == 500


def test_no_answer_is_expected_beyond_its_bound():
    rng = random.Random(7)
    estimate = learned(rng, answers=100, sigma=0.5)
    assert estimate.tokens(estimated_tokens=9000, most_tokens=400) == 400


def test_equal_estimates_say_nothing_and_break_nothing():
    """Callers that give none are taken to say the most, all alike."""
    estimate = length_estimate.LengthEstimate()
    for _ in range(200):
        estimate.learn(estimated_tokens=MOST, actual_tokens=4000)
    got = estimate.tokens(estimated_tokens=MOST, most_tokens=MOST)
    assert 3800 < got < 5200

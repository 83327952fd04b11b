"""Callers' estimates of the length of their answers, and their correction."""

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
    """Return the mean log error of the corrected and the raw estimates."""
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
    """Estimates are off by half, and a runner's plan is filled with them.

    Answers outgrow their plan, and the newest stream is preempted in the
    middle of its answer.
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


def test_estimates_are_used_unchanged_before_any_answer():
    estimate = length_estimate.LengthEstimate()
    assert estimate.tokens(estimated_tokens=500, most_tokens=MOST) == 500
    estimate.learn(estimated_tokens=0, actual_tokens=70)
    assert estimate.tokens(estimated_tokens=500, most_tokens=MOST) == 500


def test_no_answer_is_expected_beyond_its_bound():
    rng = random.Random(7)
    estimate = learned(rng, answers=100, sigma=0.5)
    assert estimate.tokens(estimated_tokens=9000, most_tokens=400) == 400


def test_identical_estimates_still_give_the_mean_length():
    """Callers that give no estimate count with the maximum, all alike."""
    estimate = length_estimate.LengthEstimate()
    for _ in range(200):
        estimate.learn(estimated_tokens=MOST, actual_tokens=4000)
    got = estimate.tokens(estimated_tokens=MOST, most_tokens=MOST)
    assert 3800 < got < 5200

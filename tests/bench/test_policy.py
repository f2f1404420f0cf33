"""The comparison of routing policies, in short runs."""

import argparse
import dataclasses

from bench.policy.bench import add_arguments, run, table


def report(*options):
    parser = argparse.ArgumentParser()
    add_arguments(parser)
    return run(parser.parse_args(["--length-s", "120", "--seeds", "2", *options]))


def test_same_seed_gives_the_same_report_and_every_bound_is_judged():
    options = ("--regime", "bad-version", "--policy", "knapweedhinge")
    first, second = report(*options), report(*options)
    plain = dataclasses.replace(first, decision_costs=())
    assert plain == dataclasses.replace(second, decision_costs=())
    assert len(first.bounds) == 7  # all that a regime with a degrading version has
    assert "bad-version" in table(first)


def test_baselines_run_beside_ours():
    result = report("--regime", "calm", "--profile", "binh-minh")
    # The router's own policy and six baselines.
    assert len({policy_report.policy for policy_report in result.policies}) == 7

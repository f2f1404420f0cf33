"""Run all balance measurements: ``python -m bench.balance [--json FILE]``."""

import argparse
import json
import sys
from dataclasses import asdict
from statistics import mean

from bench.balance.decisions import ENDPOINT_COUNTS, measure_decisions
from bench.balance.fairness import FairnessCase, run_fairness
from bench.balance.lag import LagCase, run_lag

# Load of each small organisation, as a share of capacity.
SMALL_SHARES = (0.02, 0.06, 0.09, 0.11)

# Age of load reports when they reach a node.
REPORT_LAGS_S = (0.5, 5.0)


def fairness_rows(seeds: int) -> list[dict]:
    """Return capacity shares at 120% load, a row for each rule and small share.

    Rows with ``fair`` set are of fair admission, the others of one common queue that is
    served in order of arrival.
    """
    rows = []
    for fair in (True, False):
        for share in SMALL_SHARES:
            case = FairnessCase(small_share=share, fair=fair)
            results = [run_fairness(case, seed) for seed in range(seeds)]
            rows.append(
                {
                    "fair": fair,
                    "small_share": share,
                    "seeds": seeds,
                    "worst_small": min(r.worst_small for r in results),
                    "mean_worst_small": mean(r.worst_small for r in results),
                    "mean_large": mean(r.large for r in results),
                    "mean_utilisation": mean(r.utilisation for r in results),
                    "late": sum(r.late for r in results),
                    "mean_refused": mean(r.refused for r in results),
                }
            )
    return rows


def lag_rows(seeds: int) -> list[dict]:
    """Return waiting times, a row for each report lag and balancing rule."""
    rows = []
    for lag_s in REPORT_LAGS_S:
        for rule in ("corrected", "uncorrected", "round-robin", "random"):
            case = LagCase(rule=rule, lag_s=lag_s)
            results = [run_lag(case, seed) for seed in range(seeds)]
            rows.append(
                {
                    "rule": rule,
                    "lag_s": lag_s,
                    "seeds": seeds,
                    "mean_s": mean(r.mean_s for r in results),
                    "p95_s": mean(r.p95_s for r in results),
                    "p99_s": mean(r.p99_s for r in results),
                    "cached_share": mean(r.cached_share for r in results),
                }
            )
    return rows


def decision_rows() -> list[dict]:
    """Return the CPU costs of one decision, a row for each number of endpoints."""
    return [asdict(cost) for cost in map(measure_decisions, ENDPOINT_COUNTS)]


def _print(title: str, rows: list[dict]) -> None:
    print(title)
    print("  ".join(f"{name:>16}" for name in rows[0]))
    for row in rows:
        print("  ".join(f"{_text(value):>16}" for value in row.values()))


def _text(value) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def main(arguments: list[str]) -> int:
    """Run all measurements, print or write them and return the exit status."""
    parser = argparse.ArgumentParser(prog="bench.balance", description=__doc__)
    parser.add_argument("--seeds", type=int, default=20, help="runs of each case")
    parser.add_argument("--json", metavar="FILE", help="write results; - for stdout")
    options = parser.parse_args(arguments)
    results = {
        "decisions": decision_rows(),
        "fairness": fairness_rows(options.seeds),
        "lag": lag_rows(options.seeds),
    }
    if options.json == "-":
        print(json.dumps(results, indent=2))
        return 0
    for title, rows in results.items():
        _print(title, rows)
    if options.json:
        with open(options.json, "w") as file:
            json.dump(results, file, indent=2)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

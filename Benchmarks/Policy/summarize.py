"""Prints a table of the benchmark's JSON lines: p99 as multiples of one shared queue, means over seeds."""
import json
import sys
from collections import defaultdict
from statistics import mean

runs = [json.loads(line) for line in sys.stdin if line.startswith("{")]
groups = defaultdict(list)
for run in runs:
    groups[run["user"], run["draws"], run["scenario"], run["load"], run["policy"]].append(run)


def figure(key, field):
    return mean(run[field] for run in groups[key]) if key in groups else 0.0


print(f"{'user':8} {'draws':7} {'scenario':16} {'load':>4} {'policy':13} {'p50':>7} {'p99':>8} {'p99.9':>8} "
      f"{'ratio':>6} {'goodput':>7} {'att':>6} {'probes':>6} {'over':>4} {'wrong':>5}")
for key in groups:
    user, draws, scenario, load, policy = key
    # Faults are compared with the shared queue without the fault.
    limit = figure((user, draws, "steady", load, "shared-queue"), "p99_ms")
    limit = figure((user, draws, scenario, load, "shared-queue"), "p99_ms") or limit
    ratio = figure(key, "p99_ms") / limit if limit else 0.0
    print(f"{user:8} {draws:7} {scenario:16} {load:4} {policy:13} {figure(key, 'p50_ms'):7.2f} "
          f"{figure(key, 'p99_ms'):8.2f} {figure(key, 'p999_ms'):8.2f} {ratio:6.3f} "
          f"{figure(key, 'goodput'):7.4f} {figure(key, 'attempts_per_call'):6.4f} "
          f"{figure(key, 'probes_per_s'):6.2f} {sum(run['budget_violations'] for run in groups[key]):4} "
          f"{sum(run['wrong_outcomes'] for run in groups[key]):5}")

#!/usr/bin/env python3
"""Writes or checks the table of measurements in docs/CAPACITY.md.

The table is generated from docs/measurements/bench.jsonl, the output of
`make bench`.
  scripts/capacity_table.py --write   replaces the table in the page
  scripts/capacity_table.py --check   fails when the table differs from the
                                      measurements, or when the page names a
                                      command that does not exist
"""

import argparse
import json
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
DATA = ROOT / "docs" / "measurements" / "bench.jsonl"
BEGIN, END = "<!-- measured: begin -->\n", "<!-- measured: end -->\n"
MEMBERS = 3500


def load():
    with open(DATA, encoding="utf-8") as file:
        return [json.loads(line) for line in file if line.startswith("{")]


def select(lines, **fields):
    return [one for one in lines
            if all(one.get(key) == value for key, value in fields.items())]


def slope(points):
    """Returns slope and intercept of a least-squares fit to (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    numerator = sum((x - mean_x) * (y - mean_y) for x, y in points)
    denominator = sum((x - mean_x) ** 2 for x, _ in points)
    return numerator / denominator, mean_y - mean_x * numerator / denominator


def reducer_rows(lines):
    for one in select(lines, scenario="cost"):
        ns, allocations = one["ns_per_leaf_request"], one[
            "allocations_per_leaf_request"]
        yield (f"reducer, {one['leafs_per_query']} leafs a query",
               f"{ns['median']:.0f} ns, {allocations['median']:.1f} allocations "
               "a leaf request",
               f"worst {ns['worst']:.0f} ns",
               "`build/release/bin/decisions_bench -s cost`")


def path_rows(lines):
    for one in select(lines, bench="path"):
        yield (f"one host, 15 leafs a query, {one['client_threads']} clients, "
               f"leaf time {one['leaf_service_us']} µs",
               f"{one['queries_per_s']:.0f} queries/s, p50 "
               f"{one['p50_us'] / 1000:.1f} ms",
               f"p99 {one['p99_us'] / 1000:.1f} ms",
               "`bench/process_bench.py`")


def fleet_rows(lines):
    for one in select(lines, bench="spread"):
        yield (f"change of revision on all of {one['members']}, 5% loss",
               f"{one['revision_median_rounds']} rounds, "
               f"{one['revision_median_s']:.2f} s",
               f"worst of {one['seeds']} seeds {one['revision_worst_s']:.2f} s",
               "`build/release/bin/fleet_bench`")
    for one in select(lines, bench="large_table"):
        yield (f"member of {one['members']}, 0.4 updates/s",
               f"{one['bytes_sent_per_s'] / 1000:.1f} KB/s sent, "
               f"{one['cpu_ns_per_s'] / 1e6:.2f} ms CPU a second",
               f"state {one['state_bytes'] / 1e6:.2f} MB",
               "`build/release/bin/fleet_bench`")


def process_rows(lines):
    costs = select(lines, bench="process_cost")
    for one in costs:
        yield (f"idle process, {one['members']} hosts",
               f"{one['cpu_percent_median']}% of a core, "
               f"{one['resident_mb_median']} MB, "
               f"{one['control_bytes_per_s_median'] / 1000:.2f} KB/s, "
               f"{one['platform_calls_per_s']} platform calls/s of all",
               f"worst {one['cpu_percent_worst']}%, "
               f"{one['resident_mb_worst']} MB, "
               f"{one['control_bytes_per_s_worst'] / 1000:.2f} KB/s",
               "`bench/process_bench.py`")
    if len(costs) > 1:
        for name, unit, scale in (("resident_mb_median", "MB", 1),
                                  ("control_bytes_per_s_median", "KB/s", 1000)):
            per_host, base = slope([(c["members"], c[name]) for c in costs])
            yield (f"straight line through these to {MEMBERS} hosts",
                   f"{(base + per_host * MEMBERS) / scale:.1f} {unit}",
                   f"slope {per_host * 1000 / scale:.2f} {unit} per 1,000 hosts",
                   "this script")
    for one in select(lines, bench="process_spread"):
        yield (f"published revision on all of {one['members']} processes, "
               f"{one['restarted']} restarted",
               f"median {one['median_s']} s",
               f"worst of {one['rounds']} {one['worst_s']} s",
               "`bench/process_bench.py`")


def table():
    lines = load()
    rows = ["| measured | figure | spread | command |", "|---|---|---|---|"]
    for source in (reducer_rows, path_rows, fleet_rows, process_rows):
        rows += ["| " + " | ".join(row) + " |" for row in source(lines)]
    return "\n".join(rows) + "\n"


def replace(page):
    begin, end = page.index(BEGIN) + len(BEGIN), page.index(END)
    return page[:begin] + table() + page[end:]


def missing_commands(page):
    """Yields the commands in the page that the repository does not provide."""
    targets = (ROOT / "bench" / "CMakeLists.txt").read_text(encoding="utf-8")
    for name in sorted(set(re.findall(r"build/release/bin/(\w+)", page))):
        if f"add_executable({name}" not in targets:
            yield f"build/release/bin/{name}"
    for name in sorted(set(re.findall(r"\b((?:bench|scripts)/\w+\.\w+)", page))):
        if not (ROOT / name).exists():
            yield name
    makefile = (ROOT / "Makefile").read_text(encoding="utf-8")
    for name in sorted(set(re.findall(r"`make ([\w-]+)`", page))):
        if not re.search(rf"^{name}:", makefile, re.MULTILINE):
            yield f"make {name}"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    mode = parser.add_mutually_exclusive_group(required=True)
    mode.add_argument("--write", action="store_true")
    mode.add_argument("--check", action="store_true")
    options = parser.parse_args()
    page = PAGE.read_text(encoding="utf-8")
    updated = replace(page)
    if options.write:
        PAGE.write_text(updated, encoding="utf-8")
        return
    failures = [f"{PAGE.name}: no such command: {name}"
                for name in missing_commands(page)]
    if updated != page:
        failures.append(f"{PAGE.name}: the measured table differs from "
                        f"{DATA.name}; run scripts/capacity_table.py --write")
    for failure in failures:
        print(failure, file=sys.stderr)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()

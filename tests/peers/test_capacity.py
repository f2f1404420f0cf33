"""The capacity page and the fits that its figures are computed from."""

from dataclasses import replace

import pytest

from bench.capacity.figures import Figure, FigureSource, kilobytes, percent
from bench.capacity.page import render
from bench.capacity.roles import roles
from bench.capacity.units import PathReport, PolicyReport, units
from bench.control.fit import fit_line, fit_plane
from bench.control.inprocess import InProcessReport
from bench.control.measure import SizeReport
from bench.control.report import Report
from bench.control.windows import Scope, Window

CAUSES = ("node", "call", "kilobyte")


def window(name, scope, nodes, events_per_s):
    busy = 1.0 + events_per_s
    return Window(
        name=name,
        scope=scope,
        nodes=nodes,
        regions=1,
        seconds=10.0,
        cpu_s=0.01 * busy,
        calls={"push": 6.0 * busy},
        call_bytes={"push": 3_000.0 * busy},
        topic_bytes={"domain-beacon": 600.0, "region-beacon": 200.0},
        links=4.0,
        events_per_s=events_per_s,
    )


def report():
    names = (("idle", 0.0), ("changes", 5.0), ("entries", 40.0), ("restarts", 0.5))
    windows = tuple(
        window(name, scope, 6, events) for name, events in names for scope in Scope
    )
    size = SizeReport(
        nodes=6,
        regions=1,
        failure_domains=3,
        processes=3,
        rss_bytes_per_process=5e7,
        rss_bytes_per_node=3e7,
        stored_bytes=1e4,
        windows=windows,
        join_s=(0.1,),
        change_to_last_s=(0.02, 0.03),
        frozen_known_dead_s=2.0,
        frozen_back_s=0.1,
        killed_known_dead_s=1.5,
        call_s=0.001,
        poll_cpu_s=0.0005,
    )
    pure = tuple(
        InProcessReport(n, 1, 3, 1e-3, 1e-4, 1e-5, 700.0, 5.0, 6, 0) for n in (48, 950)
    )
    line = fit_line("idle CPU", "nodes", "core", [3, 6, 12], [1.0, 2.0, 4.0])
    plane = fit_plane("CPU", "s", CAUSES, [(1, 1, 1), (1, 2, 0)], [0.01, 0.012])
    return Report(10.0, (size, replace(size, regions=4)), pure, (line,), plane)


def test_the_page_marks_figures_and_says_what_was_not_measured():
    found = report()
    costs = units(found)
    page = render(found, costs, roles(costs, PathReport(), PolicyReport()))
    assert "had **6 nodes**" in " ".join(page.split())
    assert "not measured" in page
    assert "times the budget" in page
    assert all(f"({kind.value})" in page for kind in FigureSource)


def test_figures_of_the_path_bench_are_used():
    costs = units(report())
    path = PathReport(cpu_s_per_request=0.001, cpu_s_per_1k_tokens=0.01)
    entry = next(r for r in roles(costs, path, PolicyReport()) if "entry" in r.name)
    requests, tokens = 54_000 / 950, 13_000_000 / 950
    expected = 0.001 * requests + 0.01 * tokens / 1000
    assert entry.load.cpu_s.value == pytest.approx(expected)


@pytest.mark.parametrize(
    ("shown", "text"),
    [
        (percent(Figure(0.0123)), "1.23% (d)"),
        (kilobytes(Figure(1500, FigureSource.MEASURED)), "1.5 KB (m)"),
        (kilobytes(Figure(None)), "not measured"),
        (Figure(2, FigureSource.ASSUMED).show("{:.0f}", "B"), "2 B (a)"),
    ],
)
def test_how_figures_are_shown(shown, text):
    assert shown == text


def test_a_line_through_points_on_it_has_no_residual():
    line = fit_line("x", "nodes", "s", [1, 2, 3], [3.0, 5.0, 7.0])
    assert (line.intercept, line.slope) == pytest.approx((1.0, 2.0))
    assert line.residual == pytest.approx(0.0, abs=1e-9)
    assert fit_line("x", "nodes", "s", [1], [3.0]).residual is None


def test_no_cause_has_a_negative_cost():
    rows = [(1, 1, 0), (1, 2, 0), (1, 3, 1), (1, 4, 2)]
    plane = fit_plane("CPU", "s", CAUSES, rows, [4.0, 3.0, 2.0, 1.0])
    assert min(plane.slopes) >= 0.0

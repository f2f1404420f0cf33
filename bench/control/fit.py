"""Least-squares fits of measurements, with their residuals."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True)
class Line:
    """A least-squares line of a figure over ``x``.

    ``residual`` is the root mean square of the distances from the line, None if there
    were too few points for a line.
    """

    name: str
    x: str
    unit: str
    intercept: float
    slope: float
    residual: float | None
    points: int


@dataclass(frozen=True)
class Plane:
    """A least-squares model of several causes, with non-negative slopes."""

    name: str
    unit: str
    causes: tuple[str, ...]
    slopes: tuple[float, ...]
    residual: float
    points: int


def fit_line(
    name: str, x: str, unit: str, xs: Sequence[float], ys: Sequence[float]
) -> Line:
    """Return the least-squares line of ``ys`` over ``xs``.

    Points with a ``y`` that isn't finite are left out. With fewer than two different
    ``xs`` the line is flat, at the mean of the points.
    """
    usable = [(a, b) for a, b in zip(xs, ys, strict=True) if np.isfinite(b)]
    if len({a for a, _ in usable}) < 2:
        mean = float(np.mean([b for _, b in usable])) if usable else float("nan")
        return Line(name, x, unit, mean, 0.0, None, len(usable))
    a, b = np.array(usable).T
    slope, intercept = np.polyfit(a, b, 1)
    residual = float(np.sqrt(np.mean((b - (intercept + slope * a)) ** 2)))
    return Line(name, x, unit, float(intercept), float(slope), residual, len(usable))


def fit_plane(
    name: str,
    unit: str,
    causes: tuple[str, ...],
    rows: Sequence[Sequence[float]],
    ys: Sequence[float],
) -> Plane:
    """Return the model ``y = sum(slope * cause)`` of rows with a value for each cause.

    Causes whose slope would be negative are removed, the most negative first, and have
    slope 0 in the result.
    """
    matrix, values = np.array(rows, dtype=float), np.array(ys, dtype=float)
    used = list(range(len(causes)))
    while True:
        found, *_ = np.linalg.lstsq(matrix[:, used], values, rcond=None)
        if not used or (found >= 0).all():
            break
        used.pop(int(np.argmin(found)))
    slopes = np.zeros(len(causes))
    slopes[used] = found
    residual = float(np.sqrt(np.mean((values - matrix @ slopes) ** 2)))
    return Plane(name, unit, causes, tuple(map(float, slopes)), residual, len(values))

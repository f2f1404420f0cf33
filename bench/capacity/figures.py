"""Figures of the page, each marked as measured, derived or assumed."""

import math
from dataclasses import dataclass
from enum import StrEnum


class FigureSource(StrEnum):
    """The source of a figure; the value is its mark on the page."""

    MEASURED = "m"
    DERIVED = "d"
    ASSUMED = "a"


@dataclass(frozen=True)
class Figure:
    """A value with its source; the value is None if it was not measured."""

    value: float | None
    source: FigureSource = FigureSource.DERIVED

    def show(self, form: str = "{:.3g}", unit: str = "") -> str:
        """Return the figure as text with its unit and the mark of its source.

        ``form`` is the format string for the value.
        """
        if self.value is None or not math.isfinite(self.value):
            return "not measured"
        space = " " if unit and unit != "%" else ""
        return f"{form.format(self.value)}{space}{unit} ({self.source.value})"


def measured(value: float | None) -> Figure:
    """Return a figure that a run has measured."""
    return Figure(value, FigureSource.MEASURED)


def derived(value: float | None) -> Figure:
    """Return a figure computed from measured and assumed ones."""
    return Figure(value, FigureSource.DERIVED)


def assumed(value: float) -> Figure:
    """Return a figure that is assumed without a measurement."""
    return Figure(value, FigureSource.ASSUMED)


def percent(figure: Figure) -> str:
    """Return a share, such as of a core, as text in percent."""
    scaled = None if figure.value is None else 100 * figure.value
    return Figure(scaled, figure.source).show("{:.2f}", "%")


def kilobytes(figure: Figure) -> str:
    """Return bytes as text in kilobytes of 1,000 bytes."""
    scaled = None if figure.value is None else figure.value / 1000
    return Figure(scaled, figure.source).show("{:.1f}", "KB")


def megabytes(figure: Figure) -> str:
    """Return bytes as text in megabytes of 1,024 * 1,024 bytes."""
    scaled = None if figure.value is None else figure.value / 1024 / 1024
    return Figure(scaled, figure.source).show("{:.0f}", "MB")

"""Measure single attempts, so that a new release can be compared with the old one."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.placement import version_of
from knapweedhinge.routing.releaseverdict import (
    AnswerStats,
    CallKind,
    LogTimes,
    is_overloaded,
    load_band,
    log_times,
    mean_piece_interval_s,
)

if TYPE_CHECKING:
    from knapweedhinge.filters.relay.run import CallExecution


@dataclass(frozen=True, slots=True)
class AttemptExpectation:
    """What was expected of an attempt when it began, all in seconds.

    ``found_work_s`` is the outstanding work at its endpoint before, ``decode_s`` the
    work of the attempt after its first piece.
    """

    started_at: float
    found_work_s: float
    decode_s: float


class AttemptObservation:
    """Record the timing and the outcome of one attempt for its release.

    One of the ``record_`` methods is called when the attempt ends, none if it failed
    without running. A piece is what arrives of the body at once: one or more events of
    a stream, or a whole body. Create the object before the attempt is counted as work
    at its endpoint, since the work found there decides which calls it is compared with.
    ``started_at`` and ``now`` are seconds on the node's monotonic clock;
    ``first_piece_s`` counts from ``started_at``.
    """

    def __init__(
        self, execution: "CallExecution", endpoint: EndpointView, started_at: float
    ):
        self.pieces = 0
        self.first_piece_s: float | None = None
        self._started_at = started_at
        self._last_piece_s = 0.0
        self._endpoint_work_s = execution.ctx.loads.work_s(endpoint.id)
        self._was_cold = execution.ctx.fleet.is_cold(endpoint.id, started_at)
        # Repeated attempts don't count as answers or failures: some calls fail wherever
        # they run, which says nothing about the release.
        self._is_first = not execution.attempts
        self._releases = execution.ctx.releases
        self._service, self._version = execution.req.service, version_of(endpoint)
        band = load_band(self._endpoint_work_s)
        self._kind = CallKind(execution.req.route.name, execution.chosen_model, band)

    def piece_arrived(self, now: float) -> None:
        """Record that a piece of the body arrived at the time ``now``."""
        self.pieces += 1
        self._last_piece_s = now - self._started_at
        if self.first_piece_s is None:
            self.first_piece_s = self._last_piece_s

    @property
    def found_work_s(self) -> float:
        """Return the outstanding work that was at the endpoint before, in seconds."""
        return self._endpoint_work_s

    def record_success(self, first_piece_s: float | None) -> None:
        """Report a successful answer and the seconds to its first piece.

        ``first_piece_s`` is None if that time isn't comparable with other calls.
        """
        timed = None if self._was_cold else first_piece_s
        self._report(
            AnswerStats(
                1,
                first_piece_times=log_times(timed),
                piece_intervals=self._piece_intervals(),
            )
        )

    def record_failure(self) -> None:
        """Report a failed attempt."""
        self._report(AnswerStats(1, bad=1, piece_intervals=self._piece_intervals()))

    def record_timeout(self) -> None:
        """Report an attempt that ended by a timeout.

        It isn't counted at an overloaded endpoint, where the delay comes from other
        calls.
        """
        answers = int(not is_overloaded(self._kind))
        self._report(
            AnswerStats(
                answers, silent=answers, piece_intervals=self._piece_intervals()
            )
        )

    def record_abandoned(self) -> None:
        """Report an answer whose end nobody waited for.

        Only the time between its pieces counts.
        """
        self._report(AnswerStats(piece_intervals=self._piece_intervals()))

    def log_fields(self) -> dict[str, int | None]:
        """Return the attempt's log fields; times are in milliseconds."""
        first_piece_s = self.first_piece_s
        return {
            "work_ms": round(self._endpoint_work_s * 1000),
            "first_ms": None if first_piece_s is None else round(first_piece_s * 1000),
            "pieces": self.pieces,
        }

    def _piece_intervals(self) -> LogTimes:
        """Return the mean time between pieces, empty for a cold endpoint.

        A cold endpoint is slow at first, whichever release it runs.
        """
        if self.first_piece_s is None or self._was_cold:
            return LogTimes()
        return log_times(
            mean_piece_interval_s(self.pieces, self._last_piece_s - self.first_piece_s)
        )

    def _report(self, stats: AnswerStats) -> None:
        if not self._is_first:
            stats = AnswerStats(
                first_piece_times=stats.first_piece_times,
                piece_intervals=stats.piece_intervals,
            )
        self._releases.answered(self._service, self._version, self._kind, stats)

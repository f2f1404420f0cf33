"""What one attempt tells of the release that answered it."""

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
    from knapweedhinge.filters.relay.run import RelayRun


class Evidence:
    """Times of one attempt's pieces, and how it ended; one ending is told.

    It is made before the attempt counts as work of its endpoint. Times are on the
    node's clock, in seconds.
    """

    def __init__(self, owner: "RelayRun", endpoint: EndpointView, began: float):
        self.pieces = 0
        self.first_s: float | None = None
        self._began = began
        self._last_s = 0.0
        self._met_work_s = owner.ctx.loads.work_s(endpoint.id)
        self._was_cold = owner.ctx.fleet.is_cold(endpoint.id, began)
        # A call that failed before tells more of itself: some fail wherever they run.
        self._is_first = not owner.attempts
        self._releases = owner.ctx.releases
        self._service, self._version = owner.req.service, version_of(endpoint)
        band = load_band(self._met_work_s)
        self._kind = CallKind(owner.req.route.name, owner.size, band)

    def piece(self, now: float) -> None:
        """Note that a piece arrived."""
        self.pieces += 1
        self._last_s = now - self._began
        if self.first_s is None:
            self.first_s = self._last_s

    def good(self, first_s: float | None) -> None:
        """Tell of a good answer; None for one whose time says nothing."""
        timed = None if self._was_cold else first_s
        self._tell(
            AnswerStats(
                1, first_piece_times=log_times(timed), piece_intervals=self._paces()
            )
        )

    def bad(self) -> None:
        """Tell of a failure."""
        self._tell(AnswerStats(1, bad=1, piece_intervals=self._paces()))

    def silent(self) -> None:
        """Tell of an endpoint that was given up, unless crowding explains it."""
        answers = int(not is_overloaded(self._kind))
        self._tell(AnswerStats(answers, silent=answers, piece_intervals=self._paces()))

    def left(self) -> None:
        """Tell of an answer that nobody waited for to its end."""
        self._tell(AnswerStats(piece_intervals=self._paces()))

    def logged(self) -> dict[str, int | None]:
        """Return what the log says of the attempt; times in milliseconds."""
        first_s = self.first_s
        return {
            "work_ms": round(self._met_work_s * 1000),
            "first_ms": None if first_s is None else round(first_s * 1000),
            "pieces": self.pieces,
        }

    def _paces(self) -> LogTimes:
        """Return the pace of the pieces; a cold endpoint's says nothing of others."""
        if self.first_s is None or self._was_cold:
            return LogTimes()
        return log_times(
            mean_piece_interval_s(self.pieces, self._last_s - self.first_s)
        )

    def _tell(self, tally: AnswerStats) -> None:
        if not self._is_first:
            tally = AnswerStats(
                first_piece_times=tally.first_piece_times,
                piece_intervals=tally.piece_intervals,
            )
        self._releases.answered(self._service, self._version, self._kind, tally)

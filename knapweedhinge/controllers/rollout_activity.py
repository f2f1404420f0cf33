"""Track when each running roll-out last received answers and ratings."""

from dataclasses import replace

from knapweedhinge.conf import Configuration, RollOut
from knapweedhinge.routing.rollouts import RollOutActivity
from knapweedhinge.routing.statistics import StatisticsView


class RollOutActivityTracker:
    """Record when the merged evidence of each running roll-out last grew.

    Counts of answers and ratings decay with time, so only an increase since the
    previous update shows that new ones arrived. A node that sees a roll-out for the
    first time treats it as started at that moment.
    """

    def __init__(self):
        self._activities: dict[str, RollOutActivity] = {}
        # Numbers of answers and ratings at the previous update, by roll-out id.
        self._previous_counts: dict[str, tuple[float, float]] = {}

    def update(self, cfg: Configuration, view: StatisticsView, now: float) -> None:
        """Compare the evidence of running roll-outs with that of the previous update.

        ``now`` is the node's monotonic clock in seconds.
        """
        running = [item for item in cfg.roll_outs if item.state == "running"]
        known = self._activities
        self._activities = {
            item.id: known.get(item.id, RollOutActivity(now)) for item in running
        }
        for roll_out in running:
            self._update_roll_out(cfg, roll_out, view, now)

    def of(self, roll_out: str) -> RollOutActivity:
        """Return the activity of a running roll-out; raise KeyError for others."""
        return self._activities[roll_out]

    def _update_roll_out(
        self, cfg: Configuration, roll_out: RollOut, view: StatisticsView, now: float
    ) -> None:
        evidence = [view.of(work.id, roll_out.version) for work in cfg.classes]
        answers = sum(item.answers for item in evidence)
        ratings = sum(item.rating.size for item in evidence)
        answers_before, ratings_before = self._previous_counts.get(
            roll_out.id, (0.0, 0.0)
        )
        self._previous_counts[roll_out.id] = (answers, ratings)
        activity = self._activities[roll_out.id]
        if answers > answers_before:
            activity = replace(activity, last_answer_at=now)
        if ratings > ratings_before:
            activity = replace(activity, last_rating_at=now)
        self._activities[roll_out.id] = activity

"""Track the health of endpoints from the calls sent to them (circuit breaking)."""

from collections.abc import Collection, Mapping
from dataclasses import replace

from loguru import logger

from knapweedhinge.controllers.fleetsums import REPORT_MAX_AGE_S
from knapweedhinge.routing.endpointhealth import (
    HEALTHY,
    MAX_PAUSE_S,
    Health,
    answered,
    failed,
    failure_share,
    is_paused,
)
from knapweedhinge.routing.fleetsums import FleetTable, Table, row_key

# Counts are reported in hundredths. Fewer failures than these aren't reported.
REPORT_UNIT = 100
MIN_REPORTED_FAILURES = 0.05
# Weight of the newest sample in the moving average of the time to the first piece.
FIRST_PIECE_WEIGHT = 0.05
# Largest number of endpoints with a tracked health. Beyond it the one tracked longest
# is dropped, so that endpoints that no longer exist can't fill the memory.
MAX_ENDPOINTS = 4096


class HealthTracker:
    """Track the health of endpoints by id, and the usual response time of calls.

    ``kind`` identifies calls of similar duration by their route and model. A piece is
    what arrives of an answer's body at once. ``now`` is in seconds on the node's
    monotonic clock.
    """

    def __init__(self):
        self.healths: dict[str, Health] = {}
        self._first_piece_s: dict[tuple, float] = {}
        self._served_at: dict[str, float] = {}
        # Share of failed calls over all nodes, by endpoint id, and when it was known.
        self._fleet_shares: dict[str, float] = {}
        self._fleet_at = float("-inf")

    def own_table(self, now: float) -> Table:
        """Return failed and ended calls of endpoints with failures, by their key.

        Both are decaying counts in hundredths.
        """
        table = {}
        for endpoint_id, health in self.healths.items():
            current = health.decayed(now)
            if current.failed >= MIN_REPORTED_FAILURES:
                table[row_key(endpoint_id)] = (
                    round(current.failed * REPORT_UNIT),
                    round(current.ended * REPORT_UNIT),
                )
        return table

    def take_fleet(
        self, table: FleetTable, endpoint_ids: Collection[str], now: float
    ) -> None:
        """Set the shares of failed calls from the sums of all nodes.

        Nodes report the endpoints only at which calls of theirs failed. An endpoint is
        taken to have at least the calls that endpoints have in the mean.
        """
        if table.is_estimate or not endpoint_ids:
            self._fleet_shares, self._fleet_at = {}, now
            return
        ended = sum(health.decayed(now).ended for health in self.healths.values())
        typical = ended * table.nodes / len(endpoint_ids)
        self._fleet_shares, self._fleet_at = {}, now
        for endpoint_id in endpoint_ids:
            key = row_key(endpoint_id)
            if key not in table.rows and key not in table.own:
                continue
            failed, ended = table.row(key, 2)
            if failed:
                self._fleet_shares[endpoint_id] = failure_share(
                    failed / REPORT_UNIT, max(ended / REPORT_UNIT, typical)
                )

    def fleet_failure_shares(self, now: float) -> Mapping[str, float]:
        """Return the share of failed calls over all nodes, by endpoint id.

        It is empty while no recent sums are known.
        """
        return self._fleet_shares if now - self._fleet_at <= REPORT_MAX_AGE_S else {}

    def typical_first_piece_s(self, kind: tuple, default: float) -> float:
        """Return the usual time to the first piece of an answer, in seconds.

        Return ``default`` when no call of this kind was answered yet.
        """
        return self._first_piece_s.get(kind, default)

    def served(self, endpoint_id: str, now: float) -> None:
        """Note that an endpoint sent a piece of an answer."""
        self._served_at[endpoint_id] = now

    def served_at(self, endpoint_id: str) -> float:
        """Return when an endpoint last sent a piece; minus infinity if never."""
        return self._served_at.get(endpoint_id, float("-inf"))

    def answered(
        self, endpoint_id: str, kind: tuple, seconds: float, now: float
    ) -> None:
        """Note a successful answer, whose first piece came after ``seconds``."""
        usual = self._first_piece_s.get(kind)
        ratio = seconds / usual if usual else None
        self._first_piece_s[kind] = (
            seconds if usual is None else usual + FIRST_PIECE_WEIGHT * (seconds - usual)
        )
        health = self.healths.get(endpoint_id, HEALTHY)
        self._set(endpoint_id, answered(health, ratio, now), now)

    def failed(self, endpoint_id: str, now: float, *, unreachable: bool) -> None:
        """Note a failed call; ``unreachable`` if no connection could be made."""
        health = self.healths.get(endpoint_id, HEALTHY)
        self._set(endpoint_id, failed(health, now, unreachable=unreachable), now)

    def crashed(self, endpoint_id: str, at: float, now: float) -> None:
        """Note that an endpoint's process ended ``at`` a time, seen here or by a peer.

        It is paused for as long as an endpoint that could not be reached several times.
        """
        health = self.healths.get(endpoint_id, HEALTHY)
        paused_until = max(health.paused_until, at + MAX_PAUSE_S)
        self._set(endpoint_id, replace(health, paused_until=paused_until), now)

    def asked_to_wait(self, endpoint_id: str, pause_s: float, now: float) -> None:
        """Note that an endpoint wants no calls for ``pause_s`` seconds."""
        health = self.healths.get(endpoint_id, HEALTHY)
        wait_until = max(health.wait_until, now + pause_s)
        self._set(endpoint_id, replace(health, wait_until=wait_until), now)

    def waits(self, endpoint_id: str, now: float) -> bool:
        """Return whether an endpoint asked for a pause that is not over."""
        return now < self.healths.get(endpoint_id, HEALTHY).wait_until

    def forget(self, endpoint_id: str) -> None:
        """Drop the health of an endpoint that was removed."""
        self.healths.pop(endpoint_id, None)
        self._served_at.pop(endpoint_id, None)

    def _set(self, endpoint_id: str, health: Health, now: float) -> None:
        before = self.healths.get(endpoint_id, HEALTHY)
        self.healths[endpoint_id] = health
        paused = is_paused(health, now)
        if paused and not is_paused(before, now):
            logger.bind(
                endpoint=endpoint_id,
                in_row=health.in_row,
                pause_s=round(max(health.paused_until, health.wait_until) - now, 3),
            ).warning("endpoint paused")
        elif (
            before.paused_until > float("-inf") and before.in_row and not health.in_row
        ):
            logger.bind(endpoint=endpoint_id).info("endpoint answers again")
        if len(self.healths) > MAX_ENDPOINTS:
            del self.healths[next(iter(self.healths))]

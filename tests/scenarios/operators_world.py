"""The world of ``operators.feature``: six nodes and spare versions to withdraw.

A withdrawal can't be undone, so each scenario withdraws another trial version.
"""

import asyncio
import time
from dataclasses import replace

from knapweedhinge.conf import Version
from knapweedhinge.core.codes import ResultCode
from tests.processes import eventually
from tests.scenarios.world import Reply, World

NODES = 6
TRIAL_VERSIONS = tuple(f"trial@{number}" for number in range(1, 9))
PROPAGATION_LIMIT_S = 4.0  # from sending a change until every node holds it
SEND_INTERVAL_S = 0.02
OPERATOR_HEADERS = {"Authorization": "Bearer operator-key"}


def add_trial_versions(configuration, deployment):
    """Add the trial versions to all engines and allow them to every organisation.

    Returns the new configuration and deployment.
    """
    versions = tuple(Version(name, "trial", 10, 20) for name in TRIAL_VERSIONS)
    organisations = tuple(
        replace(
            organisation,
            allowed_versions=organisation.allowed_versions + TRIAL_VERSIONS,
        )
        for organisation in configuration.organisations
    )
    endpoints = tuple(
        replace(spec, versions=spec.versions + TRIAL_VERSIONS)
        if spec.kind == "engine"
        else spec
        for spec in deployment.endpoints
    )
    return (
        replace(
            configuration,
            versions=configuration.versions + versions,
            organisations=organisations,
        ),
        replace(deployment, endpoints=endpoints),
    )


class OperatorsWorld(World):
    """A world that sends operators' changes and checks the nodes' revisions.

    It fails if the revision that a node holds decreases. ``sent_at`` and
    ``accepted_revision`` are the wall-clock time and the revision of the scenario's
    last change. ``permanent_version`` is never withdrawn.
    """

    def __init__(self, runner, cluster):
        super().__init__(runner, cluster)
        self.permanent_version = self.version
        self._unused_trial_versions = iter(TRIAL_VERSIONS)
        self._highest_revisions = [0] * NODES
        self._load: asyncio.Task | None = None

    async def reset(self) -> None:
        """Switch off all faults and choose the next trial version."""
        await super().reset()
        self.version = next(self._unused_trial_versions)
        self.sent_at = 0.0
        self.reply: Reply | None = None

    async def admin(self, method: str, path: str, node: int = 0, **options) -> Reply:
        """Send an operator's request."""
        headers = OPERATOR_HEADERS | options.pop("headers", {})
        return await self.send(
            method, f"/admin/{path}", node, headers=headers, **options
        )

    async def revision(self, node: int) -> int:
        """Return the revision that a node holds; fail if it has decreased."""
        revision = (await self.admin("GET", "configuration", node)).json["revision"]
        assert revision >= self._highest_revisions[node]
        self._highest_revisions[node] = revision
        return revision

    async def try_change(self, change: dict, node: int = 0, revision: int = 0) -> Reply:
        """Send a change on a revision; return the reply, also if it is refused.

        By default the revision is the one that the node holds.
        A node that has just started reaches no peer yet and refuses the change with
        CONFIGURATION_STALE, so it is sent again.
        """
        revision = revision or await self.revision(node)
        headers = {"If-Match": f'"{revision}"'}
        body = {"change": change}
        while True:
            reply = await self.admin(
                "POST", "changes", node, headers=headers, json=body
            )
            if reply.code != ResultCode.CONFIGURATION_STALE.number:
                return reply
            await asyncio.sleep(SEND_INTERVAL_S)

    async def withdraw(self, node: int = 0) -> None:
        """Withdraw the scenario's version."""
        await self.make_change(
            {"type": "withdraw-version", "version": self.version}, node
        )

    async def make_change(self, change: dict, node: int = 0) -> None:
        """Send a change, fail if it is refused, and store its time and revision."""
        self.sent_at = time.time()
        self.reply = await self.try_change(change, node)
        assert self.reply.status == 200, self.reply.body
        self.accepted_revision = self.reply.json["revision"]

    async def wait_until_in_force(self) -> None:
        """Wait until every node holds the last change.

        Raises TimeoutError after PROPAGATION_LIMIT_S.
        """

        async def all_nodes_hold_it():
            revisions = [await self.revision(node) for node in range(NODES)]
            return min(revisions) >= self.accepted_revision

        await eventually(all_nodes_hold_it, PROPAGATION_LIMIT_S)

    async def ask(self, version: str, node: int) -> Reply:
        """Send a chat request for a version to a node."""
        return await self.chat(self.chat_body("a stool", model=version), node)

    def start_load(self) -> None:
        """Begin to send chat requests for the scenario's version to all nodes."""
        self._load = asyncio.create_task(self._send_requests())

    async def end_load(self) -> None:
        """Stop sending and cancel the requests that still run."""
        self._load.cancel()
        await asyncio.gather(self._load, return_exceptions=True)

    async def _send_requests(self) -> None:
        async with asyncio.TaskGroup() as callers:
            while True:
                for node in range(NODES):
                    callers.create_task(self.ask(self.version, node))
                    await asyncio.sleep(SEND_INTERVAL_S)

    @property
    def first_engine_domain(self) -> str:
        """Return the failure domain of the first engine."""
        specs = self.cluster.deployment.endpoints
        return next(spec.failure_domain for spec in specs if spec.kind == "engine")

    async def run_times_in_domain(self, domain: str) -> list[float]:
        """Return when endpoints of a domain ran anything, in wall-clock seconds."""
        specs = self.cluster.deployment.endpoints
        ids = [spec.id for spec in specs if spec.failure_domain == domain]
        return [call["at"] for call in await self.calls(*ids)]

    async def run_times_of_version(self) -> list[float]:
        """Return when engines ran the scenario's version, in wall-clock seconds."""
        engines = [
            spec.id
            for spec in self.cluster.deployment.endpoints
            if spec.kind == "engine"
        ]
        calls = await self.calls(*engines)
        return [call["at"] for call in calls if call["version"] == self.version]


def is_withdrawn(reply: Reply) -> bool:
    """Return whether a node refused a request because its version is withdrawn."""
    code = ResultCode.VERSION_WITHDRAWN.number
    return (reply.code, reply.run_state) == (code, "not-run")

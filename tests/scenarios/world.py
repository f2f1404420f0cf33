"""The object on which the steps of a scenario act: a cluster and its requests."""

import asyncio
import itertools
import json
import uuid
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import aiohttp

from knapweedhinge.test.fleet import bearer_key
from tests.processes import Cluster, Process, eventually

# By service: a route whose calls run at most once, and one that may be repeated.
ONCE_ROUTES = {"orders": "deposits", "bookings": "confirmations"}
LOOKUP_ROUTES = {"orders": "order-status/17", "bookings": "histories/17"}
OPERATOR_HEADERS = {"Authorization": "Bearer operator-key"}
KEPT_REPLICAS = 2  # endpoints that stay of one version and of each plain service


def count_engines(deployment) -> Counter:
    """Count the engines by the first version that they serve."""
    return Counter(
        spec.versions[0] for spec in deployment.endpoints if spec.kind == "engine"
    )


def most_replicated_version(deployment) -> str:
    """Return the version that most engines serve."""
    return count_engines(deployment).most_common(1)[0][0]


def keep_replicated_endpoints(deployment):
    """Return the deployment with fewer endpoints.

    Two engines of the most replicated version and two replicas of each plain service
    stay.
    """
    kept_version = most_replicated_version(deployment)
    kept, counts = [], Counter()
    for spec in deployment.endpoints:
        key = spec.versions[0] if spec.kind == "engine" else spec.service
        limit = KEPT_REPLICAS if key == kept_version or spec.kind == "service" else 0
        if counts[key] < limit:
            counts[key] += 1
            kept.append(spec)
    return replace(deployment, endpoints=tuple(kept))


def change_body(change: dict) -> dict:
    """Return the request body that carries a configuration change."""
    return {"change": change}


@dataclass
class Reply:
    """A complete HTTP response."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def code(self) -> int:
        """Return the result code, 0 for success."""
        return int(self.headers.get("X-Result-Code", 0))

    @property
    def run_state(self) -> str:
        """Return what the node says of whether the request ran, a value of RunState."""
        return self.headers["X-Run-State"]

    @property
    def json(self) -> dict:
        return json.loads(self.body)


@dataclass
class Stream:
    """A streamed answer, with the event ids and data that were read so far."""

    resp: aiohttp.ClientResponse
    ids: list[str] = field(default_factory=list)
    data: list[str] = field(default_factory=list)

    async def read(self, events: int | None = None) -> "Stream":
        """Read until ``events`` events were read in all, or to the end for None."""
        while events is None or len(self.data) < events:
            line = await self.resp.content.readline()
            if not line:
                return self
            name, _, value = line.decode().rstrip("\n").partition(": ")
            if name == "id":
                self.ids.append(value)
            elif name == "data":
                self.data.append(value)
        return self

    @property
    def words(self) -> list[str]:
        """Return the words of the answer that were read so far."""
        chunks = [json.loads(event) for event in self.data if event != "[DONE]"]
        deltas = [
            choice["delta"].get("content", "")
            for chunk in chunks
            for choice in chunk.get("choices", ())
        ]
        return "".join(deltas).split()

    @property
    def ended(self) -> bool:
        """Return whether the last event is the end marker."""
        return self.data[-1:] == ["[DONE]"]


class World:
    """Requests to a running cluster, and what its endpoints ran since ``reset``.

    Steps are synchronous: they run coroutines with ``run``, on the loop of ``runner``.
    ``version`` and ``service`` are the model version and plain service that scenarios
    use, ``organisation`` is the caller in the current scenario, and ``scenario`` its
    name. ``call_log_starts`` is the length of each endpoint's call log at ``reset``.
    """

    def __init__(self, runner: asyncio.Runner, cluster: Cluster):
        self.runner = runner
        self.cluster = cluster
        self.version = most_replicated_version(cluster.deployment)
        self.service = cluster.configuration.services[0].id
        self._organisations = itertools.cycle(
            organisation.id
            for organisation in cluster.configuration.organisations
            if self.version in organisation.allowed_versions
            and self.service in organisation.allowed_services
        )
        self.organisation = next(self._organisations)
        self.call_log_starts: dict[str, int] = {}
        self.scenario = ""

    @property
    def lookup_path(self) -> str:
        """Return the path of a call that may be repeated."""
        return f"/services/{self.service}/{LOOKUP_ROUTES[self.service]}"

    @property
    def once_path(self) -> str:
        """Return the path of a call that runs at most once."""
        return f"/services/{self.service}/{ONCE_ROUTES[self.service]}"

    def run(self, coro):
        """Run a coroutine to its end and return its result."""
        return self.runner.run(coro)

    @property
    def headers(self) -> dict:
        """Return the headers that authenticate the scenario's organisation."""
        return {"Authorization": f"Bearer {bearer_key(self.organisation)}"}

    @property
    def engines(self) -> list[str]:
        """Return the ids of the engines that serve the scenario's version."""
        specs = self.cluster.deployment.endpoints
        return [spec.id for spec in specs if self.version in spec.versions]

    @property
    def replicas(self) -> list[str]:
        """Return the ids of the replicas of plain services."""
        specs = self.cluster.deployment.endpoints
        return [spec.id for spec in specs if spec.kind == "service"]

    async def reset(self) -> None:
        """Restart killed processes, switch off all faults and forget earlier calls.

        Another organisation calls in each scenario, since each has its own retry budget
        and could be short of it after a scenario with faults.
        """
        self.organisation = next(self._organisations)
        await self._restart_killed()
        await self.platform_fault(outage=False, lose_writes=0, slow_s=0)
        no_faults = {"refuse": False, "slow_s": 0, "token_s": 0, "crash_on": ""}
        counts = ("fail_next", "empty_next", "truncate_next", "hang_after")
        counts += ("cut_after", "cross_next", "cut_before_answer")
        no_faults |= dict.fromkeys(counts, 0)
        for endpoint_id in self.cluster.endpoints:
            await self.fault(endpoint_id, **no_faults)
        await eventually(self._all_nodes_serve)
        self.call_log_starts = {standin_id: 0 for standin_id in self.cluster.endpoints}
        self.call_log_starts = {
            standin_id: len(await self.calls(standin_id))
            for standin_id in self.call_log_starts
        }

    async def _restart_killed(self) -> None:
        cluster = self.cluster
        for name, process in cluster.endpoints.items():
            if process.child.returncode is not None:
                await cluster.restart_endpoint(name)
        for vm in cluster.deployment.entry_vms[: cluster.node_count]:
            if cluster.nodes[vm.id].child.returncode is not None:
                cluster.nodes[vm.id] = await cluster.start_node(vm)
        await eventually(cluster.all_addresses_known)

    async def _all_nodes_serve(self) -> bool:
        """Return whether every node makes calls that run at most once.

        After an outage of the platform they are refused for a while.
        """
        key = uuid.uuid4().hex
        replies = await self.at_every_node(
            lambda node: self.run_once(f"{key}-{node}", node)
        )
        return all(reply.status == 200 for reply in replies)

    def node(self, index: int) -> Process:
        """Return the process of a node."""
        return list(self.cluster.nodes.values())[index]

    async def fault(self, endpoint_id: str, **faults) -> None:
        """Set fault switches of an endpoint."""
        url = self.cluster.endpoint_url(endpoint_id)
        await self.cluster.set_faults(url, **faults)

    async def is_cold(self, engine_id: str) -> bool:
        """Return whether an engine reports that it is in its cold start."""
        url = f"{self.cluster.endpoint_url(engine_id)}/engine/status"
        async with self.cluster.http.get(url) as resp:
            return (await resp.json())["cold"]

    async def calls(self, *endpoint_ids: str) -> list[dict]:
        """Return the calls that endpoints ran since the scenario began.

        Without arguments, those of all endpoints.
        """
        calls = []
        for endpoint_id in endpoint_ids or self.cluster.endpoints:
            calls += (await self.cluster.calls(endpoint_id))[
                self.call_log_starts.get(endpoint_id, 0) :
            ]
        return calls

    def chat_body(self, prompt: str, **fields) -> dict:
        """Return the body of a chat request; ``fields`` replace or add fields."""
        messages = [{"role": "user", "content": prompt}]
        return {"model": self.version, "messages": messages, "max_tokens": 12} | fields

    async def stream(self, body: dict, node: int = 0, **headers) -> Stream:
        """Send a streamed chat request and return once the answer begins."""
        url = f"{self.cluster.node_url(node)}/v1/chat/completions"
        resp = await self.cluster.http.post(
            url, json=body | {"stream": True}, headers=self.headers | headers
        )
        assert resp.status == 200, await resp.text()
        return Stream(resp)

    async def send(self, method: str, path: str, node: int = 0, **options) -> Reply:
        """Send a request and return its complete response, also for an error."""
        options["headers"] = self.headers | options.pop("headers", {})
        url = f"{self.cluster.node_url(node)}{path}"
        async with self.cluster.http.request(method, url, **options) as resp:
            return Reply(resp.status, resp.headers, await resp.read())

    async def chat(self, body: dict, node: int = 0, **headers) -> Reply:
        """Send a chat request for a whole answer."""
        path = "/v1/chat/completions"
        return await self.send("POST", path, node, json=body, headers=headers)

    async def lookup(self, node: int = 0) -> Reply:
        """Make a call that may be repeated."""
        return await self.send("GET", self.lookup_path, node)

    async def run_once(
        self, key: str | None, node: int = 0, json=None, **headers
    ) -> Reply:
        """Make a call that runs at most once, without an idempotency key for None."""
        if key is not None:
            headers["Idempotency-Key"] = key
        body = {"amount": 5} if json is None else json
        return await self.send("POST", self.once_path, node, json=body, headers=headers)

    async def platform_fault(self, **faults) -> None:
        """Set fault switches of the platform."""
        await self.cluster.set_faults(self.cluster.platform_url, **faults)

    async def at_every_node(self, send) -> list[Reply]:
        """Await ``send(node)`` for all nodes at the same time; return the results."""
        nodes = range(self.cluster.node_count)
        return list(await asyncio.gather(*map(send, nodes)))

    async def change(self, node: int = 0, **change) -> Reply:
        """Change the configuration as an operator, on the node's current revision."""
        current = await self.configuration(node)
        headers = OPERATOR_HEADERS | {"If-Match": current.headers["ETag"]}
        path = "/admin/changes"
        return await self.send(
            "POST", path, node, headers=headers, json=change_body(change)
        )

    async def propose(self, **change) -> str:
        """Propose a change for a vote, as an operator; return the proposal's id."""
        current = await self.configuration(0)
        revision = int(current.headers["ETag"].strip('"'))
        body = change_body(change) | {"revision": revision}
        path = "/admin/proposals"
        reply = await self.send("POST", path, headers=OPERATOR_HEADERS, json=body)
        assert reply.status == 200, reply.body
        return json.loads(reply.body)["id"]

    async def vote(self, proposal: str, member: str) -> dict:
        """Vote for a proposal as a member organisation; return the proposal."""
        headers = {"Authorization": f"Bearer {bearer_key(member)}"}
        path = f"/admin/proposals/{proposal}/ballots"
        body = {"agree": True}
        reply = await self.send("POST", path, headers=headers, json=body)
        assert reply.status == 200, reply.body
        return json.loads(reply.body)

    async def configuration(self, node: int) -> Reply:
        """Return the configuration that a node holds; the ETag is its revision."""
        return await self.send(
            "GET", "/admin/configuration", node, headers=OPERATOR_HEADERS
        )

    async def runs_of(self, key: str) -> list[dict]:
        """Return the calls with an idempotency key that service replicas ran."""
        return [call for call in await self.calls(*self.replicas) if call["key"] == key]

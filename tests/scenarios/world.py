"""What the steps of a scenario act on: a cluster and one event loop."""

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

ONCE_ROUTES = {"orders": "deposits", "bookings": "confirmations"}
LOOKUP_ROUTES = {"orders": "order-status/17", "bookings": "histories/17"}
OPERATOR = {"Authorization": "Bearer operator-key"}
REPLICAS = 2


def engines_of(deployment) -> Counter:
    """Count the engines of each version."""
    return Counter(
        one.versions[0] for one in deployment.endpoints if one.kind == "engine"
    )


def most_replicated(deployment) -> str:
    return engines_of(deployment).most_common(1)[0][0]


def replicated(deployment):
    """Keep two engines of one version, one of another and two plain services."""
    first = most_replicated(deployment)
    kept, counts = [], Counter()
    for spec in deployment.endpoints:
        key = spec.versions[0] if spec.kind == "engine" else spec.service
        wanted = REPLICAS if key == first or spec.kind == "service" else 0
        if counts[key] < wanted:
            counts[key] += 1
            kept.append(spec)
    return replace(deployment, endpoints=tuple(kept))


def body_of(change: dict) -> dict:
    return {"change": change}


@dataclass
class Reply:
    """A whole answer as the caller saw it."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def code(self) -> int:
        return int(self.headers.get("X-Result-Code", 0))

    @property
    def run_state(self) -> str:
        return self.headers["X-Run-State"]

    @property
    def json(self) -> dict:
        return json.loads(self.body)


@dataclass
class Stream:
    """A streamed answer as the caller read it so far."""

    resp: aiohttp.ClientResponse
    ids: list[str] = field(default_factory=list)
    data: list[str] = field(default_factory=list)

    async def read(self, events: int | None = None) -> "Stream":
        """Read until so many events are there, or to the end."""
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
        chunks = [json.loads(one) for one in self.data if one != "[DONE]"]
        deltas = [
            choice["delta"].get("content", "")
            for chunk in chunks
            for choice in chunk.get("choices", ())
        ]
        return "".join(deltas).split()

    @property
    def ended(self) -> bool:
        return self.data[-1:] == ["[DONE]"]


class World:
    """A running cluster with the coroutines of its scenarios on one loop."""

    def __init__(self, runner: asyncio.Runner, cluster: Cluster):
        self.runner = runner
        self.cluster = cluster
        self.version = most_replicated(cluster.deployment)
        self.service = cluster.configuration.services[0].id
        self._members = itertools.cycle(
            one.id
            for one in cluster.configuration.organisations
            if self.version in one.allowed_versions
            and self.service in one.allowed_services
        )
        self.organisation = next(self._members)
        self.marks: dict[str, int] = {}
        self.scenario = ""

    @property
    def lookup_path(self) -> str:
        return f"/services/{self.service}/{LOOKUP_ROUTES[self.service]}"

    @property
    def once_path(self) -> str:
        return f"/services/{self.service}/{ONCE_ROUTES[self.service]}"

    def run(self, coro):
        return self.runner.run(coro)

    @property
    def headers(self) -> dict:
        return {"Authorization": f"Bearer {bearer_key(self.organisation)}"}

    @property
    def engines(self) -> list[str]:
        specs = self.cluster.deployment.endpoints
        return [one.id for one in specs if self.version in one.versions]

    @property
    def replicas(self) -> list[str]:
        specs = self.cluster.deployment.endpoints
        return [one.id for one in specs if one.kind == "service"]

    async def reset(self) -> None:
        """Take back all faults and start counting calls anew.

        Another organisation calls, since each has its own retry budget.
        """
        self.organisation = next(self._members)
        await self._restart_killed()
        await self.platform_fault(outage=False, lose_writes=0, slow_s=0)
        clean = {"refuse": False, "slow_s": 0, "token_s": 0, "crash_on": ""}
        counts = ("fail_next", "empty_next", "truncate_next", "hang_after")
        counts += ("cut_after", "cross_next", "cut_before_answer")
        clean |= dict.fromkeys(counts, 0)
        for endpoint_id in self.cluster.endpoints:
            await self.fault(endpoint_id, **clean)
        await eventually(self._serving)
        self.marks = {one: 0 for one in self.cluster.endpoints}
        self.marks = {one: len(await self.calls(one)) for one in self.marks}

    async def _restart_killed(self) -> None:
        cluster = self.cluster
        for name, process in cluster.endpoints.items():
            if process.process.returncode is not None:
                await cluster.restart_endpoint(name)
        for vm in cluster.deployment.entry_vms[: cluster.node_count]:
            if cluster.nodes[vm.id].process.returncode is not None:
                cluster.nodes[vm.id] = await cluster.start_node(vm)
        await eventually(cluster.all_addresses_known)

    async def _serving(self) -> bool:
        """Return whether every node makes calls that run once, after any outage."""
        key = uuid.uuid4().hex
        replies = await self.at_every_node(
            lambda node: self.run_once(f"{key}-{node}", node)
        )
        return all(reply.status == 200 for reply in replies)

    def node(self, index: int) -> Process:
        return list(self.cluster.nodes.values())[index]

    async def fault(self, endpoint_id: str, **faults) -> None:
        url = self.cluster.endpoint_url(endpoint_id)
        await self.cluster.set_faults(url, **faults)

    async def is_cold(self, engine_id: str) -> bool:
        """Return whether an engine says that it is in its cold start."""
        url = f"{self.cluster.endpoint_url(engine_id)}/engine/status"
        async with self.cluster.http.get(url) as resp:
            return (await resp.json())["cold"]

    async def calls(self, *endpoint_ids: str) -> list[dict]:
        """Return what endpoints ran since the scenario's start."""
        found = []
        for one in endpoint_ids or self.cluster.endpoints:
            found += (await self.cluster.calls(one))[self.marks.get(one, 0) :]
        return found

    def chat_body(self, prompt: str, **fields) -> dict:
        messages = [{"role": "user", "content": prompt}]
        return {"model": self.version, "messages": messages, "max_tokens": 12} | fields

    async def stream(self, body: dict, node: int = 0, **headers) -> Stream:
        url = f"{self.cluster.node_url(node)}/v1/chat/completions"
        resp = await self.cluster.http.post(
            url, json=body | {"stream": True}, headers=self.headers | headers
        )
        assert resp.status == 200, await resp.text()
        return Stream(resp)

    async def send(self, method: str, path: str, node: int = 0, **options) -> Reply:
        """Send a request and return the whole answer, whatever it is."""
        options["headers"] = self.headers | options.pop("headers", {})
        url = f"{self.cluster.node_url(node)}{path}"
        async with self.cluster.http.request(method, url, **options) as resp:
            return Reply(resp.status, resp.headers, await resp.read())

    async def chat(self, body: dict, node: int = 0, **headers) -> Reply:
        path = "/v1/chat/completions"
        return await self.send("POST", path, node, json=body, headers=headers)

    async def lookup(self, node: int = 0) -> Reply:
        return await self.send("GET", self.lookup_path, node)

    async def run_once(
        self, key: str | None, node: int = 0, json=None, **headers
    ) -> Reply:
        """Call the route that may not be repeated."""
        if key is not None:
            headers["Idempotency-Key"] = key
        body = {"amount": 5} if json is None else json
        return await self.send("POST", self.once_path, node, json=body, headers=headers)

    async def platform_fault(self, **faults) -> None:
        await self.cluster.set_faults(self.cluster.platform_url, **faults)

    async def at_every_node(self, ask) -> list[Reply]:
        """Return the replies of ``ask(node)`` at all nodes at once."""
        nodes = range(self.cluster.node_count)
        return list(await asyncio.gather(*map(ask, nodes)))

    async def change(self, node: int = 0, **change) -> Reply:
        """Change the configuration as an operator."""
        current = await self.configuration(node)
        headers = OPERATOR | {"If-Match": current.headers["ETag"]}
        path = "/admin/changes"
        return await self.send(
            "POST", path, node, headers=headers, json=body_of(change)
        )

    async def propose(self, **change) -> str:
        """Put a change to the vote as an operator; return the proposal's id."""
        current = await self.configuration(0)
        revision = int(current.headers["ETag"].strip('"'))
        body = body_of(change) | {"revision": revision}
        path = "/admin/proposals"
        reply = await self.send("POST", path, headers=OPERATOR, json=body)
        assert reply.status == 200, reply.body
        return json.loads(reply.body)["id"]

    async def vote(self, proposal: str, member: str) -> dict:
        """Agree to a proposal as a member; return the proposal."""
        headers = {"Authorization": f"Bearer {bearer_key(member)}"}
        path = f"/admin/proposals/{proposal}/ballots"
        body = {"agree": True}
        reply = await self.send("POST", path, headers=headers, json=body)
        assert reply.status == 200, reply.body
        return json.loads(reply.body)

    async def configuration(self, node: int) -> Reply:
        return await self.send("GET", "/admin/configuration", node, headers=OPERATOR)

    async def runs_of(self, key: str) -> list[dict]:
        """Return the runs the service replicas logged under a key."""
        return [one for one in await self.calls(*self.replicas) if one["key"] == key]

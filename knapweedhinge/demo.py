"""Demo: run nodes against simulated endpoints and send sample requests.

Everything runs in one process; the endpoints and the platform are stand-ins.
"""

import argparse
import asyncio
import json
import signal
import sys
import time
from dataclasses import asdict, dataclass, replace
from pathlib import Path

import aiohttp

from knapweedhinge.conf import (
    Configuration,
    Deployment,
    LogSettings,
    Route,
    load_configuration,
    load_deployment,
)
from knapweedhinge.core import logs
from knapweedhinge.endpoints import Usage
from knapweedhinge.filters.bill import price_micros
from knapweedhinge.test.fleet import Fleet, bearer_key

EXAMPLES = Path(__file__).parents[1] / "examples"
OPERATOR_KEY = "operator-key"
MAX_TOKENS = 24  # of each sample answer
PROMPTS = (
    "Draft a walnut bookshelf of five boards, two metres wide.",
    "Answer a customer who asks when her oak unit arrives.",
    "A toaster heats on one side only; which element is it?",
)
ROW_FORMAT = "{:<24} {:<22} {:<20} {:>7} {:>9} {:>9}  {}"


@dataclass(frozen=True)
class SampleAnswer:
    """Hold one answer to a sample request; times in milliseconds, cost in micros.

    ``request`` is the id of a class, or a service with the path called; ``version`` is
    empty for a service.
    """

    request: str
    organisation: str
    version: str
    cost_micros: int
    first_ms: float
    total_ms: float
    answer: str


def run(options: argparse.Namespace) -> int:
    """Run the demo of an example and return the exit status."""
    folder = EXAMPLES / options.example
    configuration = load_configuration(folder / "configuration.json")
    deployment = load_deployment(folder / "deployment.json")
    if options.seed is not None:
        deployment = replace(deployment, seed=options.seed)
    logs.configure_stderr(LogSettings(level="WARNING"))
    node_count = min(options.nodes, len(deployment.entry_vms))
    asyncio.run(_run(options, configuration, deployment, node_count))
    return 0


async def _run(
    options: argparse.Namespace,
    configuration: Configuration,
    deployment: Deployment,
    node_count: int,
) -> None:
    async with Fleet(configuration, deployment, node_count) as fleet:
        if options.serve:
            _print(json.dumps(describe(fleet)))
            await _wait_for_stop_signal()
            return
        answers = await sample_load(fleet)
    if options.json:
        _print(json.dumps([asdict(answer) for answer in answers]))
    else:
        _print_table(answers)


def describe(fleet: Fleet) -> dict:
    """Return the addresses of a running demo and the keys to call it with."""
    configuration = fleet.configuration
    return {
        "nodes": [
            {
                "ip": node.settings.listen.ip,
                "port": node.port,
                "failure_domain": node.settings.listen.failure_domain,
            }
            for node in fleet.nodes
        ],
        "organisations": [
            {
                "id": organisation.id,
                "key": bearer_key(organisation.id),
                "large": organisation.large,
            }
            for organisation in configuration.organisations
        ],
        "operator_key": OPERATOR_KEY,
        "classes": [class_of_work.id for class_of_work in configuration.classes],
        "services": [
            {
                "name": service.id,
                "routes": [_route_mapping(route) for route in service.routes],
            }
            for service in configuration.services
        ],
        "endpoints": [
            {
                "id": endpoint.spec.id,
                "url": endpoint.url,
                "kind": endpoint.spec.kind,
                "failure_domain": endpoint.spec.failure_domain,
                "version": next(iter(endpoint.spec.versions), ""),
            }
            for endpoint in fleet.endpoints.values()
        ],
        "platform": {"url": fleet.platform.url},
    }


def _route_mapping(route: Route) -> dict:
    return {
        "path": route.path,
        "method": route.method,
        "idempotent": route.idempotent,
    }


async def sample_load(fleet: Fleet) -> list[SampleAnswer]:
    """Send each prompt to every class, then call every route of every service.

    Prompts go to all nodes in turn, each prompt as another organisation; routes are
    called on the first node as the first organisation.
    """
    configuration = fleet.configuration
    answers = []
    async with aiohttp.ClientSession() as http:
        for index, prompt in enumerate(PROMPTS):
            for class_of_work in configuration.classes:
                node = fleet.nodes[len(answers) % len(fleet.nodes)]
                organisation = configuration.organisations[index]
                url = f"http://{node.settings.listen.ip}:{node.port}"
                client = SampleClient(http, url, organisation.id, configuration)
                answers.append(await client.chat(class_of_work.id, prompt))
        url = f"http://{fleet.nodes[0].settings.listen.ip}:{fleet.nodes[0].port}"
        organisation = configuration.organisations[0]
        client = SampleClient(http, url, organisation.id, configuration)
        for service in configuration.services:
            for route in service.routes:
                answers.append(await client.call(service.id, route))
    return answers


class SampleClient:
    """Send sample requests to one node as one organisation."""

    def __init__(
        self,
        http: aiohttp.ClientSession,
        url: str,
        organisation: str,
        configuration: Configuration,
    ):
        self._http = http
        self._url = url
        self._organisation = organisation
        self._configuration = configuration
        self._headers = {"Authorization": f"Bearer {bearer_key(organisation)}"}

    async def chat(self, class_id: str, prompt: str) -> SampleAnswer:
        """Request a streamed answer of a class and measure it."""
        body = {
            "model": class_id,
            "messages": [{"role": "user", "content": prompt}],
            "stream": True,
            "stream_options": {"include_usage": True},
            "max_tokens": MAX_TOKENS,
        }
        began = time.perf_counter()
        first_at = None
        text, usage = [], Usage()
        async with self._http.post(
            f"{self._url}/v1/chat/completions", json=body, headers=self._headers
        ) as resp:
            resp.raise_for_status()
            version = resp.headers["X-Model-Version"]
            async for line in resp.content:
                first_at = first_at or time.perf_counter()
                if not line.startswith(b"data: {"):
                    continue
                chunk = json.loads(line[len(b"data: ") :])
                text += [
                    choice["delta"].get("content", "") for choice in chunk["choices"]
                ]
                usage = _usage(chunk) or usage
        ended = time.perf_counter()
        return SampleAnswer(
            class_id,
            self._organisation,
            version,
            price_micros(self._configuration, version, usage),
            (first_at - began) * 1000,
            (ended - began) * 1000,
            "".join(text).strip(),
        )

    async def call(self, service: str, route: Route) -> SampleAnswer:
        """Call a route of a plain service with an idempotency key and measure it."""
        path = route.path.replace("*", "17")  # any text for the wildcard
        headers = self._headers | {"Idempotency-Key": f"demo-{route.path}"}
        began = time.perf_counter()
        async with self._http.request(
            "POST" if route.method == "*" else route.method,
            f"{self._url}/services/{service}/{path}",
            headers=headers,
        ) as resp:
            text = await resp.text()
        total_ms = (time.perf_counter() - began) * 1000
        return SampleAnswer(
            f"{service}/{path}",
            self._organisation,
            "",
            route.micros_per_call,
            total_ms,
            total_ms,
            text,
        )


def _usage(chunk: dict) -> Usage | None:
    usage = chunk.get("usage")
    if not usage:
        return None
    return Usage(usage["prompt_tokens"], usage["completion_tokens"])


def _print_table(answers: list[SampleAnswer]) -> None:
    heads = ("request", "organisation", "version", "micros", "first ms", "whole ms")
    _print(ROW_FORMAT.format(*heads, "answer"))
    for answer in answers:
        _print(
            ROW_FORMAT.format(
                answer.request,
                answer.organisation,
                answer.version or "-",
                answer.cost_micros,
                f"{answer.first_ms:.1f}",
                f"{answer.total_ms:.1f}",
                answer.answer[:48],
            )
        )


def _print(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


async def _wait_for_stop_signal() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    await stopped.wait()

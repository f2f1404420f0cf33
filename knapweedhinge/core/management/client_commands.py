"""Base classes of commands that call nodes, and the calls they share."""

import argparse
import os
from pathlib import Path
from typing import Any

from knapweedhinge.conf.change_forms import change_from_mapping, change_to_mapping
from knapweedhinge.conf.changes import Change
from knapweedhinge.conf.loader import read_file
from knapweedhinge.core.management.arguments import node_url, positive_seconds
from knapweedhinge.core.management.base import BaseCommand
from knapweedhinge.core.management.client import (
    GET,
    POST,
    NodeCall,
    NodeClient,
    NodeReply,
)
from knapweedhinge.core.management.errors import CommandError
from knapweedhinge.core.management.exit_codes import ExitCode

NODES_VARIABLE = "KNAPWEEDHINGE_NODES"
OPERATOR_KEY_VARIABLE = "KNAPWEEDHINGE_OPERATOR_KEY"
ORGANISATION_KEY_VARIABLE = "KNAPWEEDHINGE_ORGANISATION_KEY"
CONFIGURATION_PATH = "/admin/configuration"
CHANGES_PATH = "/admin/changes"
DEFAULT_TIMEOUT_S = 10.0  # longest wait in seconds for one node


class NodeCommand(BaseCommand):
    """Base class of commands that call nodes with a bearer key.

    ``key_option`` and ``key_variable`` name the option and the environment variable
    that supply the key. If ``key_required`` is false, calls without a key are allowed.
    """

    key_option = "--operator-key-file"
    key_variable = OPERATOR_KEY_VARIABLE
    key_required = True

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments for the nodes, the key and the timeout."""
        parser.add_argument(
            "--node",
            action="append",
            type=node_url,
            default=[],
            metavar="IP:PORT",
            help="node to call; repeat it to name fallbacks"
            f" (default: {NODES_VARIABLE}, separated by commas)",
        )
        parser.add_argument(
            self.key_option,
            dest="key_file",
            type=Path,
            metavar="FILE",
            help=f"file that holds the key (default: the key in {self.key_variable})",
        )
        parser.add_argument(
            "--timeout-s",
            type=positive_seconds,
            default=DEFAULT_TIMEOUT_S,
            metavar="SECONDS",
            help="longest wait for one node (default: %(default)s)",
        )
        super().configure(parser)

    def client(self, options: argparse.Namespace) -> NodeClient:
        """Return a client for the nodes and the key of the options.

        Raise ``CommandError`` if no node or no required key is given, or if one of them
        is invalid.
        """
        return NodeClient(_nodes(options), self._key(options), options.timeout_s)

    def _key(self, options: argparse.Namespace) -> str:
        if options.key_file is not None:
            key = _read_key(self.key_option, options.key_file)
        else:
            key = os.environ.get(self.key_variable, "").strip()
        if not key and self.key_required:
            text = f"Give {self.key_option} FILE or set {self.key_variable}."
            raise CommandError(text)
        if not key.isprintable() or not key.isascii():
            raise CommandError(f"The key of {self.key_option} isn't printable ASCII.")
        return key


class ChangeCommand(NodeCommand):
    """Base class of commands that change the configuration.

    A change names the revision it is based on and is refused if another change was
    accepted since.
    """

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the revision that the change is based on."""
        super().configure(parser)
        parser.add_argument(
            "--revision",
            type=int,
            metavar="N",
            help="revision the change is based on (default: the current one)",
        )

    def send(self, options: argparse.Namespace, change: Change) -> int:
        """Send a change, print the new revision and return the exit code."""
        client = self.client(options)
        reply = post_change(client, change, options.revision)
        revision = reply.body["revision"]
        result = {"revision": revision, "change": change_to_mapping(change)}
        self.write(options, result, f"accepted as revision {revision}")
        return ExitCode.SUCCESS


def post_change(client: NodeClient, change: Change, revision: int | None) -> NodeReply:
    """Send a change based on ``revision``, or on the current one if None.

    Raise ``CommandError`` if the answer has no revision.
    """
    if revision is None:
        revision = read_configuration(client).revision
    headers = {"If-Match": f'"{revision}"'}
    body = {"change": change_to_mapping(change)}
    reply = client.call(NodeCall(POST, CHANGES_PATH, body, headers))
    if not isinstance(reply.body, dict) or "revision" not in reply.body:
        raise CommandError(f"{reply.node} accepted the change but named no revision.")
    return reply


def read_configuration(client: NodeClient) -> NodeReply:
    """Return the current configuration with its revision.

    Raise ``CommandError`` if the answer has no revision.
    """
    reply = client.call(NodeCall(GET, CONFIGURATION_PATH))
    if reply.revision is None:
        raise CommandError(f"{reply.node} answered without a revision.")
    return reply


def read_change(path: Path) -> Change:
    """Read a change of the configuration from a JSON file with comments.

    Raise ``ImproperlyConfiguredError`` if the file can't be read or is invalid.
    """
    return change_from_mapping(read_file(path), file=str(path))


def items_of(body: Any, name: str) -> list[dict]:
    """Return the objects in list ``name`` of an answer, none if it is missing."""
    items = body.get(name, []) if isinstance(body, dict) else []
    return [item for item in items if isinstance(item, dict)]


def _nodes(options: argparse.Namespace) -> tuple[str, ...]:
    if options.node:
        return tuple(options.node)
    listed = os.environ.get(NODES_VARIABLE, "").split(",")
    try:
        nodes = tuple(node_url(text.strip()) for text in listed if text.strip())
    except argparse.ArgumentTypeError as exc:
        raise CommandError(f"{NODES_VARIABLE}: {exc}") from exc
    if not nodes:
        raise CommandError(f"Give --node IP:PORT or set {NODES_VARIABLE}.")
    return nodes


def _read_key(option: str, path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise CommandError(f"{option}: {path} can't be read ({exc}).") from exc

"""Links that go silent for good, without a reset, are closed and dialled anew."""

import ctypes
import socket
import struct

import pytest

from tests.peers.conftest import fleet, until

HEALED_S = 6.0  # the users' bound for a directory that names machines long gone
SO_ATTACH_FILTER = 26
RETURN_NOTHING = struct.pack("HBBI", 0x06, 0, 0, 0)  # BPF: drop the whole packet


def silence(sock) -> None:
    """Let the kernel drop all that a socket receives from now on, unacknowledged."""
    program = ctypes.create_string_buffer(RETURN_NOTHING, len(RETURN_NOTHING))
    packed = struct.pack("HL", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, packed)


def links(nodes):
    """Return the open links of all nodes."""
    return [link for node in nodes for link in node._engine.links.all()]


@pytest.mark.parametrize("count", [3, 7])
async def test_links_that_go_silent_for_good_are_replaced(count):
    """Nodes kept calling over them, and split into groups that disagreed (review/6)."""
    async with fleet(count) as nodes:
        seen = []
        for node in nodes:
            node.subscribe("cut").subscribe(seen.append)
        silent = links(nodes)
        assert silent
        for link in silent:
            silence(link.flow._transport.get_extra_info("socket"))
        await until(lambda: not set(silent) & set(links(nodes)), HEALED_S)
        await until(
            lambda: all(len(n.membership.active) == count for n in nodes), HEALED_S
        )
        assert nodes[0].publish("cut", "oak@4", 2, b"cut")
        await until(lambda: len(seen) == count, HEALED_S)

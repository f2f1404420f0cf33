"""The handshake: mutual authentication of two nodes on a new connection."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import capnp
import msgspec

from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.peers.authentication import (
    Greeting,
    Role,
    new_nonce,
    prove,
    shares_protocol_version,
    verify,
)
from knapweedhinge.peers.delay_estimator import DelayEstimator
from knapweedhinge.peers.flow import Flow
from knapweedhinge.peers.link import Link
from knapweedhinge.peers.members import Member, decode_member, encode_member
from knapweedhinge.peers.traffic import Cause, RefusalReason, TrafficCounters
from knapweedhinge.peers.wire import MIN_PROTOCOL_VERSION, PROTOCOL_VERSION, SCHEMA

HANDSHAKE_BYTES = 1_350  # counted per handshake, as its size is not reported


class SessionFactory(Protocol):
    """Creates the RPC object that serves a peer's calls over a link."""

    def __call__(self, link: Link) -> Any:
        """Return a capnp ``Session`` server for the link."""


class Authenticator:
    """Authenticates one node to others, and others to it.

    ``me`` returns the node's own membership record; ``create_session`` makes the RPC
    object that a peer gets once it is authenticated.
    """

    def __init__(
        self,
        keys: tuple[str, ...],
        me: Callable[[], Member],
        create_session: SessionFactory,
        counters: TrafficCounters,
        clock: Callable[[], float],
    ):
        self.keys = keys
        self.create_session = create_session
        self.counters = counters
        self.clock = clock
        self._me = me

    def greeting(self) -> Greeting:
        """Return the greeting of this node for a new connection, with a new nonce."""
        member = encode_member(self._me())
        return Greeting(PROTOCOL_VERSION, MIN_PROTOCOL_VERSION, new_nonce(), member)

    async def perform_handshake(
        self, member: Member, stream: Any, client: Any, flow: Flow
    ) -> Link:
        """Authenticate as the dialer and return the link.

        Raises PeerError if either side refuses the other.
        """
        gate = client.bootstrap().cast_as(SCHEMA.Gate)
        mine = self.greeting()
        reply = await gate.hello(identity=_to_identity(mine, self.clock()))
        _raise_unless_ok(reply.code)
        theirs = _from_identity(reply.identity)
        peer = self._verify_acceptor(member, mine, theirs, bytes(reply.proof))
        link = Link(peer, True, self.clock(), flow)
        # The first sample, with which later delays are compared.
        link.delay_estimator.estimate_s(reply.identity.sentAt, self.clock())
        answer = await gate.authenticate(
            proof=prove(self.keys, Role.DIALER, mine, theirs),
            back=self.create_session(link),
        )
        _raise_unless_ok(answer.code)
        link.attach(stream, client, answer.session)
        self.counters.count_sent(Cause.HANDSHAKE, HANDSHAKE_BYTES)
        return link

    def _verify_acceptor(
        self, member: Member, mine: Greeting, theirs: Greeting, proof: bytes
    ) -> Member:
        if not verify(self.keys, Role.ACCEPTOR, mine, theirs, proof):
            self.counters.count_refused(RefusalReason.STRANGER)
            _raise_unless_ok(ResultCode.PEER_AUTHENTICATION_FAILED.number)
        peer = decode_member(theirs.member)
        if peer.vm != member.vm:
            message = f"{peer.vm} answers in place of {member.vm}"
            raise PeerError(message, run_state=RunState.NOT_RUN)
        return peer


class GateServer(SCHEMA.Gate.Server):
    """Serves an accepted connection until its dialer is authenticated."""

    def __init__(
        self,
        authenticator: Authenticator,
        stream: Any,
        flow: Flow,
        on_link: Callable[[Link], None],
    ):
        self._authenticator = authenticator
        self._stream = stream
        self._flow = flow
        self._on_link = on_link
        self._mine: Greeting | None = None
        self._theirs: Greeting | None = None
        self._member: Member | None = None
        self._delay_estimator = DelayEstimator()
        self.link: Link | None = None
        self.authenticated = asyncio.Event()

    async def hello(self, identity, _context, **_):
        """Answer the dialer's greeting with this node's greeting and proof."""
        if self._flow.closed:
            return
        code = self._check_greeting(identity)
        _context.results.code = code.number
        if code is not ResultCode.OK:
            return
        results = _context.results
        results.identity = _to_identity(self._mine, self._authenticator.clock())
        keys = self._authenticator.keys
        results.proof = prove(keys, Role.ACCEPTOR, self._theirs, self._mine)

    async def authenticate(self, proof, back, _context, **_):
        """Return a session if the proof is valid, at most once per connection."""
        if not self._is_valid_proof(bytes(proof)):
            self._authenticator.counters.count_refused(RefusalReason.STRANGER)
            _context.results.code = ResultCode.PEER_AUTHENTICATION_FAILED.number
            return
        self._flow.proven = True
        link = Link(self._member, False, self._authenticator.clock(), self._flow)
        link.delay_estimator = self._delay_estimator
        link.attach(self._stream, None, back)
        self.link = link
        _context.results.session = self._authenticator.create_session(link)
        self._authenticator.counters.count_received(Cause.HANDSHAKE, HANDSHAKE_BYTES)
        self._on_link(link)
        self.authenticated.set()

    def _check_greeting(self, identity) -> ResultCode:
        self._mine = self._theirs = None
        try:
            theirs = _from_identity(identity)
            member = decode_member(theirs.member)
        except (msgspec.MsgspecError, capnp.KjException, UnicodeDecodeError):
            self._authenticator.counters.count_refused(RefusalReason.MALFORMED)
            return ResultCode.PEER_MALFORMED
        mine = self._authenticator.greeting()
        if not shares_protocol_version(mine, theirs):
            self._authenticator.counters.count_refused(RefusalReason.VERSION)
            return ResultCode.PEER_VERSION
        self._mine, self._theirs, self._member = mine, theirs, member
        self._delay_estimator.estimate_s(identity.sentAt, self._authenticator.clock())
        return ResultCode.OK

    def _is_valid_proof(self, proof: bytes) -> bool:
        if self._mine is None or self._theirs is None or self.link is not None:
            return False
        keys = self._authenticator.keys
        return verify(keys, Role.DIALER, self._theirs, self._mine, proof)


def _to_identity(greeting: Greeting, now: float) -> Any:
    return SCHEMA.Identity.new_message(
        version=greeting.version,
        minVersion=greeting.min_version,
        nonce=greeting.nonce,
        member=greeting.member,
        sentAt=now,
    )


def _from_identity(identity: Any) -> Greeting:
    return Greeting(
        identity.version,
        identity.minVersion,
        bytes(identity.nonce),
        bytes(identity.member),
    )


def _raise_unless_ok(number: int) -> None:
    if number == ResultCode.OK.number:
        return
    codes = {code.number: code for code in ResultCode}
    code = codes.get(number, ResultCode.PEER_MALFORMED)
    raise PeerError(code=code, run_state=RunState.NOT_RUN)

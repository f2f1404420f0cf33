"""Search over rows, late answers, gossip in any order and returns of the store."""

import json
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from knapweedhinge.platform.eras import Eras, Version
from knapweedhinge.platform.mirror import OPERATOR_GRACE_S, Mirror
from knapweedhinge.platform.store import Row

NODES = 3
OPERATOR_KEYS = ("evacuate/a", "rollout/shop")
ENDPOINT_KEYS = ("i-1", "i-2")
ROWS = [("op", key) for key in OPERATOR_KEYS]
ROWS += [("servers", key) for key in ENDPOINT_KEYS]


@dataclass(frozen=True)
class Answer:
    """A whole table as the store had it; it may arrive late."""

    table: str
    version: Version
    rows: tuple[Row, ...]
    sent_at: float


@dataclass
class Node:
    mirror: Mirror = field(default_factory=Mirror)
    eras: Eras = field(default_factory=Eras)
    read: dict[str, Version] = field(default_factory=dict)
    inbox: list = field(default_factory=list)


class Returns(RuleBasedStateMachine):
    """A store that returns from copies, and nodes that read it and tell each other."""

    def __init__(self):
        super().__init__()
        self.now = 1.0
        self.era, self.number, self.seq = 1, 0, 0
        self.rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.copies = [(0, {})]
        self.nodes = [Node() for _ in range(NODES)]
        self.answers: list[list[Answer]] = [[] for _ in range(NODES)]
        self.newest_era: dict[tuple[int, str, str], int] = {}

    def write(self, name, value: bytes | None) -> None:
        self.number += 1
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = self.number, value

    @rule(name=st.sampled_from(ROWS), deleted=st.booleans())
    def write_row(self, name, deleted):
        self.now += 0.1
        self.seq += 1
        value = {"born": 1, "seq": self.seq}
        self.write(name, None if deleted else json.dumps(value).encode())

    @rule()
    def take_copy(self):
        self.copies.append((self.number, dict(self.rows)))

    @rule(index=st.integers(0, 9))
    def return_from_copy(self, index):
        self.now += 0.1
        # Copies are taken of what the store holds: those of lost times are lost too.
        self.copies = self.copies[: index % len(self.copies) + 1]
        self.number, rows = self.copies[-1]
        self.rows = dict(rows)
        self.era += 1

    @rule(node=st.integers(0, NODES - 1), table=st.sampled_from(["op", "servers"]))
    def ask(self, node, table):
        self.now += 0.1
        rows = tuple(
            Row(key, Version(self.era, number), value)
            for (name, key), (number, value) in self.rows.items()
            if name == table
        )
        version = Version(self.era, self.number)
        self.answers[node].append(Answer(table, version, rows, self.now))

    @rule(node=st.integers(0, NODES - 1), index=st.integers(0, 9))
    def receive_answer(self, node, index):
        if self.answers[node]:
            self.now += 0.01
            answer = self.answers[node].pop(index % len(self.answers[node]))
            self.take_answer(self.nodes[node], answer)

    def take_answer(self, node: Node, answer: Answer) -> None:
        """Do what ``Feeds.load`` does with an answer."""
        era = b"%d" % answer.version.era
        node.eras.answered([era], answer.sent_at, self.now)
        node.eras.note_version(answer.version)
        if answer.version < node.read.get(answer.table, answer.version):
            return
        node.read[answer.table] = answer.version
        keys = {row.key for row in answer.rows}
        gone = node.mirror.deletions_for(answer.table, keys, answer.version)
        for row in (*answer.rows, *gone):
            is_new = row.value is not None and node.eras.is_new(row.version)
            self.take_row(node, answer.table, row, is_new)

    def take_row(self, node: Node, table: str, row: Row, is_new: bool) -> None:
        if node.mirror.apply(table, row, is_new=is_new, now=self.now):
            for other in self.nodes:
                if other is not node:
                    other.inbox.append((table, row, is_new))

    @rule(node=st.integers(0, NODES - 1), index=st.integers(0, 19), again=st.booleans())
    def receive_gossip(self, node, index, again):
        inbox = self.nodes[node].inbox
        if inbox:
            self.now += 0.01
            index %= len(inbox)
            item = inbox[index] if again else inbox.pop(index)
            self.hear(self.nodes[node], *item)

    def hear(self, node: Node, table: str, row: Row, is_new: bool) -> None:
        if node.eras.heard(row.version.era, self.now):
            node.mirror.apply(table, row, is_new=is_new, now=self.now)

    @invariant()
    def no_row_goes_back_to_an_earlier_era(self):
        for number, node in enumerate(self.nodes):
            for table, key in ROWS:
                row = node.mirror.row(table, key)
                if row is not None:
                    name = number, table, key
                    assert row.version.era >= self.newest_era.get(name, 0)
                    self.newest_era[name] = row.version.era

    def teardown(self):
        """Deliver all that is on the way; then all nodes hold the store's rows."""
        for number, node in enumerate(self.nodes):
            for answer in self.answers[number]:
                self.take_answer(node, answer)
            self.answers[number].clear()
        # Live endpoints write their rows again, the store drops those of others.
        for name in ROWS:
            if name[0] == "servers":
                self.write_row(name, name not in self.rows)
        for number, node in enumerate(self.nodes):
            for table in ("op", "servers"):
                self.ask(number, table)
                self.take_answer(node, self.answers[number].pop())
        for node in self.nodes:
            while node.inbox:
                self.hear(node, *node.inbox.pop())
        self.now += 2 * OPERATOR_GRACE_S
        for node in self.nodes:
            for table, row in node.mirror.settle(self.now):
                for other in self.nodes:
                    self.hear(other, table, row, True)
        for node in self.nodes:
            for table, key in ROWS:
                held = node.mirror.lost(table, key, self.now)
                row = held or node.mirror.row(table, key)
                stored = self.rows.get((table, key))
                assert (row and row.value) == (stored and stored[1]), (table, key)


TestReturns = Returns.TestCase
TestReturns.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, deadline=None
)

"""Store the history of configuration revisions in the platform's table service.

Each revision is one row, keyed by its number and inserted only if that row is absent.
The same transaction inserts a row for the change id, so a change that is sent several
times is accepted only once. A change is accepted when its transaction commits. Every
REVISIONS_PER_DOCUMENT revisions the transaction also stores the whole configuration (a
document) and a pointer to it, so that a restarted node need not replay all revisions.
"""

from dataclasses import replace

from knapweedhinge.backing import Row, TableClient, Write, WriteOutcome
from knapweedhinge.conf import Configuration
from knapweedhinge.conf.changes import FoundCooperative
from knapweedhinge.controllers.configuration_apply import ChangeUnknownError, apply
from knapweedhinge.controllers.configuration_codec import (
    decode_configuration,
    decode_revision,
    encode_change,
    encode_configuration,
    encode_revision,
)
from knapweedhinge.controllers.configuration_records import (
    SCHEMA,
    Accepted,
    ChangeInvalidError,
    ChangeRequest,
    Revision,
    RevisionConflict,
    VoteRequiredError,
)
from knapweedhinge.controllers.configuration_rules import validate_and_apply
from knapweedhinge.controllers.configuration_votes import requires_vote
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import PlatformError, RowConflictError

REVISIONS_TABLE = "configuration"
CHANGES_TABLE = "configuration-changes"
DOCUMENTS_TABLE = "configuration-documents"
NEWEST_DOCUMENT_KEY = "newest"
REVISIONS_PER_DOCUMENT = 64
KEY_DIGITS = 12  # digits of a zero-padded revision number, so that keys sort
PAGE_ROWS = 1_000  # rows requested by one table scan
EMPTY_CONFIGURATION = Configuration((), (), (), ())


class ConfigurationStore:
    """Read configuration revisions from the table service and append new ones.

    Methods that read raise PlatformError if stored rows are incomplete or malformed.
    """

    def __init__(self, tables: TableClient):
        self._tables = tables
        self._newest = EMPTY_CONFIGURATION
        # Newest version of the row format among SCHEMA and the rows read so far.
        self._newest_schema = SCHEMA

    async def load(self) -> Configuration | None:
        """Return the newest configuration, or None before the first revision."""
        await self._catch_up()
        return self._newest if self._newest.revision else None

    async def head(self) -> int:
        """Return the number of the newest revision, or 0 before the first."""
        await self._catch_up()
        return self._newest.revision

    async def read_after(self, revision: int) -> tuple[Revision, ...]:
        """Return all revisions later than ``revision``, in order and without a gap."""
        found: list[Revision] = []
        while True:
            after = revision + len(found)
            rows = await self._tables.scan(
                REVISIONS_TABLE, "", revision_key(after), PAGE_ROWS
            )
            found.extend(_decode_row(row) for row in rows)
            if len(rows) < PAGE_ROWS:
                return tuple(found)

    async def document(self, revision: int) -> Configuration | None:
        """Return the configuration stored with a revision, or None if none was."""
        row = await self._tables.get(DOCUMENTS_TABLE, revision_key(revision))
        return decode_configuration(row.value["configuration"]) if row else None

    async def accepted(self, change_id: str) -> Revision | None:
        """Return the revision that holds this change id, or None."""
        row = await self._tables.get(CHANGES_TABLE, change_id)
        return await self._revision_at(row.value["revision"]) if row else None

    async def append(
        self,
        request: ChangeRequest,
        expected_revision: int,
        now: float,
        extra_writes: tuple[Write, ...] = (),
    ) -> Accepted:
        """Append a change as the revision after ``expected_revision``.

        ``now`` is wall clock time in seconds. The writes in ``extra_writes`` are
        committed in the same transaction. Raises RevisionConflict if
        ``expected_revision`` is not the newest revision, ChangeInvalidError if the
        change breaks a rule, VoteRequiredError if the member organisations must vote on
        it first, RowConflictError if a write in ``extra_writes`` was refused, and
        WriteUnsettledError if the outcome is unknown; the same request may then be sent
        again.
        """
        await self._catch_up()
        if self._newest.revision != expected_revision:
            return await self._resolve_conflict(request, expected_revision)
        base = self._newest
        if not request.voted and requires_vote(request.change, base):
            raise VoteRequiredError
        configuration = _with_revision(
            validate_and_apply(request.change, base), base.revision + 1
        )
        revision = _new_revision(request, base.revision, now)
        writes = (*self._writes(revision, configuration), *extra_writes)
        outcomes = await self._tables.batch(writes, atomic=True)
        if _committed(outcomes[0], outcomes[1], request.change_id):
            existing = _require_same_change(_decode_row(outcomes[0].row), request)
            self._adopt(configuration)
            return Accepted(existing, configuration)
        if outcomes[0].row is None and outcomes[1].row is None:
            # Neither row exists, so the transaction failed at an extra write.
            raise RowConflictError(
                f"a row to be written with change {request.change_id} had changed"
            )
        return await self._resolve_conflict(request, expected_revision)

    async def append_first_revision(
        self, configuration: Configuration, change_id: str, author: str, now: float
    ) -> Accepted:
        """Write the first revision; ``now`` is wall clock time in seconds.

        Raises RevisionConflict if a first revision exists already.
        """
        change = FoundCooperative(_with_revision(configuration, 0))
        return await self.append(ChangeRequest(change_id, author, change), 0, now)

    async def _resolve_conflict(
        self, request: ChangeRequest, expected_revision: int
    ) -> Accepted:
        winner = await self._revision_at(expected_revision + 1)
        existing = await self.accepted(request.change_id)
        if existing is None:
            raise RevisionConflict(expected_revision, winner)
        await self._catch_up()
        return Accepted(_require_same_change(existing, request), self._newest)

    async def _revision_at(self, number: int) -> Revision | None:
        row = await self._tables.get(REVISIONS_TABLE, revision_key(number))
        return _decode_row(row) if row else None

    async def _catch_up(self) -> None:
        if not self._newest.revision:
            await self._adopt_newest_document()
        configuration = self._newest
        for revision in await self.read_after(configuration.revision):
            self._newest_schema = max(self._newest_schema, revision.schema)
            configuration = await self._apply_revision(configuration, revision)
        self._adopt(configuration)

    async def _apply_revision(
        self, configuration: Configuration, revision: Revision
    ) -> Configuration:
        if revision.number != configuration.revision + 1:
            raise _protocol_error(f"revision {configuration.revision + 1} is missing")
        try:
            return _with_revision(
                apply(revision.change, configuration), revision.number
            )
        except ChangeUnknownError as exc:
            document = await self.document(revision.number)
            if document is None:
                raise _protocol_error(
                    f"revision {revision.number}: unknown change {exc}"
                ) from exc
            return document

    async def _adopt_newest_document(self) -> None:
        pointer = await self._tables.get(DOCUMENTS_TABLE, NEWEST_DOCUMENT_KEY)
        if pointer is None:
            return
        self._newest_schema = max(SCHEMA, pointer.value["schema"])
        document = await self.document(pointer.value["revision"])
        if document is None:
            raise _protocol_error("the newest stored configuration is missing")
        self._adopt(document)

    def _adopt(self, configuration: Configuration) -> None:
        """Hold a configuration unless the one held is the same or newer."""
        if configuration.revision > self._newest.revision:
            self._newest = configuration

    def _writes(
        self, revision: Revision, configuration: Configuration
    ) -> tuple[Write, ...]:
        key = revision_key(revision.number)
        write_id = revision.change_id
        change_value = {"revision": revision.number}
        writes = (
            Write(REVISIONS_TABLE, key, encode_revision(revision), 0, write_id),
            Write(CHANGES_TABLE, revision.change_id, change_value, 0, write_id),
        )
        if not self._needs_document(revision):
            return writes
        document = {"configuration": encode_configuration(configuration)}
        pointer = {**change_value, "schema": revision.schema}
        return (
            *writes,
            Write(DOCUMENTS_TABLE, key, document, 0, write_id),
            Write(DOCUMENTS_TABLE, NEWEST_DOCUMENT_KEY, pointer, None, write_id),
        )

    def _needs_document(self, revision: Revision) -> bool:
        """Return whether to store the whole configuration with this revision.

        A configuration with fields of a newer schema is never stored: this release
        would drop them.
        """
        if self._newest_schema > SCHEMA:
            return False
        return revision.number == 1 or revision.number % REVISIONS_PER_DOCUMENT == 0


def revision_key(revision: int) -> str:
    """Return the row key of a revision; keys sort by revision number."""
    return f"{revision:0{KEY_DIGITS}d}"


def _with_revision(configuration: Configuration, revision: int) -> Configuration:
    return replace(configuration, revision=revision)


def _new_revision(request: ChangeRequest, previous: int, now: float) -> Revision:
    return Revision(
        number=previous + 1,
        change_id=request.change_id,
        author=request.author,
        at=now,
        previous=previous,
        change=request.change,
    )


def _committed(revision: WriteOutcome, change: WriteOutcome, change_id: str) -> bool:
    """Return whether both rows exist and belong to this change."""
    if revision.row is None or change.row is None:
        return False
    return revision.row.write_id == change_id and revision.row.key == revision_key(
        change.row.value["revision"]
    )


def _require_same_change(existing: Revision, request: ChangeRequest) -> Revision:
    if encode_change(existing.change) != encode_change(request.change):
        raise ChangeInvalidError("change_id", "was already used for another change")
    return existing


def _decode_row(row: Row) -> Revision:
    return decode_revision(int(row.key), row.value)


def _protocol_error(message: str) -> PlatformError:
    return PlatformError(message, code=ResultCode.PLATFORM_PROTOCOL)

"""Defects in the handling of changes; each function plants one for the duration of a test."""

from __future__ import annotations

import pytest
from aiohttp import web

from granitewell.controlplane.configuration import answers, history
from granitewell.controlplane.configuration.api import Leadership, OperatorApi, Role
from granitewell.controlplane.configuration.history import UNKNOWN_DIGEST, AcceptedChange, ChangeHistory
from granitewell.controlplane.configuration.store import Change, ChangeResult, ConfigurationStore, Outcome
from tests.controlplane.change_world import Entry, Node, Waiter


def identity_without_base(patch: pytest.MonkeyPatch) -> None:
    """An accepted body is acknowledged under any If-Match."""
    real = ConfigurationStore._evaluate

    def judge(self: ConfigurationStore, change: Change) -> object:
        for taken in self._history._accepted.values():
            if taken.digest == change.digest():
                return ChangeResult(Outcome.REPEATED, taken.version, self.version)
        return real(self, change)

    patch.setattr(ConfigurationStore, "_evaluate", judge)


def identity_without_body(patch: pytest.MonkeyPatch) -> None:
    """All changes based on one version count as the one that was accepted."""

    def version_of(self: ChangeHistory, change: Change) -> int | None:
        taken = self._accepted.get(change.base_version)
        return None if taken is None else taken.version

    patch.setattr(ChangeHistory, "version_of", version_of)


def history_not_in_snapshot(patch: pytest.MonkeyPatch) -> None:
    """A restored replica has the configuration without the history."""

    def read(data: bytes) -> ChangeHistory:
        if not data:
            return ChangeHistory()
        _, version = history.RECORD.unpack(data[-history.RECORD.size :])
        restored = ChangeHistory()
        restored._accepted = {-1: AcceptedChange(UNKNOWN_DIGEST, version)}
        return restored

    patch.setattr(ChangeHistory, "read", read)


def stale_before_repeated(patch: pytest.MonkeyPatch) -> None:
    """A change based on another version is rejected without checking the history."""

    def judge(self: ConfigurationStore, change: Change) -> ChangeResult:
        return self._result(Outcome.STALE)

    patch.setattr(ConfigurationStore, "_evaluate_on_another_version", judge)


def repeat_gets_the_current_version(patch: pytest.MonkeyPatch) -> None:
    """A repeated change is acknowledged with the current version, as a former release did."""
    real = ConfigurationStore._evaluate_on_another_version

    def judge(self: ConfigurationStore, change: Change) -> ChangeResult:
        result = real(self, change)
        return ChangeResult(result.outcome, self.version, self.version)

    patch.setattr(ConfigurationStore, "_evaluate_on_another_version", judge)


def forgotten_is_refused(patch: pytest.MonkeyPatch) -> None:
    """A change older than the history counts as not accepted."""
    patch.setattr(ChangeHistory, "reaches", lambda self, base_version: True)


def forgotten_version_not_in_snapshot(patch: pytest.MonkeyPatch) -> None:
    """A restored replica treats its history as complete."""
    real = ChangeHistory.records

    def records(self: ChangeHistory) -> list[bytes]:
        return real(self)[1 if self._forgotten_version else 0 :]

    patch.setattr(ChangeHistory, "records", records)


def lease_not_checked(patch: pytest.MonkeyPatch) -> None:
    """A node checks changes against its own state without holding the lease."""

    async def judged(self: OperatorApi, change: Change, path: str) -> web.Response:
        result = self._store.check(change)
        return await self._propose(change, path) if result is None else answers.changed(result)

    patch.setattr(OperatorApi, "_leadership_now", lambda self: Leadership(Role.SERVING))
    patch.setattr(OperatorApi, "_check_and_propose", judged)


def lost_proposal_is_refused(patch: pytest.MonkeyPatch) -> None:
    """A proposal that was not committed in time counts as not accepted."""
    real = OperatorApi._propose

    async def proposed(self: OperatorApi, change: Change, path: str) -> web.Response:
        response = await real(self, change, path)
        if response.status != 503:
            return response
        return answers.changed(ChangeResult(Outcome.STALE, self._store.version, self._store.version))

    patch.setattr(OperatorApi, "_propose", proposed)


def lost_proposal_is_confirmed(patch: pytest.MonkeyPatch) -> None:
    """A change that passed the check is acknowledged, even if its entry is lost."""
    real = OperatorApi._propose

    async def proposed(self: OperatorApi, change: Change, path: str) -> web.Response:
        before = self._store.check(change)
        response = await real(self, change, path)
        if response.status != 503 or before is not None or self._store._checked is None:
            return response
        version = self._store._checked.after.version
        return answers.changed(ChangeResult(Outcome.ACCEPTED, version, version))

    patch.setattr(OperatorApi, "_propose", proposed)


def result_of_another_entry(patch: pytest.MonkeyPatch) -> None:
    """A proposer gets the result of another leader's entry at the same index."""

    def tell(self: Node, waiter: Waiter, entry: Entry, result: object) -> None:
        waiter.future.set_result(result)

    patch.setattr(Node, "tell", tell)


def restore_keeps_waiters(patch: pytest.MonkeyPatch) -> None:
    """A proposal at an index covered by a restored snapshot is reported as accepted."""

    def lose_waiters(self: Node, up_to: int) -> None:
        for waiter in [waiter for waiter in self.waiters if waiter.index <= up_to]:
            self.waiters.remove(waiter)
            waiter.future.set_result(ChangeResult(Outcome.ACCEPTED, self.store.version, self.store.version))

    patch.setattr(Node, "lose_waiters", lose_waiters)

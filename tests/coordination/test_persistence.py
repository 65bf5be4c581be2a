"""Which records count as synced while batches of them are being written."""

from __future__ import annotations

import pytest

from granitewell.coordination.consensus.persistence import Persistence
from granitewell.coordination.consensus.types import HardState
from tests.coordination.defects import stable_past_truncation


def taken(persistence: Persistence, last_index: int, term: int, now: float = 0.0) -> int:
    """Take a batch to write."""
    persistence.records.append(HardState(term, ""))
    persistence.take(last_index, term, now)
    return persistence.newest_batch


def test_a_batch_counts_once_it_is_synced() -> None:
    persistence = Persistence(3, 1)
    batch = taken(persistence, 5, 2)
    assert (persistence.stable_index, persistence.stable_term, persistence.is_idle) == (3, 1, False)
    persistence.persisted(batch)
    assert (persistence.stable_index, persistence.stable_term, persistence.is_idle) == (5, 2, True)


def test_entries_truncated_while_being_written_do_not_count() -> None:
    persistence = Persistence(3, 1)
    first = taken(persistence, 7, 1)
    persistence.truncated(3)
    assert persistence.stable_index == 2
    second = taken(persistence, 4, 2)
    persistence.persisted(first)
    assert persistence.stable_index == 2
    persistence.persisted(second)
    assert persistence.stable_index == 4


def test_counting_truncated_entries_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    stable_past_truncation(monkeypatch)
    with pytest.raises(AssertionError):
        test_entries_truncated_while_being_written_do_not_count()


def test_a_stall_counts_from_the_oldest_batch_or_the_first_refusal() -> None:
    persistence = Persistence(3, 1)
    taken(persistence, 4, 1, now=10.0)
    taken(persistence, 5, 1, now=11.0)
    assert persistence.stalled_for(12.0) == 2.0
    persistence.persisted(1)
    assert persistence.stalled_for(12.0) == 1.0
    persistence.failed(11.5)
    persistence.failed(11.9)
    persistence.persisted(2)
    assert persistence.stalled_for(12.0) == 0.0
    persistence.failed(13.0)
    assert persistence.stalled_for(14.0) == 1.0

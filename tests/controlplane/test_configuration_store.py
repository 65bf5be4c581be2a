"""The store: compare-and-set, repeated changes, snapshots, deltas, and the view of edges."""

from __future__ import annotations

import json
import struct
import zlib
from itertools import pairwise

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.controlplane.configuration import history as history_module
from granitewell.controlplane.configuration import store as store_module
from granitewell.controlplane.configuration.errors import (
    DeltaMismatchError,
    UnreadableChangeError,
    UnreadableSnapshotError,
)
from granitewell.controlplane.configuration.store import (
    Change,
    ConfigurationDelta,
    ConfigurationStore,
    Operation,
    Outcome,
)
from granitewell.controlplane.configuration.view import ConfigurationView
from granitewell.domain.errors import UnknownFormatError
from tests.controlplane.test_configuration_examples import (
    applied,
    outcomes,
    patch,
    patch_change,
    put_change,
    route,
    service,
    split_route,
    store_of,
    whole,
)

FIRST = put_change(0, whole(5))


def follow(view: ConfigurationView, delta: ConfigurationDelta) -> None:
    """Apply a control node's update to an edge's view."""
    view.apply(delta.version, delta.is_complete, delta.documents)


# changes


@given(st.sampled_from(Operation), st.integers(0, 2**63 - 1), st.binary())
def test_a_change_comes_back_from_its_encoded_form(operation: Operation, version: int, body: bytes) -> None:
    change = Change(operation, version, body)
    assert Change.decode(change.encode()) == change


@pytest.mark.parametrize(
    "data", [b"", FIRST.encode()[:9], b"\x02" + FIRST.encode()[1:], b"\x01\x09" + bytes(8)]
)
def test_unknown_forms_of_changes_are_refused(data: bytes) -> None:
    with pytest.raises(UnreadableChangeError) as refused:
        Change.decode(data)
    assert isinstance(refused.value, UnknownFormatError) is (len(data) >= 10)
    store = ConfigurationStore()
    with pytest.raises(UnreadableChangeError):
        store.apply(1, data)


def test_a_change_on_another_version_is_stale_even_if_invalid() -> None:
    store = store_of(FIRST)
    for base in (0, 4, 6):
        assert outcomes(store, put_change(base, whole(9)), patch_change(base, {})) == [Outcome.STALE] * 2
    assert store.version == 5


def test_the_first_change_is_based_on_version_0() -> None:
    assert outcomes(ConfigurationStore(), put_change(1, whole(5))) == [Outcome.STALE]
    assert outcomes(ConfigurationStore(), patch_change(0, patch(1, {"services": [service("one")]}))) == [
        Outcome.ACCEPTED
    ]


def test_of_two_changes_on_one_version_one_is_taken() -> None:
    left = patch_change(5, patch(6, {"routes": [route("l")]}))
    right = patch_change(5, patch(6, {"routes": [route("r")]}))
    higher = put_change(5, whole(8))
    for first, *others in ([left, right, higher], [right, higher, left], [higher, left, right]):
        store = store_of(FIRST)
        assert store.check(first) is None and all(store.check(other) is None for other in others)
        results = [store.apply(1, change.encode()).outcome for change in (first, *others)]
        assert results == [Outcome.ACCEPTED, Outcome.STALE, Outcome.STALE]


def test_a_change_sent_again_is_repeated_also_after_later_ones() -> None:
    change = patch_change(5, patch(7, {"routes": [route("c")]}))
    store = store_of(FIRST, change)
    assert outcomes(store, change, FIRST) == [Outcome.REPEATED] * 2
    later = patch_change(7, patch(8, remove={"routes": ["c"]}))
    assert outcomes(store, later, change, FIRST, later) == [Outcome.ACCEPTED] + [Outcome.REPEATED] * 3
    assert store.version == 8 and store.configuration is not None
    assert "c" not in store.configuration.routes


def test_a_repeat_is_told_its_own_version_and_the_current_one() -> None:
    changes = [FIRST, patch_change(5, patch(7)), patch_change(7, patch(8)), put_change(8, whole(20))]
    results = applied(store_of(*changes), *changes)
    assert {result.outcome for result in results} == {Outcome.REPEATED}
    assert [(result.version, result.current_version) for result in results] == [
        (5, 20), (7, 20), (8, 20), (20, 20),
    ]  # fmt: skip


def test_a_body_that_was_taken_is_another_change_under_another_if_match_or_operation() -> None:
    """Otherwise two changes based on one version would both be acknowledged."""
    taken = patch_change(5, patch(7, {"routes": [route("c")]}))
    store = store_of(FIRST, taken, patch_change(7, patch(9)))
    for base in (0, 4, 6, 7, 8, 10):
        assert outcomes(store, Change(Operation.PATCH, base, taken.body)) == [Outcome.STALE]
    assert outcomes(store, Change(Operation.PATCH, 9, taken.body)) == [Outcome.INVALID]
    assert outcomes(store, Change(Operation.PUT, 5, taken.body)) == [Outcome.STALE]
    assert outcomes(store, taken) == [Outcome.REPEATED]


def test_a_repeat_with_any_byte_altered_is_no_repeat() -> None:
    """This includes equal JSON with different whitespace."""
    taken = patch_change(5, patch(7, {"routes": [route("c")]}))
    store = store_of(FIRST, taken, patch_change(7, patch(9)))
    before = store.snapshot()
    for place in range(len(taken.body)):
        altered = taken.body[:place] + bytes([taken.body[place] ^ 1]) + taken.body[place + 1 :]
        assert outcomes(store, Change(Operation.PATCH, 5, altered)) == [Outcome.STALE]
    for other in (taken.body + b" ", taken.body[:-1], b" " + taken.body, b""):
        assert outcomes(store, Change(Operation.PATCH, 5, other)) == [Outcome.STALE]
    assert store.snapshot() == before and outcomes(store, taken) == [Outcome.REPEATED]


@pytest.mark.parametrize(
    "version", [0, -1, 4, 5, 2**63, 2**64, 2**64 - 1, 10**40, 6.0, "6", True, None, [6], {"version": 6}]
)
@pytest.mark.parametrize("operation", Operation)
def test_a_version_that_is_not_above_the_current_one_or_is_no_version(
    operation: Operation, version: object
) -> None:
    store = store_of(FIRST)
    before = store.snapshot()
    document = whole(6) if operation is Operation.PUT else patch(6)
    body = json.dumps(document | {"version": version}).encode()
    [result] = applied(store, Change(operation, 5, body))
    assert result.outcome is Outcome.INVALID and result.error is not None
    assert result.error.field == "version" and store.snapshot() == before


def test_a_configuration_is_bounded_in_bytes_also_if_it_grows_by_patches(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "MAX_DOCUMENT_BYTES", 10_000)
    store = store_of(FIRST)
    for number in range(100):
        change = patch_change(store.version, patch(store.version + 1, {"routes": [route(f"r{number}")]}))
        if outcomes(store, change) == [Outcome.INVALID]:
            break
    assert 9_500 < len(store.document()) < 10_500
    for field in ({"owner": "x" * 10_000}, {"limits": {"note": "x" * 10_000}}):
        assert outcomes(store, patch_change(store.version, patch(10**6, **field))) == [Outcome.INVALID]
    smaller = patch_change(store.version, patch(10**6, remove={"routes": ["r0"]}))
    assert outcomes(store, smaller) == [Outcome.ACCEPTED]


def test_a_change_that_lost_or_was_invalid_is_not_remembered() -> None:
    store = store_of(FIRST)
    lost = patch_change(4, patch(9))
    invalid = patch_change(5, patch(9, {"routes": [route("c", service="three")]}))
    assert outcomes(store, lost, invalid, lost, invalid) == [
        Outcome.STALE,
        Outcome.INVALID,
        Outcome.STALE,
        Outcome.INVALID,
    ]
    assert outcomes(store, patch_change(5, patch(6, {"services": [service("three")]}))) == [Outcome.ACCEPTED]
    assert outcomes(store, Change(Operation.PATCH, 6, invalid.body)) == [Outcome.ACCEPTED]


CHAIN = [FIRST] + [patch_change(version, patch(version + 1)) for version in range(5, 9)]


def test_the_history_is_bounded_and_forgets_the_oldest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of a change on a version from before it, nobody can say whether it was taken: it isn't refused.

    Of one on a version that the history reaches, it is certain.
    """
    monkeypatch.setattr(history_module, "MAX_ACCEPTED_CHANGES", 3)
    store = store_of(*CHAIN)
    fresh = ConfigurationStore()
    fresh.restore(store.snapshot())
    for replica in (store, fresh):
        assert outcomes(replica, *CHAIN) == [Outcome.FORGOTTEN] * 2 + [Outcome.REPEATED] * 3
        others = [patch_change(base, patch(20, owner="me")) for base in (0, 1, 5, 6, 7, 8, 10)]
        assert outcomes(replica, *others) == [Outcome.FORGOTTEN] * 3 + [Outcome.STALE] * 4
    for replica in (store, fresh):
        assert outcomes(replica, patch_change(9, patch(10)), *CHAIN[2:]) == [
            Outcome.ACCEPTED, Outcome.FORGOTTEN, Outcome.REPEATED, Outcome.REPEATED,
        ]  # fmt: skip
    assert store.snapshot() == fresh.snapshot()


def test_a_check_is_not_used_once_the_state_has_moved() -> None:
    """A change checked on one state must be checked again on the next."""
    store = store_of(FIRST)
    change = patch_change(5, patch(7, {"routes": [route("c", service="two")]}))
    assert store.check(change) is None
    store.restore(store_of(put_change(0, whole(5, route("a"), services=[service("one")]))).snapshot())
    assert outcomes(store, change) == [Outcome.INVALID]


def test_a_check_of_another_change_is_not_used() -> None:
    store = store_of(FIRST)
    assert store.check(patch_change(5, patch(7, {"routes": [route("c")]}))) is None
    store.apply(1, patch_change(5, patch(7, {"routes": [route("d")]})).encode())
    assert store.configuration is not None and sorted(store.configuration.routes) == ["a", "b", "d"]


def test_the_callback_is_called_for_each_new_version_only() -> None:
    heard: list[int] = []
    store = ConfigurationStore(on_change=lambda: heard.append(store.version))
    outcomes(store, FIRST, FIRST, put_change(5, whole(4)), put_change(1, whole(9)), put_change(5, whole(9)))
    assert heard == [5, 9]


# snapshots


def test_a_snapshot_carries_the_configuration_and_the_history() -> None:
    changes = [FIRST, patch_change(5, patch(7, {"routes": [route("c", note="x")]}, owner="me"))]
    store = store_of(*changes)
    other = store_of(put_change(0, whole(99)))
    other.restore(store.snapshot())
    assert other.document() == store.document() and other.configuration == store.configuration
    assert outcomes(other, *changes) == [Outcome.REPEATED] * 2
    assert other.snapshot() == store.snapshot()


def test_an_empty_snapshot() -> None:
    store = store_of(FIRST)
    store.restore(ConfigurationStore().snapshot())
    assert store.version == 0 and store.configuration is None
    assert outcomes(store, FIRST) == [Outcome.ACCEPTED]


def test_a_damaged_snapshot_is_refused_and_changes_nothing() -> None:
    data = store_of(FIRST).snapshot()
    store = store_of(put_change(0, whole(99)))
    before = store.snapshot()
    for length in range(len(data)):
        with pytest.raises(UnreadableSnapshotError):
            store.restore(data[:length])
    for place in range(len(data)):
        with pytest.raises(UnreadableSnapshotError):
            store.restore(data[:place] + bytes([data[place] ^ 0x10]) + data[place + 1 :])
    with pytest.raises(UnreadableSnapshotError):
        store.restore(data + b"\0")
    assert store.snapshot() == before


def test_a_snapshot_of_a_newer_format_is_refused_by_its_number() -> None:
    data = store_of(FIRST).snapshot()
    store = store_of(put_change(0, whole(99)))
    before = store.snapshot()
    for number in (0, 2, 3, 255):
        with pytest.raises(UnreadableSnapshotError, match=f"format {number} "):
            store.restore(bytes([number]) + data[1:])
    assert store.snapshot() == before


def snapshot_of(document: bytes, *records: tuple[bytes, int]) -> bytes:
    """Return a snapshot with a valid checksum and any content."""
    rest = document + b"".join(struct.pack("!32sq", digest, version) for digest, version in records)
    return struct.pack("!BIII", 1, zlib.crc32(rest), len(document), len(records)) + rest


def test_a_snapshot_without_base_versions_is_read() -> None:
    """It has the same bytes: the digest of operation and body, and the version.

    The bases follow from the order.
    """
    data = snapshot_of(
        store_of(*CHAIN).document(),
        *[(change.digest(), version) for change, version in zip(CHAIN, range(5, 10), strict=True)],
    )
    store = ConfigurationStore()
    store.restore(data)
    assert store.snapshot() == data
    assert outcomes(store, *CHAIN) == [Outcome.REPEATED] * 5
    assert outcomes(store, put_change(0, whole(9))) == [Outcome.STALE]


def test_a_full_snapshot_that_names_no_forgotten_version_may_have_forgotten_some(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Older versions stored no forgotten version, so the base version of their oldest record is unknown."""
    monkeypatch.setattr(history_module, "LEGACY_FULL_RECORDS", 3)
    records = [(change.digest(), version) for change, version in zip(CHAIN, range(5, 10), strict=True)][2:]
    store = ConfigurationStore()
    store.restore(snapshot_of(store_of(*CHAIN).document(), *records))
    assert outcomes(store, *CHAIN) == [Outcome.FORGOTTEN] * 3 + [Outcome.REPEATED] * 2


def test_a_snapshot_whose_changes_do_not_lead_to_its_configuration_is_refused() -> None:
    document = store_of(FIRST).document()
    digest = FIRST.digest()
    for data in (
        snapshot_of(document),
        snapshot_of(b"", (digest, 5)),
        snapshot_of(document, (digest, 4)),
        snapshot_of(document, (digest, 5), (digest, 5)),
        snapshot_of(document, (digest, 7), (digest, 5)),
        snapshot_of(document, (digest, 0), (digest, 5)),
        snapshot_of(document, (digest, -3), (digest, 5)),
        snapshot_of(document, (bytes(32), 6), (digest, 5)),
        snapshot_of(document, (digest, 5), (bytes(32), 5)),
        snapshot_of(document[:-1], (digest, 5)),
    ):
        store = store_of(put_change(0, whole(99)))
        with pytest.raises(UnreadableSnapshotError):
            store.restore(data)
        assert store.version == 99


def test_the_largest_history_has_few_bytes_and_comes_back_whole() -> None:
    history = history_module.ChangeHistory()
    change = Change(Operation.PATCH, 0, b"")
    for version in range(1, history_module.MAX_ACCEPTED_CHANGES + 50):
        history.add(change, version)
    records = history.records()
    assert len(b"".join(records)) == 40 * (history_module.MAX_ACCEPTED_CHANGES + 1)
    read = history_module.ChangeHistory.read(b"".join(records))
    assert read.records() == records
    assert [read.reaches(base) for base in (48, 49)] == [False, True]


# deltas


def big_store() -> ConfigurationStore:
    """Return a store whose complete configuration is much longer than a patch."""
    return store_of(put_change(0, whole(5, *(route(f"r{number}") for number in range(50)))))


def test_an_edge_that_follows_is_told_patches() -> None:
    store = big_store()
    view = ConfigurationView()
    follow(view, store.changes_since(0))
    for base, version in ((5, 7), (7, 8), (8, 12)):
        change = patch_change(base, patch(version, {"routes": [route("r7", priority=base)]}))
        store.apply(0, change.encode())
    delta = store.changes_since(5)
    assert not delta.is_complete and len(delta.documents) == 3
    follow(view, delta)
    assert view.version == store.version and view.configuration == store.configuration


def test_an_edge_with_nothing_or_of_an_unknown_version_is_told_the_whole() -> None:
    store = big_store()
    store.apply(0, patch_change(5, patch(9)).encode())
    for version in (0, 4, 7):
        delta = store.changes_since(version)
        assert delta == ConfigurationDelta(9, True, (store.document(),))


def test_an_edge_that_is_as_new_or_newer_is_told_nothing() -> None:
    store = big_store()
    for version in (5, 6):
        assert store.changes_since(version) == ConfigurationDelta(5, False, ())
    assert ConfigurationStore().changes_since(0) == ConfigurationDelta(0, False, ())


def test_patches_longer_than_the_whole_are_not_sent() -> None:
    store = store_of(FIRST)
    for version in range(5, 15):
        filler = {"routes": [route("a", note="x" * 300)]}
        store.apply(0, patch_change(version, patch(version + 1, filler)).encode())
    assert store.changes_since(5).is_complete
    assert not store.changes_since(14).is_complete


def test_the_number_of_patches_kept_is_bounded() -> None:
    store = store_of(put_change(0, whole(5, route("a", note="x" * 100_000))))
    for version in range(5, 305):
        store.apply(0, patch_change(version, patch(version + 1)).encode())
    assert store.changes_since(304 - store_module.MAX_PATCHES).is_complete
    assert not store.changes_since(305 - store_module.MAX_PATCHES).is_complete


def test_a_whole_that_alters_little_is_told_as_a_patch() -> None:
    routes = [route(f"r{number}") for number in range(50)]
    store = store_of(put_change(0, whole(5, *routes)))
    view = ConfigurationView()
    follow(view, store.changes_since(0))
    altered = [*routes[:7], route("r7", service="two"), *routes[9:], split_route("n", ("one", 1), ("two", 2))]
    store.apply(0, put_change(5, whole(6, *altered)).encode())
    delta = store.changes_since(5)
    assert not delta.is_complete and sum(map(len, delta.documents)) < len(store.document()) / 5
    follow(view, delta)
    assert view.configuration == store.configuration


@pytest.mark.parametrize("altered", [whole(6, limits={}), whole(6, owner="me")])
def test_a_whole_that_alters_limits_or_unknown_fields_is_told_whole(altered: dict[str, object]) -> None:
    store = store_of(FIRST, put_change(5, altered))
    view = ConfigurationView()
    follow(view, store_of(FIRST).changes_since(0))
    assert store.changes_since(5).is_complete
    follow(view, store.changes_since(5))
    assert view.configuration == store.configuration


def test_patches_from_before_a_gap_are_forgotten() -> None:
    """A PUT that can't be encoded as a patch, or a restored snapshot, leaves a gap in the patches."""
    store = store_of(FIRST, patch_change(5, patch(6)), put_change(6, whole(7, limits={})))
    store.apply(0, patch_change(7, patch(8)).encode())
    assert [store.changes_since(version).is_complete for version in (5, 6, 7)] == [True, True, False]
    store.restore(store_of(put_change(0, whole(20))).snapshot())
    store.apply(0, patch_change(20, patch(21)).encode())
    assert [store.changes_since(version).is_complete for version in (7, 20)] == [True, False]


def test_a_view_takes_rising_versions_only() -> None:
    store = big_store()
    old = store.changes_since(0)
    store.apply(0, patch_change(5, patch(9)).encode())
    view = ConfigurationView()
    assert view.configuration is None and view.version == 0
    assert view.apply(9, True, store.changes_since(0).documents) == store.configuration
    assert view.apply(old.version, True, old.documents) is None
    assert view.apply(9, True, old.documents) is None
    assert view.version == 9 and view.configuration == store.configuration


def test_a_view_skips_patches_that_it_has_applied() -> None:
    store = big_store()
    view = ConfigurationView()
    follow(view, store.changes_since(0))
    store.apply(0, patch_change(5, patch(7, {"routes": [route("c")]})).encode())
    follow(view, store.changes_since(5))
    store.apply(0, patch_change(7, patch(9, {"routes": [route("d")]})).encode())
    follow(view, store.changes_since(5))
    assert view.version == 9 and view.configuration == store.configuration


def test_a_delta_that_does_not_fit_is_refused_and_changes_nothing() -> None:
    store = big_store()
    view = ConfigurationView()
    follow(view, store.changes_since(0))
    store.apply(0, patch_change(5, patch(7, {"routes": [route("c")]})).encode())
    store.apply(0, patch_change(7, patch(9, {"routes": [route("d")]})).encode())
    first, second = store.changes_since(5).documents
    before = view.configuration
    wrong: list[tuple[int, bool, list[bytes]]] = [
        (9, False, [second]),  # a gap
        (9, False, [first]),  # does not lead to version 9
        (9, False, []),
        (9, False, [first, b"garbage"]),
        (9, False, [first, second[:-1]]),
        (9, False, [first, orjson.dumps(patch(9))]),  # without a base version
        (9, True, []),
        (9, True, [store.document(), store.document()]),
        (9, True, [store.document()[:-1]]),
        (10, True, [store.document()]),
    ]
    for version, is_whole, documents in wrong:
        with pytest.raises(DeltaMismatchError):
            view.apply(version, is_whole, documents)
        assert view.version == 5 and view.configuration is before
    follow(view, store.changes_since(0))
    assert view.configuration == store.configuration


def test_a_patch_reads_only_what_it_names() -> None:
    store = store_of(put_change(0, whole(5, *(route(f"r{number}") for number in range(2_000)))))
    assert store.configuration is not None
    before = store.configuration.routes
    store.apply(0, patch_change(5, patch(6, {"routes": [route("r7", priority=1)]})).encode())
    after = store.configuration.routes
    assert [name for name in after if after[name] is not before[name]] == ["r7"]


# replicas

NAMES = ["a", "b", "c", "d"]
SERVICES = ["one", "two", "three"]
route_documents = st.builds(
    lambda name, prefix, host, target, timeout: route(
        name, prefix=f"/{prefix}/", host=host, service=target, timeout_ms=timeout
    ),
    st.sampled_from(NAMES),
    st.sampled_from(NAMES),
    st.sampled_from(["h.example", "H.example", "other.example"]),
    st.sampled_from(SERVICES),
    st.sampled_from([1, 1, 1, 500, 0]),
)
service_documents = st.builds(
    lambda name, most: service(name, max_connections=most), st.sampled_from(SERVICES), st.integers(1, 3)
)
versions = st.integers(1, 12)
unique_routes = st.lists(route_documents, max_size=3, unique_by=lambda document: str(document["name"]))
unique_services = st.lists(service_documents, max_size=3, unique_by=lambda document: str(document["name"]))
puts = st.builds(
    lambda base, version, routes, limits, owner: put_change(
        base,
        whole(
            version, routes=routes, services=[service(name) for name in SERVICES], limits=limits, owner=owner
        ),
    ),
    versions | st.just(0),
    versions,
    unique_routes,
    st.sampled_from([{}, {"max-body-bytes": 5}]),
    st.sampled_from(["me", "you"]),
)
patches = st.builds(
    lambda base, version, routes, services, gone, gone_services, fields: patch_change(
        base,
        patch(
            version,
            {"routes": routes, "services": services},
            {"routes": gone, "services": gone_services},
            **fields,
        ),
    ),
    versions,
    versions,
    unique_routes,
    unique_services,
    st.lists(st.sampled_from(NAMES), max_size=2),
    st.lists(st.sampled_from(SERVICES), max_size=1),
    st.sampled_from([{}, {}, {"limits": {"max-body-bytes": 7}}, {"owner": "them"}]),
)


def rebased(change: Change, store: ConfigurationStore, again: bool) -> Change:
    """Return a change as it was generated, or based on the current version."""
    if again:
        return change
    document = orjson.loads(change.body)
    document["version"] += store.version
    return Change(change.operation, store.version, orjson.dumps(document))


histories = st.lists(st.tuples(puts | patches, st.booleans()), min_size=1, max_size=14)


@settings(max_examples=150, deadline=None)
@given(histories, st.integers(0, 14), st.integers(0, 14))
def test_replicas_agree_whatever_they_restored_or_checked(
    history: list[tuple[Change, bool]], restored_at: int, joined_at: int
) -> None:
    """Leader (checks first), follower, one restored in the middle, an edge that follows, one that lags.

    After each entry all replicas are the same to the byte, and the edges' configuration is equal.
    """
    leader, follower, restored = ConfigurationStore(), ConfigurationStore(), ConfigurationStore()
    near, far = ConfigurationView(), ConfigurationView()
    taken_bases: set[int] = set()
    for index, (drawn, again) in enumerate(history):
        change = rebased(drawn, leader, again)
        told = leader.check(change)
        before = leader.snapshot()
        results = [replica.apply(index, change.encode()) for replica in (leader, follower, restored)]
        first = results[0]
        assert len({(result.outcome, result.version, str(result.error)) for result in results}) == 1
        if told is None:
            assert first.outcome is Outcome.ACCEPTED and change.base_version not in taken_bases
            taken_bases.add(change.base_version)
        else:
            assert first.outcome is told.outcome and leader.snapshot() == before
        if index == restored_at:
            restored = ConfigurationStore()
            restored.restore(follower.snapshot())
        assert leader.snapshot() == follower.snapshot() == restored.snapshot()
        assert leader.configuration == follower.configuration == restored.configuration
        follow(near, (follower if again else restored).changes_since(near.version))
        assert near.configuration == leader.configuration
        if index % 5 == joined_at % 5:
            follow(far, restored.changes_since(far.version))
            assert far.configuration == leader.configuration
    fresh = ConfigurationStore()
    fresh.restore(leader.snapshot())
    assert fresh.configuration == leader.configuration


@settings(max_examples=60, deadline=None)
@given(histories)
def test_every_state_that_is_reached_is_valid_as_a_whole(history: list[tuple[Change, bool]]) -> None:
    """A patch checks only its own items; the state after it must pass the checks of a PUT."""
    store = ConfigurationStore()
    reached = [0]
    for index, (drawn, again) in enumerate(history):
        if store.apply(index, rebased(drawn, store, again).encode()).outcome is Outcome.ACCEPTED:
            reached.append(store.version)
            other = ConfigurationStore()
            put = Change(Operation.PUT, 0, store.document())
            assert other.apply(1, put.encode()).outcome is Outcome.ACCEPTED
            assert other.configuration == store.configuration
    assert all(lower < higher for lower, higher in pairwise(reached))

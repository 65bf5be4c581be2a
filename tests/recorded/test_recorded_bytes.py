"""What older versions of the program have stored or sent is read, and written again as the same bytes."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest

from granitewell.controlplane.configuration.store import ConfigurationStore
from granitewell.coordination.consensus import codec, storage
from granitewell.coordination.consensus.identity import IDENTITY_NAME, load_identity
from granitewell.coordination.log_format import CorruptLogError
from granitewell.domain.errors import GranitewellError, MalformedFrameError
from granitewell.rpc.transport import HEADER, MAGIC, VERSION, Kind, Method
from tests.recorded.samples import (
    CLAIM,
    DATA,
    DOCUMENT,
    ONE,
    PUT,
    SAMPLES,
    log_payloads,
    path_of,
    restored_record,
    restored_store,
)


def test_every_recorded_file_belongs_to_a_sample() -> None:
    assert {path.stem for path in DATA.glob("*.bin")} == set(SAMPLES)


@pytest.mark.parametrize("name", SAMPLES)
def test_a_value_becomes_the_recorded_bytes(name: str) -> None:
    sample = SAMPLES[name]
    assert sample.encode(sample.value) == path_of(name).read_bytes()


@pytest.mark.parametrize("name", SAMPLES)
def test_recorded_bytes_are_read_and_written_again_unchanged(name: str) -> None:
    sample, recorded = SAMPLES[name], path_of(name).read_bytes()
    value = sample.decode(recorded)
    assert sample.encode(value) == recorded
    if not isinstance(value, ConfigurationStore):  # compared by its snapshot above
        assert value == sample.value


@pytest.mark.parametrize("name", [name for name in SAMPLES if name.startswith("raft-message")])
def test_a_message_with_one_byte_changed_or_cut_is_refused(name: str) -> None:
    recorded = path_of(name).read_bytes()
    for length in range(len(recorded)):
        with pytest.raises(MalformedFrameError):
            codec.decode(recorded[:length])
    for place in range(len(recorded)):
        changed = bytearray(recorded)
        changed[place] ^= 0x10
        with pytest.raises(MalformedFrameError):
            codec.decode(bytes(changed))


def test_a_log_cut_at_any_length_keeps_whole_batches_or_is_refused() -> None:
    recorded = path_of("log-file").read_bytes()
    whole = log_payloads(recorded)
    kept = set()
    for length in range(len(recorded)):
        try:
            kept.add(log_payloads(recorded[:length]))
        except CorruptLogError:
            assert length < 18
    assert kept == {whole[:count] for count in range(len(whole))}


def test_a_log_with_one_byte_changed_never_gives_other_batches() -> None:
    recorded = path_of("log-file").read_bytes()
    whole = log_payloads(recorded)
    for place in range(len(recorded)):
        changed = bytearray(recorded)
        changed[place] ^= 0x01
        try:
            found = log_payloads(bytes(changed))
        except GranitewellError:
            continue
        assert found == whole[: len(found)]


def test_the_records_of_a_log_add_up() -> None:
    records = storage.decode_records(path_of("raft-records").read_bytes())
    state = storage.replay(records)
    assert state.replica_id == ONE.replica_id
    assert [entry.index for entry in state.entries] == [7, 8, 9, 10, 11, 12, 13]


def test_a_recorded_snapshot_of_the_configuration_is_in_force() -> None:
    store = restored_store(path_of("configuration-snapshot").read_bytes())
    assert store.version == 6
    limits = {"max-header-bytes": 8192, "idle-timeout-ms": 20000, "max-body-bytes": 1000}
    assert msgspec.json.decode(store.document()) == DOCUMENT | {"version": 6, "limits": limits}
    configuration = store.configuration
    assert configuration is not None
    route = configuration.routes["rides"]
    assert [(part.service, part.weight) for part in route.services] == [("llm", 3), ("llm-next", 1.5)]
    repeated = store.check(PUT)
    assert repeated is not None and (repeated.version, repeated.current_version) == (5, 6)


def test_a_recorded_snapshot_of_a_shard_names_its_owner() -> None:
    assert restored_record(path_of("owner-claim").read_bytes()).owner == CLAIM


def test_a_claim_of_an_older_version_is_read() -> None:
    owner = restored_record(b'{"holder": "core-9", "term": 3}').owner
    assert (
        restored_record(b'{"holder": "core-9", "term": 3, "address": "", "incarnation": ""}').owner == owner
    )


def test_the_identity_file_is_read_and_left_as_it_is(tmp_path: Path) -> None:
    recorded = (DATA / "identity.json").read_bytes()
    (tmp_path / IDENTITY_NAME).write_bytes(recorded)
    identity = load_identity(tmp_path, "core-1", "10.0.0.1:7001", bootstrap=True, seeds=())
    assert identity.replica_id == "fe58d9ae5b2627ea"
    assert identity.first_members == ("10.0.0.1:7001", "10.0.0.2:7001", "10.0.0.3:7001")
    assert (tmp_path / IDENTITY_NAME).read_bytes() == recorded


def test_the_first_identity_of_a_disk_has_the_recorded_bytes(tmp_path: Path) -> None:
    seeds = ("10.0.0.1:7001", "10.0.0.2:7001", "10.0.0.3:7001")
    load_identity(tmp_path, "core-1", seeds[0], bootstrap=True, seeds=seeds)
    assert (tmp_path / IDENTITY_NAME).read_bytes() == (DATA / "identity.json").read_bytes()


def test_the_head_of_an_internal_frame_is_as_recorded() -> None:
    heads = [HEADER.pack(MAGIC, VERSION, kind, method, 7, 11).hex() for kind in Kind for method in Method]
    assert heads == json.loads((DATA / "frame-heads.json").read_text())


def test_the_recorded_frame_heads_name_all_kinds_and_methods() -> None:
    assert ([int(kind) for kind in Kind], [int(method) for method in Method]) == ([1, 2, 3, 4], [1, 2, 3, 4])

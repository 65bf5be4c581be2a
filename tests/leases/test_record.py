"""Records on a planner's disk: malformed ones are refused with their cause."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from granitewell.leases.record import FOUNDED, RECOVERED, MalformedRecordError, Record, read
from granitewell.leases.types import (
    State,
)
from tests.leases.planner import (
    FIRST,
    FLEET,
    INCARNATIONS,
    SteppedPlanner,
)


@pytest.mark.parametrize(
    ("changed", "words"),
    [
        ({"v": 2}, "found version 2, this node reads up to 1"), ({"v": None}, "no version"),
        ({"term": -1}, "term: found -1"), ({"lives": [1, 2]}, "lives: found"),
        ({"voted": "p1"}, "voted: found"),
        ({"voted": ["p1", "x"]}, "voted: found"), ({"sworn": "maybe"}, "sworn: found 'maybe'"),
        ({"epoch": True}, "epoch: found True"), ({"fleet": 1 << 63}, "fleet: found"),
    ],
)  # fmt: skip
def test_a_malformed_record_is_refused_with_its_cause(changed: dict[str, object], words: str) -> None:
    good = Record(1, FLEET.fleet, INCARNATIONS[0], RECOVERED, FIRST + 7, ("p1", 8), 9, INCARNATIONS)
    assert read(good.write(), 3) == good
    with pytest.raises(MalformedRecordError, match=words.replace("[", r"\[")):
        read(json.dumps(json.loads(good.write()) | changed).encode(), 3)
    missing = {k: v for k, v in json.loads(good.write()).items() if k != "term"}
    with pytest.raises(MalformedRecordError, match="KeyError at 'term'"):
        read(json.dumps(missing).encode(), 3)


def test_a_truncated_or_foreign_record_is_refused() -> None:
    good = Record(1, FLEET.fleet, INCARNATIONS[1], FOUNDED, FIRST + 7, None, 0, INCARNATIONS)
    for length in range(len(good.write())):
        with pytest.raises(MalformedRecordError):
            read(good.write()[:length], 3)
    for bad in (replace(good, fleet=5), replace(good, epoch=2)):
        with pytest.raises(MalformedRecordError, match="allowed are up to 1|new epoch"):
            SteppedPlanner(bad)
    assert SteppedPlanner(good, epoch=2).machine.state is State.BLANK  # a new epoch starts without a record

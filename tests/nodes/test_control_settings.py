"""Settings that the control role requires at its start."""

from __future__ import annotations

from random import Random

import pytest

from granitewell.domain.errors import InvalidSettingsError
from granitewell.domain.settings import Settings
from granitewell.nodes.control import ControlNode

FIELDS = {
    "node-name": "core-1",
    "ip": "10.0.0.1",
    "zone": "z",
    "region": "r",
    "internal-ports": [7660, 7675],
    "seeds": ["10.0.0.1:8146"],
    "cloud": {"address": "10.0.0.200:80"},
}


@pytest.mark.parametrize(
    ("more", "field"),
    [
        ({"listen": {"control": "10.0.0.1:8146"}}, "data-dir"),
        ({"listen": {}, "data-dir": "/nowhere"}, "listen.control"),
    ],
)
def test_a_field_that_only_this_role_needs_is_named(more: dict[str, object], field: str) -> None:
    with pytest.raises(InvalidSettingsError) as raised:
        ControlNode(Settings.from_dict(FIELDS | more), Random(1))
    assert raised.value.field == field

"""Unusual platform settings.

Unknown keys, missing optional ones, no tenants, one class, extreme but valid figures. Valid settings serve a
request; invalid ones are rejected with the name of the field.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from granitewell.config import ConfigError, load
from granitewell.net.loop import Node
from tests.exchange_player import settings
from tests.fake_peers import FakeDiscovery, FakeEndpoint, add_endpoints, receive_until, send
from tests.in_process_node import connect_client, run_with_node, wait_until
from tests.test_config import write

OPTIONAL = ("stats", "tenants", "models", "zones", "discovery")
VALID: dict[str, dict[str, Any]] = {
    "unknown keys": {"moonPhase": {"full": [1, 2]}, "classes.0.colour": "red", "contract.extra": None},
    "no tenants": {"tenants": []},
    "one class": {"classes": [{"name": "only-one", "effect": "pure", "aimMs": 1.0, "giveUpMs": 60000.0}]},
    "no allowance": {"tenants": [{"name": "guest", "share": 1.0, "allowancePerS": None}]},
    "nothing is cold": {"contract.rampTimeMs": 0.0, "contract.fallMs": 0.0, "contract.coldFrom": 1.0},
    "a grace of nothing": {"contract.drainGraceMs": 0.0},
    "one attempt": {"allowed.maxAttempts": 1, "allowed.parallelTries": False, "allowed.cancel": False},
    "one node": {"balancers": 1},
    "ten thousand nodes": {"balancers": 10000},
    "an aim of nothing": {"classes.0.aimMs": 0.0, "classes.1.aimMs": 0.0},
    "worth nothing": {"classes.0.value": 0.0, "classes.1.value": 0.0, "overShareWorth": 0.0},
    "keyed by cell": {"classes.0.effect": "token", "classes.0.keyScope": "cell", "classes.0.windowMs": 0.0},
    "asked for": {"discovery": "on_request", "contract.mustAskInMs": 1.0},
    "no reports": {"stats": {"how": "silent"}},
    "a report of names unheard": {"stats": {"how": "piggyback", "fields": ["vibes"]}},
}


def settings_with(changes: dict[str, Any]) -> dict[str, Any]:
    """Return the settings with these changes, given by path."""
    text = settings()
    for path, value in changes.items():
        at: Any = text
        *way, last = path.split(".")
        for part in way:
            at = at[int(part)] if part.isdigit() else at[part]
        at[last] = value
    return text


@pytest.mark.parametrize("what", VALID)
def test_valid_settings_are_served(tmp_path: Path, what: str) -> None:
    text = settings_with(VALID[what])
    cls = text["classes"][0]
    method = "GET" if cls["effect"] == "pure" else "POST"

    async def scenario(node: Node) -> None:
        endpoint, client = FakeEndpoint(), connect_client(node)
        add_endpoints(node, endpoint)
        head = f"{method} /{cls['name']} HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout-Ms: 20000\r\n"
        await send(client, f"{head}Content-Length: 0\r\n\r\n".encode())
        await wait_until(lambda: endpoint.requests)
        await endpoint.respond()
        assert (await receive_until(client, b"ok")).startswith(b"HTTP/1.1 200")
        client.close()
        await endpoint.close()

    assert not [x for x in run_with_node(tmp_path, scenario, settings=text) if x.startswith("fault")]


@pytest.mark.parametrize("key", OPTIONAL)
def test_optional_settings_may_be_left_out(tmp_path: Path, key: str) -> None:
    text = settings()
    del text[key]
    assert load(write(tmp_path, settings=text)).settings.classes


INVALID = {
    "classes": [], "classes.0.giveUpMs": 0, "classes.0.effect": "magic", "classes.0.aimMs": "soon",
    "contract.coldFrom": 0.0, "contract.fallMultiple": -1.0, "allowed.maxAttempts": 0, "balancers": 0,
    "classes.1.name": "taxi-lookup", "allowed.dialTimeoutMs": 0,
}  # fmt: skip


@pytest.mark.parametrize("path", INVALID)
def test_invalid_settings_are_rejected_with_their_field(tmp_path: Path, path: str) -> None:
    with pytest.raises(ConfigError) as error:
        load(write(tmp_path, settings=settings_with({path: INVALID[path]})))
    field = path.rpartition(".")[2]
    plain = str(error.value).replace("_", "").lower()
    named = {"balancers": "proxies"}.get(field, field)  # the name that the balancing settings use
    assert field.lower() in plain or named in plain


def test_lists_with_duplicates_and_unknown_phases_are_accepted(tmp_path: Path) -> None:
    async def scenario(node: Node) -> None:
        endpoint, discovery = FakeEndpoint(), FakeDiscovery()
        discovery.set_endpoints((endpoint, "sleeping"), (endpoint, "ready"), (endpoint, "ready"))
        from granitewell.net.discovery import PUSHED_TIMEOUTS

        node.discovery.watch(discovery.address, PUSHED_TIMEOUTS)
        await wait_until(lambda: node._core._endpoints)
        assert node._core._endpoints[endpoint.name].unavailable_since_us < 0  # the last entry counts
        discovery.set_endpoints()  # a valid empty list
        await wait_until(lambda: node._core._endpoints[endpoint.name].unavailable_since_us >= 0)
        assert node.discovery._task is not None
        node.discovery._task.cancel()
        await discovery.close()
        await endpoint.close()

    assert not [x for x in run_with_node(tmp_path, scenario) if x.startswith(("fault", "discovery"))]

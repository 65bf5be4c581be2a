"""Settings of other customers.

Unknown keys, optional ones left out, no tenants, one class, absurd but legal figures. Each serves a request
as its settings say; what can't be served is refused with the field named.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from granitewell.config import ConfigError, load
from granitewell.net.loop import Node
from tests.desk import Bureau, Desk, heard, sent, serves
from tests.play import settings
from tests.shell import client_of, played, until
from tests.test_config import write

OPTIONAL = ("stats", "tenants", "models", "zones", "discovery")
LEGAL: dict[str, dict[str, Any]] = {
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


def changed(changes: dict[str, Any]) -> dict[str, Any]:
    """The settings with these changes, each named by its path."""
    text = settings()
    for path, value in changes.items():
        at: Any = text
        *way, last = path.split(".")
        for part in way:
            at = at[int(part)] if part.isdigit() else at[part]
        at[last] = value
    return text


@pytest.mark.parametrize("what", LEGAL)
def test_whatever_is_legal_is_served(tmp_path: Path, what: str) -> None:
    text = changed(LEGAL[what])
    cls = text["classes"][0]
    method = "GET" if cls["effect"] == "pure" else "POST"

    async def scenario(node: Node) -> None:
        desk, client = Desk(), client_of(node)
        serves(node, desk)
        head = f"{method} /{cls['name']} HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout-Ms: 20000\r\n"
        await sent(client, f"{head}Content-Length: 0\r\n\r\n".encode())
        await until(lambda: desk.asked)
        await desk.answer()
        assert (await heard(client, b"ok")).startswith(b"HTTP/1.1 200")
        client.close()
        await desk.close()

    assert not [x for x in played(tmp_path, scenario, settings=text) if x.startswith("fault")]


@pytest.mark.parametrize("key", OPTIONAL)
def test_what_is_optional_may_be_left_out(tmp_path: Path, key: str) -> None:
    text = settings()
    del text[key]
    assert load(write(tmp_path, settings=text)).settings.classes


WRONG = {
    "classes": [], "classes.0.giveUpMs": 0, "classes.0.effect": "magic", "classes.0.aimMs": "soon",
    "contract.coldFrom": 0.0, "contract.fallMultiple": -1.0, "allowed.maxAttempts": 0, "balancers": 0,
    "classes.1.name": "taxi-lookup", "allowed.dialTimeoutMs": 0,
}  # fmt: skip


@pytest.mark.parametrize("path", WRONG)
def test_what_cannot_be_served_is_refused_with_its_field(tmp_path: Path, path: str) -> None:
    with pytest.raises(ConfigError) as error:
        load(write(tmp_path, settings=changed({path: WRONG[path]})))
    field = path.rpartition(".")[2]
    plain = str(error.value).replace("_", "").lower()
    named = {"balancers": "proxies"}.get(field, field)  # by the module's own name
    assert field.lower() in plain or named in plain


def test_lists_with_doubled_entries_and_phases_unheard_do_no_harm(tmp_path: Path) -> None:
    async def scenario(node: Node) -> None:
        desk, bureau = Desk(), Bureau()
        bureau.lists((desk, "sleeping"), (desk, "ready"), (desk, "ready"))
        from granitewell.net.discovery import PUSHED_TIMEOUTS

        node.discovery.watch(bureau.address, PUSHED_TIMEOUTS)
        await until(lambda: node._core._endpoints)
        assert node._core._endpoints[desk.name].unavailable_since_us < 0  # the last entry counts
        bureau.lists()  # rightly empty
        await until(lambda: node._core._endpoints[desk.name].unavailable_since_us >= 0)
        assert node.discovery._task is not None
        node.discovery._task.cancel()
        await bureau.close()
        await desk.close()

    assert not [x for x in played(tmp_path, scenario) if x.startswith(("fault", "discovery"))]

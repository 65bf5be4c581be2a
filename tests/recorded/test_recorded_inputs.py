"""Files that operators and the platform write, and the operator API: read and answered as recorded.

The answers in `data/` were recorded from the program as it stood on 2026-12-02 (7ee4f05).
`python -m tests.recorded.test_recorded_inputs` records what has no file yet.
"""

from __future__ import annotations

import json
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
import orjson
import pytest

from granitewell.domain.errors import InvalidSettingsError
from granitewell.domain.settings import parse_settings
from granitewell.operator.load import load
from granitewell.operator.registry import OperatorFile
from tests.controlplane.test_configuration_examples import patch, put_change, route, whole
from tests.controlplane.test_operator_api import ApiHarness, run_scenario
from tests.recorded.samples import DATA

SETTINGS = DATA / "settings.json"
OPERATOR_FILE = DATA / "operator.toml"
RECORDED_HEADERS = ("Content-Type", "Retry-After", "Location", "Allow")


def values(item: Any) -> Any:
    """All values of a typed object in the order in which its type declares them, without any name."""
    if isinstance(item, Enum):
        return item.value
    if is_dataclass(item):
        return [values(getattr(item, field.name)) for field in fields(item)]
    if isinstance(item, msgspec.Struct):
        return [values(getattr(item, name)) for name in item.__struct_fields__]
    if isinstance(item, dict):
        return {str(key): values(value) for key, value in item.items()}
    if isinstance(item, list | tuple):
        return [values(value) for value in item]
    return item


def settings_values() -> Any:
    """The settings file as the program reads it."""
    return values(parse_settings(SETTINGS.read_bytes()))


def operator_values() -> Any:
    """The operator file as the program reads it."""
    made, _ = load(str(OPERATOR_FILE), OperatorFile)
    return values(made)


def settings_refusals() -> Any:
    """The error for each field of the settings file that is missing, or of another type."""
    document = json.loads(SETTINGS.read_bytes())
    found = {}
    for name in document:
        for changed in (
            {key: value for key, value in document.items() if key != name},
            document | {name: "?"},
        ):
            try:
                parse_settings(json.dumps(changed).encode())
            except InvalidSettingsError as error:
                found[f"{name}{'' if name in changed else ' missing'}"] = str(error)
    for name in document["bounds"]:
        try:
            parse_settings(json.dumps(document | {"bounds": {name: []}}).encode())
        except InvalidSettingsError as error:
            found[f"bounds.{name}"] = str(error)
    return found


REQUESTS: list[tuple[str, dict[str, str], Any]] = [
    ("GET", {}, None),
    ("PUT", {}, whole(9)),
    ("PUT", {"If-Match": "0"}, whole(9)),
    ("PUT", {"If-Match": "x"}, whole(9)),
    ("PUT", {"If-Match": '"5"'}, b"{"),
    ("PUT", {"If-Match": "5"}, []),
    ("PUT", {"If-Match": "5"}, whole(5)),
    ("PUT", {"If-Match": "5"}, {"version": 9}),
    (
        "PUT",
        {"If-Match": "5"},
        {"version": 9, "routes": [], "services": [], "limits": {"max-body-bytes": "x"}},
    ),
    ("PATCH", {"If-Match": "4"}, patch(9)),
    ("PATCH", {"If-Match": "5"}, patch(9, {"routes": [route("c", timeout_ms=0)]})),
    ("PATCH", {"If-Match": "5"}, patch(9, remove={"services": ["plain"]})),
    ("PATCH", {"If-Match": "5"}, patch(9, remove={"routes": ["b"]})),
    ("PATCH", {"If-Match": "5"}, patch(9, remove={"routes": ["b"]})),
    ("PATCH", {"If-Match": "9"}, patch(10, {"routes": [route("d")]})),
    ("PATCH", {"If-Match": "5"}, patch(9, remove={"routes": ["b"]})),
    ("GET", {}, None),
    ("DELETE", {}, None),
]


def operator_answers() -> Any:
    """Status, headers and body of the answer to each request, sent one after the other."""
    answers: list[Any] = []

    async def scenario(harness: ApiHarness) -> None:
        for method, headers, document in REQUESTS:
            body = document if isinstance(document, bytes) else orjson.dumps(document)
            response = await harness.client.request(
                method,
                "/config",
                data=None if document is None else body,
                headers=headers,
                allow_redirects=False,
            )
            shown = {name: response.headers[name] for name in RECORDED_HEADERS if name in response.headers}
            answers.append([response.status, shown, (await response.read()).decode()])
        missing = await harness.client.get("/other")
        answers.append([missing.status, {}, (await missing.read()).decode()])
        harness.group.leases, harness.group.lease, harness.group.leader = [], False, "10.0.0.2:7660"
        moved = await harness.get()
        answers.append([moved.status, {"Location": moved.headers["Location"]}, (await moved.read()).decode()])
        harness.group.leader = None
        absent = await harness.get()
        answers.append(
            [absent.status, {"Retry-After": absent.headers["Retry-After"]}, (await absent.read()).decode()]
        )

    run_scenario(scenario, put_change(0, whole(5)))
    return answers


RECORDINGS = {
    "settings-values": settings_values,
    "settings-refusals": settings_refusals,
    "operator-values": operator_values,
    "operator-answers": operator_answers,
}


def path_of(name: str) -> Path:
    """The file of a recording."""
    return DATA / f"{name}.json"


@pytest.mark.parametrize("name", RECORDINGS)
def test_what_the_program_makes_of_its_input_is_as_recorded(name: str) -> None:
    assert RECORDINGS[name]() == json.loads(path_of(name).read_text())


def test_the_recorded_operator_file_has_every_table() -> None:
    made, _ = load(str(OPERATOR_FILE), OperatorFile)
    text = OPERATOR_FILE.read_text()
    assert all(f"\n[{name}]" in text for name in made.__struct_fields__)


if __name__ == "__main__":
    for recording, record in RECORDINGS.items():
        if not path_of(recording).exists():
            path_of(recording).write_text(json.dumps(record(), indent=1) + "\n")

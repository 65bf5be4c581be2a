"""What the commands of `config` do."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import orjson

from granitewell.cli.system.control_client import ControlClient, Method
from granitewell.cli.system.differences import differences
from granitewell.cli.system.errors import UnusableAddressError, UnusableFileError
from granitewell.cli.system.exit_codes import ExitCode
from granitewell.controlplane.configuration.change import Change, Operation
from granitewell.controlplane.configuration.checks import ConfigurationPatch, read_patch
from granitewell.controlplane.configuration.state import EMPTY, ConfigurationState, changed
from granitewell.domain.errors import InvalidConfigurationError, InvalidSettingsError
from granitewell.domain.settings import read_settings, settings_path

MAX_FILE = 64 * 1024 * 1024  # bytes of a configuration

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class Target:
    """Which control nodes are asked, and for how long.

    Attributes:
        control: As on the command line, "" for the seeds.
    """

    control: str
    patience_s: float

    def addresses(self) -> tuple[str, ...]:
        """Checked; raises UnusableAddressError."""
        if not self.control:
            return _seeds()
        addresses = tuple(part.strip() for part in self.control.split(","))
        for address in addresses:
            _check_address(address)
        return addresses


def get(target: Target) -> int:
    """Print the newest configuration."""
    document = _asked(target, lambda client: client.get())
    print(_indented(_parsed(document, "the answer")))
    return ExitCode.GOOD


def put(target: Target, file: str, if_match: int | None) -> int:
    """Replace the configuration."""
    body = _read(file)
    _at_file(file, lambda: _whole(body))
    return _send(target, Method.PUT, file, body, if_match)


def patch(target: Target, file: str, if_match: int | None) -> int:
    """Alter the configuration."""
    body = _read(file)
    _at_file(file, lambda: _patch_alone(body))
    return _send(target, Method.PATCH, file, body, if_match)


def check(file: str, on: str) -> int:
    """Whether a file would be taken."""
    body = _read(file)
    if _is_patch(body) and not on:
        found = _at_file(file, lambda: _patch_alone(body))
        print(f"{file}: good by itself, a patch to version {found.version}; --on FILE checks the result")
        return ExitCode.GOOD
    whole = _patched(file, body, _read(on), on) if on else body
    configuration = _at_file(file, lambda: _whole(whole)).configuration
    counts = f"{len(configuration.routes)} routes, {len(configuration.services)} services"
    print(f"{file}: good, version {configuration.version}: {counts}")
    return ExitCode.GOOD


def diff(target: Target, file: str, against: str) -> int:
    """What a file, a whole configuration or a patch, would change."""
    body = _read(file)
    before = _read(against) if against else _asked(target, lambda client: client.get())
    source = against or "the answer"
    after = _patched(file, body, before, source) if _is_patch(body) else body
    found = differences(_parsed(before, source), _parsed(after, file))
    for difference in found:
        print(difference.text())
    return ExitCode.BAD_OUTCOME if found else ExitCode.GOOD


def _send(target: Target, method: Method, file: str, body: bytes, if_match: int | None) -> int:
    sent = _parsed(body, file)["version"]

    async def send(client: ControlClient) -> str:
        base = await client.version() if if_match is None else if_match
        now = await client.change(method, body, base)
        if now is None or now == sent:
            return f"taken: version {sent}, on top of {base}"
        return f"taken before: version {sent}; version {now} is in force now"

    print(_asked(target, send))
    return ExitCode.GOOD


def _asked(target: Target, ask: Callable[[ControlClient], Awaitable[Result]]) -> Result:
    """The result of one or more calls."""
    from granitewell.cli.system.http_sender import ask_control  # aiohttp is slow to import

    return asyncio.run(ask_control(target.addresses(), target.patience_s, ask))


def _seeds() -> tuple[str, ...]:
    path = settings_path()
    try:
        seeds = read_settings(path).seeds
    except InvalidSettingsError as error:
        raise UnusableAddressError(f"no --control, and no settings to take seeds from: {error}") from error
    if not seeds:
        raise UnusableAddressError(f"no --control, and no seeds in {path}")
    return seeds


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise UnusableAddressError(f"--control: {address!r} is no ip:port")


def _read(path: str) -> bytes:
    try:
        with Path(path).open("rb") as file:
            body = file.read(MAX_FILE + 1)
    except OSError as error:
        raise UnusableFileError(path, error.strerror or "can't be read") from error
    if len(body) > MAX_FILE:
        raise UnusableFileError(path, f"over {MAX_FILE} bytes")
    return body


def _at_file(path: str, check: Callable[[], Result]) -> Result:
    """The outcome of a check, with the file's name before what is wrong."""
    try:
        return check()
    except InvalidConfigurationError as error:
        raise UnusableFileError(path, str(error)) from error


def _is_patch(body: bytes) -> bool:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return False
    return isinstance(document, dict) and ("upsert" in document or "remove" in document)


def _whole(body: bytes) -> ConfigurationState:
    """A whole configuration by itself; raises InvalidConfigurationError."""
    return changed(EMPTY, Change(Operation.PUT, EMPTY.version, body))


def _patch_alone(body: bytes) -> ConfigurationPatch:
    """A patch, as far as it can be checked without what it alters; raises InvalidConfigurationError."""
    return read_patch(body, EMPTY.version, EMPTY.current_routes(), EMPTY.current_services())


def _patched(file: str, patch: bytes, whole: bytes, source: str) -> bytes:
    """A whole configuration after a patch.

    Args:
        file, source: Where patch and whole are from, for messages.
    """
    state = _at_file(source, lambda: _whole(whole))
    change = Change(Operation.PATCH, state.version, patch)
    return _at_file(file, lambda: changed(state, change)).document()


def _parsed(document: bytes, source: str) -> dict[str, Any]:
    """A JSON object."""
    try:
        parsed = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        raise UnusableFileError(source, f"not JSON: {error}") from error
    if not isinstance(parsed, dict):
        raise UnusableFileError(source, "not a JSON object")
    return parsed


def _indented(document: dict[str, Any]) -> str:
    return json.dumps(document, indent=2, ensure_ascii=False)

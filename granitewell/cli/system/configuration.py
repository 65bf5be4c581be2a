"""Implements the commands of `config`."""

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

MAX_FILE_BYTES = 64 * 1024 * 1024  # size limit of a configuration file

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class Target:
    """The control nodes to call, and the total timeout.

    Attributes:
        control: The value of `--control`; "" selects the seeds of the settings file.
    """

    control: str
    total_timeout_s: float

    def addresses(self) -> tuple[str, ...]:
        """Return the validated addresses.

        Raises:
            UnusableAddressError: An address is not `ip:port`, or there is none.
        """
        if not self.control:
            return _seed_addresses()
        addresses = tuple(part.strip() for part in self.control.split(","))
        for address in addresses:
            _check_address(address)
        return addresses


def get(target: Target) -> int:
    """Print the newest configuration."""
    document = _run_calls(target, lambda client: client.get())
    print(_indented(_parse_object(document, "the answer")))
    return ExitCode.GOOD


def put(target: Target, file: str, if_match: int | None) -> int:
    """Replace the configuration."""
    body = _read_file(file)
    _with_file_name(file, lambda: _parse_configuration(body))
    return _send(target, Method.PUT, file, body, if_match)


def patch(target: Target, file: str, if_match: int | None) -> int:
    """Alter the configuration."""
    body = _read_file(file)
    _with_file_name(file, lambda: _parse_patch(body))
    return _send(target, Method.PATCH, file, body, if_match)


def check(file: str, on: str) -> int:
    """Check whether a control node would accept a file."""
    body = _read_file(file)
    if _is_patch(body) and not on:
        found = _with_file_name(file, lambda: _parse_patch(body))
        print(f"{file}: good by itself, a patch to version {found.version}; --on FILE checks the result")
        return ExitCode.GOOD
    whole = _apply_patch(file, body, _read_file(on), on) if on else body
    configuration = _with_file_name(file, lambda: _parse_configuration(whole)).configuration
    counts = f"{len(configuration.routes)} routes, {len(configuration.services)} services"
    print(f"{file}: good, version {configuration.version}: {counts}")
    return ExitCode.GOOD


def diff(target: Target, file: str, against: str) -> int:
    """Print what a whole configuration or a patch would change."""
    body = _read_file(file)
    before = _read_file(against) if against else _run_calls(target, lambda client: client.get())
    source = against or "the answer"
    after = _apply_patch(file, body, before, source) if _is_patch(body) else body
    found = differences(_parse_object(before, source), _parse_object(after, file))
    for difference in found:
        print(difference.text())
    return ExitCode.BAD_OUTCOME if found else ExitCode.GOOD


def _send(target: Target, method: Method, file: str, body: bytes, if_match: int | None) -> int:
    sent = _parse_object(body, file)["version"]

    async def send(client: ControlClient) -> str:
        base = await client.version() if if_match is None else if_match
        now = await client.change(method, body, base)
        if now is None or now == sent:
            return f"taken: version {sent}, on top of {base}"
        return f"taken before: version {sent}; version {now} is in force now"

    print(_run_calls(target, send))
    return ExitCode.GOOD


def _run_calls(target: Target, ask: Callable[[ControlClient], Awaitable[Result]]) -> Result:
    """Run one or more calls to the control nodes and return the result."""
    from granitewell.cli.system.http_sender import ask_control  # aiohttp is slow to import

    return asyncio.run(ask_control(target.addresses(), target.total_timeout_s, ask))


def _seed_addresses() -> tuple[str, ...]:
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


def _read_file(path: str) -> bytes:
    try:
        with Path(path).open("rb") as file:
            body = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise UnusableFileError(path, error.strerror or "can't be read") from error
    if len(body) > MAX_FILE_BYTES:
        raise UnusableFileError(path, f"over {MAX_FILE_BYTES} bytes")
    return body


def _with_file_name(path: str, check: Callable[[], Result]) -> Result:
    """Run a check; an error is raised again with the file's name in front."""
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


def _parse_configuration(body: bytes) -> ConfigurationState:
    """Parse a whole configuration.

    Raises:
        InvalidConfigurationError: It is not valid.
    """
    return changed(EMPTY, Change(Operation.PUT, EMPTY.version, body))


def _parse_patch(body: bytes) -> ConfigurationPatch:
    """Parse a patch and check what can be checked without the configuration that it changes.

    Raises:
        InvalidConfigurationError: It is not valid.
    """
    return read_patch(body, EMPTY.version, EMPTY.current_routes(), EMPTY.current_services())


def _apply_patch(file: str, patch: bytes, whole: bytes, source: str) -> bytes:
    """Apply a patch to a whole configuration.

    Args:
        file: The file of the patch, for error messages.
        patch: The patch, JSON.
        whole: The configuration to change, JSON.
        source: Where `whole` comes from, for error messages.
    """
    state = _with_file_name(source, lambda: _parse_configuration(whole))
    change = Change(Operation.PATCH, state.version, patch)
    return _with_file_name(file, lambda: changed(state, change)).document()


def _parse_object(document: bytes, source: str) -> dict[str, Any]:
    """Parse a JSON object."""
    try:
        parsed = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        raise UnusableFileError(source, f"not JSON: {error}") from error
    if not isinstance(parsed, dict):
        raise UnusableFileError(source, "not a JSON object")
    return parsed


def _indented(document: dict[str, Any]) -> str:
    return json.dumps(document, indent=2, ensure_ascii=False)

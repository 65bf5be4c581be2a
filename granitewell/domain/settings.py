"""The settings file of a process, and its validation. Unknown fields are ignored."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path

from mashumaro import DataClassDictMixin, field_options
from mashumaro.config import BaseConfig
from mashumaro.exceptions import InvalidFieldValue, MissingField

from granitewell.domain.errors import InvalidSettingsError

PATH_VARIABLE = "GRANITEWELL_NODE_FILE"
DEFAULT_PATH = "/etc/granitewell/boot.json"
LIST_FIELDS = ("seeds", "internal-ports", "contracts")  # mashumaro would read a string as a list


class SettingsFields(DataClassDictMixin):
    """A part of the settings file."""

    class Config(BaseConfig):
        """Lets mashumaro generate code only on first use, which saves a third of the import time."""

        lazy_compilation = True


@dataclass(frozen=True)
class Listen(SettingsFields):
    """Addresses (`ip:port`) that the role listens on; None for those that it does not use."""

    front: str | None = None
    ready: str | None = None
    control: str | None = None


@dataclass(frozen=True)
class ProcessLimits(SettingsFields):
    """Resources that this process may use."""

    cpu_share: float = field(default=1.0, metadata=field_options(alias="cpu-share"))
    cores: float = 1
    memory_mb: float = field(default=256, metadata=field_options(alias="memory-mb"))
    max_fds: int = field(default=1024, metadata=field_options(alias="max-fds"))
    link_mbps: float = field(default=1000.0, metadata=field_options(alias="link-mbps"))
    disk_mb: float = field(default=0, metadata=field_options(alias="disk-mb"))


@dataclass(frozen=True)
class FaultTolerance(SettingsFields):
    """How many machines, zones and regions may fail at the same time."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True)
class Bounds(SettingsFields):
    """Limits set by the operators that the programs use; the file contains more."""

    seed_lag_s: float = field(default=3, metadata=field_options(alias="seed-lag-s"))
    reuse_after_s: float = field(default=2, metadata=field_options(alias="reuse-after-s"))
    contact_ms: float = field(default=3_000, metadata=field_options(alias="contact-ms"))
    ack_ms: float = field(default=4_000, metadata=field_options(alias="ack-ms"))
    catch_up_s: float = field(default=4, metadata=field_options(alias="catch-up-s"))
    drain_ms: float = field(default=3_000, metadata=field_options(alias="drain-ms"))
    grace_s: float = field(default=8, metadata=field_options(alias="grace-s"))
    config_apply_ms: float = field(default=2_000, metadata=field_options(alias="config-apply-ms"))
    retry_budget_ratio: float = field(default=0.2, metadata=field_options(alias="retry-budget-ratio"))
    retry_window_s: float = field(default=10, metadata=field_options(alias="retry-window-s"))
    retry_budget_slack: float = field(default=0, metadata=field_options(alias="retry-budget-slack"))
    pass_ms: float = 120
    fencing: bool = True
    lease_ms: float = field(default=3_000, metadata=field_options(alias="lease-ms"))
    thaw_ms: float = field(default=300, metadata=field_options(alias="thaw-ms"))
    load_rate_window_s: float = field(default=5, metadata=field_options(alias="ceiling-window-s"))
    load_rate_tolerance: float = field(default=1.1, metadata=field_options(alias="ceiling-overage"))


@dataclass(frozen=True)
class Platform(SettingsFields):
    """Where the platform's list of servers is.

    Attributes:
        address: `ip:port`.
        rate_per_s: Rate limit for calls of all nodes together, per second.
        lag_ms: Maximum age of the list, in milliseconds.
    """

    address: str
    rate_per_s: float = field(default=10.0, metadata=field_options(alias="rate-per-s"))
    lag_ms: float = field(default=1_000, metadata=field_options(alias="lag-ms"))


@dataclass(frozen=True)
class Settings(SettingsFields):
    """Settings of a process, read at its start and whenever the file changes."""

    node_name: str = field(metadata=field_options(alias="node-name"))
    ip: str
    zone: str
    region: str
    listen: Listen
    internal_ports: tuple[int, int] = field(metadata=field_options(alias="internal-ports"))
    seeds: tuple[str, ...]
    cloud: Platform
    role: str = ""
    zones: Mapping[str, str] = field(default_factory=dict)
    bootstrap: bool = False
    counts_for_quorum: bool | None = field(default=None, metadata=field_options(alias="counts-for-quorum"))
    limits: ProcessLimits = field(default_factory=ProcessLimits)
    data_dir: str | None = field(default=None, metadata=field_options(alias="data-dir"))
    heartbeat_ms: float = field(default=1_000, metadata=field_options(alias="heartbeat-ms"))
    contracts: tuple[str, ...] = ()
    fault_tolerance: FaultTolerance = field(
        default_factory=FaultTolerance, metadata=field_options(alias="fault-tolerance")
    )
    bounds: Bounds = field(default_factory=Bounds)

    @property
    def control_rpc_port(self) -> int:
        """Internal port of the control role, the same on every machine."""
        return self.internal_ports[0]

    @property
    def may_vote(self) -> bool:
        """Whether a control process on this machine may host replicas.

        That takes a disk, and a machine that counts for the quorum: others may be lost at any time, in any
        number, beyond what `fault-tolerance` states. Files from before `counts-for-quorum` was introduced
        lack the field; their machines count.
        """
        return self.data_dir is not None and self.counts_for_quorum is not False


def settings_path() -> Path:
    """Return the path of this process's settings file."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read_settings(path: Path) -> Settings:
    """Read and validate a settings file; raises InvalidSettingsError with the field."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise InvalidSettingsError(str(path), error.strerror or "can't be read") from error
    return parse_settings(text)


def parse_settings(text: bytes) -> Settings:
    """Parse and validate settings; raises InvalidSettingsError with the field."""
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise InvalidSettingsError("file", f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise InvalidSettingsError("file", "not an object")
    for name in LIST_FIELDS:
        if not isinstance(document.get(name, []), list):
            raise InvalidSettingsError(name, f"not a list: {document[name]!r}")
    try:
        return Settings.from_dict(document)
    except (MissingField, InvalidFieldValue) as error:
        raise _wrong_field(error) from error
    except (ValueError, TypeError, AttributeError) as error:
        raise InvalidSettingsError("file", str(error)) from error


def _wrong_field(error: MissingField | InvalidFieldValue) -> InvalidSettingsError:
    """Return the error for the innermost invalid field, with its path such as `bounds.lease-ms`."""
    path = _wire_name(error)
    while isinstance(error, InvalidFieldValue):
        cause = error.__cause__ or error.__context__
        if not isinstance(cause, MissingField | InvalidFieldValue):
            return InvalidSettingsError(path, f"not of its type: {error.field_value!r}")
        error = cause
        path = f"{path}.{_wire_name(error)}"
    return InvalidSettingsError(path, "missing")


def _wire_name(error: MissingField | InvalidFieldValue) -> str:
    for known in fields(error.holder_class):
        if known.name == error.field_name:
            return str(known.metadata.get("alias", known.name))
    return str(error.field_name)

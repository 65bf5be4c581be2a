"""Configuration of a node: the variables LB_* and the file LB_CONFIG as one frozen Config.

It is built at the start and again at each reload. The position of a name (class, tenant, zone, model) in its
tuple is the index by which the balancer knows it; `granitewell.balancing.simulator_protocol.parse_settings`
reads the balancer's settings. Values that the platform must provide have no defaults here. Each error is a
ConfigError that names the field.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, fields, replace
from typing import Any

from granitewell.balancing.interface import Effect, Settings
from granitewell.balancing.simulator_protocol import WireError, parse_settings
from granitewell.files import read_regular_file

RESTART_ONLY_FIELDS = (
    "name",
    "listen",
    "cores",
    "sockets",
    "memory_mb",
    "console",
    "inherited",
    "known",
    "seed",
)
_HOST = re.compile(r"\[?(?=.{1,253}\Z)[A-Za-z0-9_:%-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*\]?\Z")
_PORT = re.compile(r"[0-9]{1,5}\Z")
MAX_FILE_BYTES = 8 * 1024 * 1024  # room for the settings and the longest list that discovery may send
MAX_DESCRIPTORS = 1024  # the limit that the platform scores; a larger allowance is not used


class ConfigError(Exception):
    """Raised for an unusable configuration; the message is one line that names the field."""


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of one node.

    Attributes:
        known: The endpoint list as this node last received it, in the form of discovery; it may be outdated.
        report_names: Keys of a load report, in the order of `stats.fields`.
        console: Address of the operators' console, if there is one.
        inherited: Descriptor of the clients' listening socket that the platform passes on, or -1.
        active_classes: Classes that the file names now; `class_names` also has those that a reload removed.
        active_tenants: The same for tenants.
        raw: The file as it was parsed.
    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    cores: float
    sockets: int
    known: Mapping[str, Any]
    settings: Settings
    class_names: tuple[str, ...]
    effects: tuple[Effect, ...]
    tenant_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    kind_names: tuple[str, ...]
    report_names: tuple[str, ...]
    dial_timeout_us: int
    idle_connection_timeout_us: int
    max_open_requests: int
    console: tuple[str, int] | None = None
    memory_mb: float = 192.0
    inherited: int = -1
    active_classes: frozenset[str] = frozenset()
    active_tenants: frozenset[str] = frozenset()
    raw: Mapping[str, Any] = field(default_factory=dict, compare=False, repr=False)


def parse_address(text: Any, field: str) -> tuple[str, int]:
    """Parse an address of the form host:port.

    Raises:
        ConfigError: It has another form; the message starts with `field`.
    """
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    # checked before conversion: a number of 5,000 digits or a host label of 64 characters would raise other
    # errors further on
    if not colon or not _HOST.match(host) or not _PORT.match(port) or int(port) > 65535:
        raise ConfigError(f"{field}: {_abbreviate(text)} is not host:port")
    return host.strip("[]"), int(port)


def _abbreviate(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 80 else f"{text[:77]}..."


def _require_object(value: Any, field: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ConfigError(f"{field}: missing or not an object")
    return value


def _require_number(
    obj: Mapping[str, Any], key: str, field: str, default: float, minimum: float = 1
) -> float:
    value = obj.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value < 1e12:
        raise ConfigError(f"{field}: {value!r} is not a number of at least {minimum:g}")
    return float(value)


def _require_names(value: Any, field: str) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(isinstance(x, str) for x in value):
        raise ConfigError(f"{field}: not a list of names")
    for x in value:
        if not x.isprintable():  # a lone surrogate can't be encoded, and a header can't contain a line break
            raise ConfigError(f"{field}: {_abbreviate(x)} contains a character that is not printable")
    return tuple(value)


def _parse_seed(value: Any) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (TypeError, ValueError, OverflowError):
        raise ConfigError(f"seed: {value!r} is neither hexadecimal nor a number") from None


def _check_request_limits(raw: Mapping[str, Any]) -> None:
    """Check the limits that end every request, which must be present and above 0."""
    allowed = _require_object(raw.get("allowed"), "settings.allowed")
    _require_number(allowed, "maxAttempts", "settings.allowed.maxAttempts", 0.0)
    classes = raw.get("classes")
    if not isinstance(classes, list) or not classes:
        raise ConfigError("settings.classes: missing, empty or not a list")
    for k, cls in enumerate(classes):
        field = f"settings.classes[{k}]"
        _require_number(_require_object(cls, field), "giveUpMs", f"{field}.giveUpMs", 0.0, 0.001)


def _parse_descriptor(text: str) -> int:
    if not text:
        return -1
    if not _PORT.match(text):
        raise ConfigError(f"LB_INHERITED_FD: {_abbreviate(text)} is not a descriptor number")
    return int(text)


def load(env: Mapping[str, str]) -> Config:
    """Read the configuration of this process; the variables take precedence over the file.

    Raises:
        ConfigError: It can't be used.
    """
    return _build_config(env, _read_file(env))


def _read_file(env: Mapping[str, str]) -> dict[str, Any]:
    path = env.get("LB_CONFIG", "")
    if not path:
        raise ConfigError("LB_CONFIG: not set")
    try:
        text = json.loads(read_regular_file(path, MAX_FILE_BYTES))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"LB_CONFIG: {' '.join(str(error).split())}") from None
    return _require_object(text, "LB_CONFIG")


def _build_config(env: Mapping[str, str], document: dict[str, Any]) -> Config:
    raw = _require_object(document.get("settings"), "settings")
    _check_request_limits(raw)
    try:
        settings = parse_settings(json.dumps(raw).encode())
    except (WireError, ValueError, OverflowError, KeyError, TypeError, RecursionError) as error:
        raise ConfigError(" ".join(str(error).split())) from None
    class_names = _require_names([c.get("name") for c in raw["classes"]], "settings.classes[].name")
    if len(set(class_names)) < len(class_names):
        raise ConfigError("settings.classes[].name: duplicate name")
    limits = _require_object(document.get("limits", {}), "limits")
    allowed = _require_object(raw.get("allowed"), "settings.allowed")
    # The balancer's list has only the tenants with an allowance; the names must have the same indices.
    tenants = [t for t in raw.get("tenants", []) if t.get("allowancePerS") is not None]
    console = env.get("LB_CONSOLE") or document.get("console")
    stats = _require_object(raw.get("stats", {}), "settings.stats")
    return Config(
        name=env.get("LB_NAME") or str(document.get("name", "node")),
        listen=parse_address(env.get("LB_LISTEN") or document.get("listen"), "listen"),
        discovery=parse_address(env.get("LB_DISCOVERY") or document.get("discovery"), "discovery"),
        seed=_parse_seed(document.get("seed", 0)),
        cores=_require_number(limits, "cores", "limits.cores", 1.0, 0.01),
        sockets=min(int(_require_number(limits, "sockets", "limits.sockets", 1024, 64)), MAX_DESCRIPTORS),
        known=_require_object(document.get("known") or {}, "known"),
        settings=settings,
        class_names=class_names,
        effects=tuple(c.effect for c in settings.classes),
        tenant_names=(
            tenant_names := _require_names([t.get("name") for t in tenants], "settings.tenants[].name")
        ),
        active_classes=frozenset(class_names),
        active_tenants=frozenset(tenant_names),
        raw=document,
        zone_names=_require_names(raw.get("zones", []), "settings.zones"),
        kind_names=_require_names(raw.get("models", []), "settings.models"),
        report_names=_require_names(
            [] if stats.get("how") == "silent" else stats.get("fields", []), "settings.stats.fields"
        ),
        dial_timeout_us=int(
            1000 * _require_number(allowed, "dialTimeoutMs", "settings.allowed.dialTimeoutMs", 250)
        ),
        idle_connection_timeout_us=int(
            1000 * _require_number(allowed, "connIdleMs", "settings.allowed.connIdleMs", 10000)
        ),
        console=parse_address(console, "console") if console else None,
        memory_mb=_require_number(limits, "memory_mb", "limits.memory_mb", 192.0, 16),
        inherited=_parse_descriptor(env.get("LB_INHERITED_FD", "")),
        max_open_requests=int(_require_number(allowed, "mostHeld", "settings.allowed.mostHeld", 20000)),
    )


def reload(env: Mapping[str, str], check: Callable[[dict[str, Any]], None] | None = None) -> Config:
    """Read the configuration again, and validate the parsed file with `check` if it is given.

    LB_DISCOVERY is ignored: it dates from the start of the process and would take precedence over a file that
    names another address.

    Raises:
        ConfigError: It can't be used.
    """
    document = _read_file(env)
    if check is not None:
        check(document)
    return _build_config({k: v for k, v in env.items() if k != "LB_DISCOVERY"}, document)


def merge_reloadable_fields(old: Config, new: Config) -> Config:
    """Return the old configuration with every field of the new one that can change without a restart."""
    return replace(
        old, **{f.name: getattr(new, f.name) for f in fields(Config) if f.name not in RESTART_ONLY_FIELDS}
    )


def fields_requiring_restart(old: Config, new: Config) -> list[str]:
    """Return the changed fields that only a restart can apply.

    The endpoint list and the seed are left out, as they matter only at the start.
    """
    return [
        n for n in RESTART_ONLY_FIELDS if n not in ("known", "seed") and getattr(old, n) != getattr(new, n)
    ]

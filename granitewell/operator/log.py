"""The `[log]` table of the operator file. Defaults come from `LogSettings`."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta, field

from granitewell.net.logs import (
    DEFAULT_LOG_SETTINGS,
    JSON_KEYS,
    LEVELS,
    MAX_FIELDS_BYTES,
    TOPICS,
    UNMUTABLE_TOPICS,
    Level,
    LogFormat,
    LogSettings,
    LogTarget,
    fields_bytes,
)  # fmt: skip
from granitewell.operator.problem import Path, Problem, format_value, unknown_key
from granitewell.operator.table import Table

Rate = Annotated[float, Meta(ge=0.01, le=1000)]
FieldName = Annotated[str, Meta(
    pattern=r"^[a-z][a-z0-9_]{0,31}\Z",
    extra={"allowed": "a-z, 0-9 and _, a letter first, at most 32 characters"},
)]  # fmt: skip
FieldText = Annotated[str, Meta(max_length=200)]


class LogTable(Table, frozen=True, kw_only=True):
    """What the node says of itself: the form of a line, which lines are written, and how often."""

    form: Annotated[LogFormat, Meta(
        description="`lines`: text for people, as without this file. `json`: one JSON object a line."
    )] = DEFAULT_LOG_SETTINGS.form  # fmt: skip
    level: Annotated[Level, Meta(
        description="The least level that is written. `phase` and `reload` are written at any level.",
        extra={"allowed": " or ".join(f'"{x}"' for x in LEVELS)},
    )] = DEFAULT_LOG_SETTINGS.level  # fmt: skip
    mute: Annotated[tuple[str, ...], Meta(
        description="Topics that are not written at all; `phase` and `reload` can't be muted."
    )] = DEFAULT_LOG_SETTINGS.mute  # fmt: skip
    rate: Annotated[Rate, Meta(
        description="Lines a second and topic; what comes faster is counted and not written."
    )] = DEFAULT_LOG_SETTINGS.rate  # fmt: skip
    rates: Annotated[dict[str, Rate], Meta(
        description="By topic, in place of `rate`."
    )] = field(default_factory=lambda: dict(DEFAULT_LOG_SETTINGS.rates))  # fmt: skip
    to: Annotated[LogTarget, Meta(
        description="Where lines go. There is no file to name: writing to a disk that is full or slow "
        "would hold up every request. A pipe that nobody reads loses lines, and the node goes on."
    )] = DEFAULT_LOG_SETTINGS.to  # fmt: skip
    fields: Annotated[dict[FieldName, FieldText], Meta(
        max_length=16, description="Added to each JSON line, such as the deployment's name."
    )] = field(default_factory=lambda: dict(DEFAULT_LOG_SETTINGS.fields))  # fmt: skip

    def settings(self) -> LogSettings:
        """Return these settings in the node's own type."""
        return LogSettings(
            form=self.form, level=self.level, mute=self.mute, rate=self.rate, rates=self.rates, to=self.to,
            fields=self.fields,
        )  # fmt: skip

    def check(self) -> Iterator[Problem]:
        """`mute` and `rates` name topics that there are.

        `fields` take no name of the line's own, and 1024 bytes at most as JSON.
        """
        for k, topic in enumerate(self.mute):
            yield from _topic(("mute", k), topic)
            if topic in UNMUTABLE_TOPICS:
                yield Problem(("mute", k), f'"{topic}"', f"any topic but {' and '.join(UNMUTABLE_TOPICS)}")
        for topic in self.rates:
            yield from _topic(("rates", topic), topic)
        for name in self.fields:
            if name in JSON_KEYS:
                yield Problem(
                    ("fields", name), "a name that each line has", f"none of {', '.join(JSON_KEYS)}"
                )
        size = fields_bytes(self.fields)
        if size > MAX_FIELDS_BYTES:
            yield Problem(
                ("fields",), f"{size} bytes as JSON", f"at most {MAX_FIELDS_BYTES} for all together"
            )
        if self.fields and self.form != "json":
            yield Problem(("fields",), "fields", f"not written with form = {self.form!r}", note=True)


def _topic(path: Path, topic: str) -> Iterator[Problem]:
    if topic not in TOPICS:
        yield unknown_key(path, topic, tuple(TOPICS), f"the unknown topic {format_value(topic)}")

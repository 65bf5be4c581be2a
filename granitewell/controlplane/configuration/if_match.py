"""The base version of a change, from its If-Match header."""

from __future__ import annotations

import re
from collections.abc import Sequence

from granitewell.controlplane.configuration.answers import Failure
from granitewell.controlplane.configuration.change import MAX_VERSION

_VERSION = re.compile(r'(?:W/)?"([0-9]{1,19})"|([0-9]{1,19})')


def base_version(headers: Sequence[str]) -> int | Failure:
    """Parse a version: a bare number, a number in quotes, or a weak tag."""
    if not headers:
        return Failure(428, "If-Match is missing: it names the version that the change builds on")
    if len(headers) > 1:
        return Failure(400, "more than one If-Match")
    match = _VERSION.fullmatch(headers[0].strip())
    if match is None:
        return Failure(400, "If-Match is not a version")
    version = int(match[1] or match[2])
    if version > MAX_VERSION:
        return Failure(400, "If-Match is no version")
    return version

"""Failures of this package, beside InvalidConfiguration of granitewell.domain.errors."""

from __future__ import annotations

from granitewell.domain.errors import GranitewellError, UnknownFormat


class UnreadableChange(GranitewellError):
    """Bytes that are no change of a format that is known here."""


class UnknownChange(UnreadableChange, UnknownFormat):
    """A change of a newer program, of a format or operation that is not known here."""


class UnreadableSnapshot(GranitewellError):
    """Bytes that are no snapshot of a format that is known here."""


class DeltaMismatch(GranitewellError):
    """A delta does not lead from the version that is held here to the one that it names."""

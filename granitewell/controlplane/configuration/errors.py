"""Failures of this package, beside InvalidConfigurationError of granitewell.domain.errors."""

from __future__ import annotations

from granitewell.domain.errors import GranitewellError, UnknownFormatError


class UnreadableChangeError(GranitewellError):
    """Bytes that are no change of a format that is known here."""


class UnknownChangeError(UnreadableChangeError, UnknownFormatError):
    """A change of a newer program, of a format or operation that is not known here."""


class UnreadableSnapshotError(GranitewellError):
    """Bytes that are no snapshot of a format that is known here."""


class DeltaMismatchError(GranitewellError):
    """A delta does not lead from the version that is held here to the one that it names."""

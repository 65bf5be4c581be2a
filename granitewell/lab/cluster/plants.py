"""How a planted defect is put in place, whatever the subject.

It owns the putting in and the taking out. It must never know a defect; those are their subjects'.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any

Patch = tuple[Any, str, Any]  # where, the name there, and what stands there instead


@contextmanager
def patched(patches: Sequence[Patch]) -> Iterator[None]:
    """Within it the patches are in place, for the whole process."""
    kept = [(where, what, vars(where)[what]) for where, what, _ in patches]
    try:
        for where, what, new in patches:
            setattr(where, what, new)
        yield
    finally:
        for where, what, old in kept:
            setattr(where, what, old)

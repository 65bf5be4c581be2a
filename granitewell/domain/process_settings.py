"""What decides about a process before its settings are read in full. Imports next to nothing.

The settings file is read in full by settings.py, whose imports take longer than the rest of a start.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

PATH_VARIABLE = "GRANITEWELL_NODE_FILE"
DEFAULT_PATH = "/etc/granitewell/boot.json"


def settings_path() -> Path:
    """Return the path of this process's settings file."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def may_hold_replicas(data_dir: object, counts_for_quorum: object) -> bool:
    """Return whether a control process may hold replicas.

    That takes a disk, on a machine whose loss `fault-tolerance` limits; one that does not count for the
    quorum may be lost at any time, together with any number of others. A file without the field is one of
    before the field was used.

    Args:
        data_dir: The setting `data-dir`, None for no disk.
        counts_for_quorum: The setting `counts-for-quorum`, None if it is missing.
    """
    return data_dir is not None and counts_for_quorum is not False


def peek(path: Path) -> dict[str, Any]:
    """Return the fields of a settings file, not validated; empty if it cannot be read."""
    try:
        fields = json.loads(path.read_bytes())
    except (OSError, ValueError):
        return {}
    return fields if isinstance(fields, dict) else {}

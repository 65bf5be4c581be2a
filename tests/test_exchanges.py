"""Every recorded exchange, against the real program on real sockets."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.play import FOLDER, play


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.txt")), ids=lambda p: p.stem)
def test_exchange(path: Path) -> None:
    play(path)

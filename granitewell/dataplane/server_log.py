"""Suppression of aiohttp's server log.

aiohttp logs a traceback for each malformed request, so a hostile client could fill the log.
"""

from __future__ import annotations

import logging

QUIET_LOGGER = logging.getLogger("granitewell.dataplane.aiohttp")
QUIET_LOGGER.addHandler(logging.NullHandler())
QUIET_LOGGER.propagate = False

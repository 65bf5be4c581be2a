"""Scenarios: files of ranges from which each seed draws one day.

It owns the door to what the `scenarios` parts do, and nothing else; everything outside uses these names.
It must never hold a figure of its own.

    load(file or built-in name) ──▶ Scenario ──draw(seed)──▶ Day
"""

from __future__ import annotations

from granitewell.lab.scenarios.draw import draw, schedule
from granitewell.lab.scenarios.expand import expand
from granitewell.lab.scenarios.read import Scenario, ScenarioError, builtin, load, parse

__all__ = ["Scenario", "ScenarioError", "builtin", "draw", "expand", "load", "parse", "schedule"]

"""Tests of the project's own files: module names, requirements, package data and deploy files."""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from importlib.metadata import requires
from pathlib import Path

import pytest
from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = Path(__file__).resolve().parent.parent
POLICY = (ROOT / "granitewell" / "balancing" / "balancer.py").read_text().splitlines()


DECISION_MODULES = {
    "__init__", "balancer", "interface", "outlier_detection", "prefix_sizing", "settings_validation",
    "simulator_adapter", "simulator_protocol",
}  # fmt: skip


def test_decisions_stay_in_clearly_named_modules() -> None:
    """Replaces a limit of 740 lines on a single module, which was withdrawn."""
    folder = ROOT / "granitewell" / "balancing"
    assert {path.stem for path in folder.glob("*.py")} == DECISION_MODULES
    assert max(len(line) for path in folder.glob("*.py") for line in path.read_text().splitlines()) <= 110
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert deploy["policy"] == ["granitewell/balancing/balancer.py"]


def test_balancer_names_its_interface_and_reads_no_names() -> None:
    assert "granitewell/balancing/interface.py" in POLICY[0]
    interface = (ROOT / "granitewell" / "balancing" / "interface.py").read_text()
    assert not re.search(r"^    name:", interface, re.M)
    assert not [line for line in POLICY if re.search(r"\.name\b", line)]


def test_readme_example_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    scope: dict[str, object] = {}
    exec(compile(example, "README.md", "exec"), scope)
    assert "Send" in str(scope["actions"])


# --- packages ---------------------------------------------------------------------------------------------
REQUIREMENTS = ("requirements.txt", "requirements-system.txt", "requirements-dev.txt")
SYSTEM_PACKAGES = {"aiohttp", "cappa", "logbook", "mashumaro", "orjson", "thriftpy2"}


def pins(name: str) -> dict[str, str]:
    """Return the packages of a file and their versions, without those of included files."""
    lines = (ROOT / name).read_text().splitlines()
    return pinned([line for line in lines if line and line[0] not in "#-"])


def pinned(texts: list[str]) -> dict[str, str]:
    """Return packages and their versions; each occurs once."""
    pairs = [text.split("==") for text in texts]
    versions = {str(canonicalize_name(package)): version for package, version in pairs}
    assert len(versions) == len(texts)
    return versions


def test_package_has_the_same_version_in_all_files() -> None:
    versions: dict[str, set[str]] = {}
    for name in REQUIREMENTS:
        for package, version in pins(name).items():
            versions.setdefault(package, set()).add(version)
    assert {package: found for package, found in versions.items() if len(found) > 1} == {}


def test_extra_and_requirements_of_the_system_agree() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    extra = pinned(project["optional-dependencies"]["system"])
    assert set(extra) == SYSTEM_PACKAGES
    assert extra.items() <= pins("requirements-system.txt").items()
    assert extra.items() <= pins("requirements-dev.txt").items()
    assert "-r requirements-system.txt" in (ROOT / "requirements-dev.txt").read_text().splitlines()


def test_requirements_of_the_system_are_complete_and_minimal() -> None:
    pending, seen = [*SYSTEM_PACKAGES, "uvloop"], set()
    while pending:
        package = canonicalize_name(pending.pop())
        if package not in seen:
            seen.add(package)
            requirements = [Requirement(text) for text in requires(package) or ()]
            applicable = [
                need for need in requirements if need.marker is None or need.marker.evaluate({"extra": ""})
            ]
            pending += [need.name for need in applicable]
    assert seen == set(pins("requirements-system.txt"))


def test_node_imports_nothing_of_the_system() -> None:
    code = "import sys, granitewell.__main__; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    loaded = set(done.stdout.split())
    assert "granitewell.net.loop" in loaded
    assert not {name.partition(".")[0] for name in loaded} & SYSTEM_PACKAGES
    assert not [name for name in loaded if name.startswith(("granitewell.cli", "granitewell.domain"))]


def test_data_files_are_installed_with_their_packages() -> None:
    tool = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["package-data"]
    for package, patterns in tool.items():
        folder = ROOT / package
        present = {
            path for path in folder.rglob("*") if path.is_file() and path.suffix not in (".py", ".pyc")
        }
        assert present == {path for pattern in patterns for path in folder.glob(pattern)}


@pytest.mark.parametrize("role", ["edge", "control"])
def test_deploy_file_of_the_system_names_existing_programs(role: str) -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert deploy["roles"][role]["run"] == f"python3 -m granitewell.cli.system {role}"
    assert (ROOT / "granitewell" / "cli" / "system" / f"{role}.py").is_file()
    assert "requirements-system.txt" in deploy["build"]

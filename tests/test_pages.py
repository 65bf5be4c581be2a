"""The pages for newcomers name modules, classes and functions that exist."""

from __future__ import annotations

import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("README.md", "DEVELOPERS.md", "ONCALL.md", "docs/architecture.md", "docs/glossary.md")
MODULE = re.compile(r"`(?:granitewell/)?([a-z_/]+\.py)`")
FOLDER = re.compile(r"`((?:granitewell|tests|docs)/[a-z_/]+/)`")
MEMBER = re.compile(r"`([A-Z][A-Za-z]+)\.([a-z_]+)`")
CLASS = re.compile(r"`([A-Z][a-z]+(?:[A-Z][a-z]+)+)`")
OF_OTHERS = {"ConnectionClosed", "SendData"}
"""Names that DEVELOPERS.md gives as examples of other projects."""


@cache
def modules() -> frozenset[str]:
    found = set()
    for folder in ("granitewell", "tests", "tools"):
        for path in (ROOT / folder).rglob("*.py"):
            parts = path.relative_to(ROOT).parts
            found |= {"/".join(parts[start:]) for start in range(len(parts))}
    return frozenset(found)


@cache
def classes() -> dict[str, frozenset[str]]:
    """Return the members of each class, of all classes of that name together."""
    found: dict[str, set[str]] = {}
    for path in (ROOT / "granitewell").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                found.setdefault(node.name, set()).update(members_of(node))
    return {name: frozenset(members) for name, members in found.items()}


def members_of(node: ast.ClassDef) -> set[str]:
    """Return the functions, fields and attributes of a class."""
    functions = {x.name for x in node.body if isinstance(x, ast.FunctionDef | ast.AsyncFunctionDef)}
    fields = {
        x.target.id for x in node.body if isinstance(x, ast.AnnAssign) and isinstance(x.target, ast.Name)
    }
    stored = {
        x.attr
        for x in ast.walk(node)
        if isinstance(x, ast.Attribute) and isinstance(x.ctx, ast.Store) and ast.unparse(x.value) == "self"
    }
    return functions | fields | stored


def wrong_names(text: str) -> list[str]:
    """Return what a page names and the code doesn't have."""
    wrong = [name for name in MODULE.findall(text) if name not in modules()]
    wrong += [name for name in FOLDER.findall(text) if not (ROOT / name).is_dir()]
    wrong += [f"{a}.{b}" for a, b in MEMBER.findall(text) if b not in classes().get(a, ())]
    return wrong + [name for name in CLASS.findall(text) if name not in classes() and name not in OF_OTHERS]


@pytest.mark.parametrize("page", PAGES)
def test_a_page_names_only_what_the_code_has(page: str) -> None:
    text = (ROOT / page).read_text()
    assert wrong_names(text) == []


@pytest.mark.parametrize(
    "text",
    ["`nodes/no_such.py`", "`granitewell/nothing/`", "`Replica.no_such`", "`NoSuchClass`"],
)
def test_a_name_that_the_code_does_not_have_is_noticed(text: str) -> None:
    assert wrong_names(text) == [text.strip("`")]


def test_the_pages_name_enough_to_be_worth_a_check() -> None:
    text = (ROOT / "docs/architecture.md").read_text()
    assert len(MODULE.findall(text)) > 30 and len(MEMBER.findall(text)) > 10

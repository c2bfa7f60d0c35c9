"""The pages that engineers on call read first name code that exists."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("architecture.md", "design.md")
PAGE = "\n".join((ROOT / "docs" / page).read_text() for page in PAGES)
# `folder/module.py: Class.method`, also where the page breaks the line behind the colon or the dot
REFERENCES = sorted(set(re.findall(r"`([a-z_/]+\.py):\s+([\w.]+)`", PAGE)))
MODULES = sorted(set(re.findall(r"`((?:[a-z_]+/)*[a-z_]+\.py)[`:]", PAGE)))


def defined_names(module: ast.Module) -> set[str]:
    """Top-level names of a module, and `Class.member` of what its classes define."""
    names: set[str] = set()
    for node in module.body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            names.add(node.name)
        if isinstance(node, ast.ClassDef):
            members = [n for n in node.body if isinstance(n, ast.FunctionDef | ast.AsyncFunctionDef)]
            names |= {f"{node.name}.{member.name}" for member in members}
    return names


@pytest.mark.parametrize(("module", "name"), REFERENCES, ids=[f"{m}: {n}" for m, n in REFERENCES])
def test_a_function_that_the_page_names_exists(module: str, name: str) -> None:
    source = (ROOT / "gannetweir" / module).read_text()
    assert name in defined_names(ast.parse(source))


@pytest.mark.parametrize("module", MODULES)
def test_a_module_that_the_page_names_exists(module: str) -> None:
    assert (ROOT / "gannetweir" / module).is_file()


def test_the_page_names_code() -> None:
    assert len(REFERENCES) > 40

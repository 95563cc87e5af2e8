"""The files of the decision module have short lines, and the deploy file names all of them."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULE = sorted((ROOT / "caperdrift" / "policy").rglob("*.py"))


def test_no_line_of_the_module_has_more_than_110_characters() -> None:
    lines = [line for path in MODULE for line in path.read_text().splitlines() if line.strip()]
    assert lines
    assert max(map(len, lines)) <= 110


def test_the_deploy_file_names_every_file_of_the_module() -> None:
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(named) == [str(path.relative_to(ROOT)) for path in MODULE]

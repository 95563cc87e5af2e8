#!/bin/sh
# Lint, types and tests, in a virtual environment made from the pinned requirements.
set -eu
cd "$(dirname "$0")"
python=.venv-dev/bin/python
if ! cat requirements.txt requirements-dev.txt | cmp -s - .venv-dev/built; then
    rm -rf .venv-dev
    python3 -m venv .venv-dev
    $python -m pip -q install -r requirements-dev.txt
    cat requirements.txt requirements-dev.txt >.venv-dev/built
fi
$python -m ruff check .
$python -m ruff format --check .
$python -m mypy
$python -m pytest

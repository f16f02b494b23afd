# Build, test, lint and run. The build and run commands are defined in deploy/balancer.toml.
PYTHON = .venv/bin/python
DEPLOY = python3 -c 'import sys, tomllib; print(tomllib.load(open("deploy/balancer.toml", "rb"))[sys.argv[1]])'

.PHONY: build test lint run

build:
	sh -c "$$($(DEPLOY) build)"

test: build
	$(PYTHON) -m pytest -q

lint: build
	$(PYTHON) -m ruff format --check latchturn tests bench rig
	$(PYTHON) -m ruff check latchturn tests bench rig
	$(PYTHON) -m mypy

run: build
	sh -c "$$($(DEPLOY) run)"

PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: build test demo measure slopes faults soak replay moves lint format venv docs

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt 2>/dev/null
	touch $@

build: venv
	mkdir -p dist
	$(BIN)/python -m shiv --quiet --console-script carobladder --root /dev/shm/carobladder --output-file dist/carobladder . -r requirements.txt

test: venv
	$(BIN)/python tests/run.py

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m checks.boundary
	$(BIN)/python -m compileall -q carobladder checks standins demo benchmarks tests

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: venv
	$(BIN)/python -m demo

measure: venv
	$(BIN)/python -m benchmarks.measure

slopes: venv
	$(BIN)/python -m benchmarks.slopes

replay: venv
	$(BIN)/python -m carobladder replay traces/v.jsonl
	$(BIN)/python -m carobladder replay traces/s.jsonl

faults: venv
	$(BIN)/python -m tests.faults

soak: venv
	$(BIN)/python -m tests.soak --seeds 50 --seconds 20

docs: venv
	$(BIN)/python -m carobladder.settings.reference > docs/settings.md
	$(BIN)/python -m carobladder.settings.entry_reference > docs/entry-settings.md
	$(BIN)/python -m carobladder.telemetry.reference > docs/logs.md

moves: venv
	$(BIN)/python -m benchmarks.moves --seeds 20
	$(BIN)/python -m benchmarks.move_processes

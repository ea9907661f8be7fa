PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
SECONDS ?= 60
SEED ?=

.PHONY: demo test ci format lint types layers generate fuzz binary clean

$(VENV)/.ready: requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

demo: $(VENV)/.ready
	$(BIN)/python -m amaranthspar demo

test: $(VENV)/.ready
	$(BIN)/python -m pytest -q

format: $(VENV)/.ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: $(VENV)/.ready
	$(BIN)/mypy

layers: $(VENV)/.ready
	$(BIN)/lint-imports

generate: $(VENV)/.ready
	$(BIN)/python -m tools.generate

fuzz: $(VENV)/.ready
	$(BIN)/python -m tools.explore --timeouts 2 --proposals 0 --crashes 0 --states 250000
	FUZZ_EXAMPLES=500 $(BIN)/python -m pytest -q tests/test_replica_orders.py tests/test_moved_controllers.py
	FUZZ_EXAMPLES=500 $(BIN)/python -m pytest -q tests/test_consensus_fuzz.py -k ReplicaMachine --hypothesis-seed=$(or $(SEED),random)
	$(BIN)/python -m tools.fuzz --seconds $(SECONDS) $(if $(SEED),--seed $(SEED))
	$(BIN)/python -m tools.fuzz_dispatch --seconds $(SECONDS) $(if $(SEED),--seed $(SEED))

binary: $(VENV)/.ready
	$(BIN)/python -m tools.bundle

clean:
	rm -rf $(VENV) build dist

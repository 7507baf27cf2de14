# The commands of the project; each one installs what it needs.

VENV := .venv
BIN := $(VENV)/bin
PORT ?= 8080
VMS ?= 1
ZONES ?= 1
SEED ?= 1
STEPS ?= 400
COUNT ?= 1
SECONDS ?= 20
FROM ?=

.PHONY: install run test check format measure fuzz soak bench transfers processor doors capacity docs lock clean

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock packages/*/pyproject.toml platform/pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--require-hashes -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation \
		-e packages/lovagemast-core -e packages/lovagemast-wire \
		-e packages/lovagemast-node -e packages/lovagemast-cli \
		-e platform
	touch $@

lock:
	uv pip compile --quiet --generate-hashes --no-emit-index-url \
		--no-header --no-annotate --python-version 3.11 \
		--group dev --group build \
		--no-emit-package lovagemast-core \
		--no-emit-package lovagemast-wire \
		--no-emit-package lovagemast-node \
		packages/*/pyproject.toml platform/pyproject.toml -o requirements.lock

run: install
	@$(BIN)/python -m standins.fleet --port $(PORT) --vms $(VMS) \
		--zones $(ZONES)

test: install
	$(BIN)/python -m pytest
	$(BIN)/python -m behave --format progress --no-capture features

check: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 packages platform standins bench soak tests features
	$(BIN)/mypy

format: install
	$(BIN)/ruff check --fix-only --quiet .
	$(BIN)/ruff format .

measure: install
	@$(BIN)/python -m bench.measure --seed $(SEED)

fuzz: install
	@$(BIN)/python -m tests.fuzz --seed $(SEED) --steps $(STEPS)

soak: install
	@$(BIN)/python -m soak --seed $(SEED) --count $(COUNT) \
		--seconds $(SECONDS) --keep run/soak --from "$(FROM)"

bench: install
	@$(BIN)/python -m bench

transfers: install
	@$(BIN)/python -m bench.transfers

processor: install
	@$(BIN)/python -m bench.processor --seed $(SEED) >/dev/null
	@$(BIN)/python -m bench.processor --entry >/dev/null

doors: install
	@$(BIN)/python -m bench.doors

capacity: install
	@$(BIN)/python -m bench.capacity

clean:
	rm -rf $(VENV) run

docs: install
	@$(BIN)/python -m bench.reference

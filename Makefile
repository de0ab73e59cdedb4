# Entry points for people and CI. Each target installs what it needs and builds first.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: packages build demo test scenarios bench capacity format lint sanitize soak

packages:
	@support/install-packages

build: packages
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	@$(BUILD)/bin/scenario-runner --bin $(BUILD)/bin --narrate scenarios/demo.yaml

scenarios: build
	@$(BUILD)/bin/scenario-runner --bin $(BUILD)/bin scenarios/*.yaml

bench: build
	@support/bench $(BUILD)

capacity: build
	@support/capacity $(BUILD)

format: packages
	@support/format

lint: packages
	@support/lint

# Sanitizers, one build folder each: make sanitize SANITIZER=address
SEED ?= 1
MINUTES ?= 1
soak: build
	@$(BUILD)/bin/soak --binary $(BUILD)/bin/jujubereachd --seed $(SEED) --seconds $$(($(MINUTES) * 60))

sanitize: packages
	@cmake -S . -B $(BUILD)-$(SANITIZER) -G Ninja -DJUJUBEREACH_SANITIZE=$(SANITIZER) > /dev/null
	@cmake --build $(BUILD)-$(SANITIZER) -j $(JOBS)
	@ctest --test-dir $(BUILD)-$(SANITIZER) --output-on-failure -j 4

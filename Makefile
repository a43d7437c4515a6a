# make demo   the main job, end to end on loopback
# make test   every test, then one line with the counts
BUILD ?= build

.PHONY: build demo test lint bench capacity soak format clean
build:
	@.ci/install
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
	@cmake --build $(BUILD)

demo: build
	@$(BUILD)/testing/demo/citrongap_demo $(BUILD) examples/lahore

# make capacity  what a unit of each load costs; docs/CAPACITY.md has the table
capacity: build
	@$(BUILD)/testing/capacity/citrongap_capacity

test: build
	@.ci/test $(BUILD)

lint: build
	@.ci/lint $(BUILD)

format:
	@git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs clang-format -i

clean:
	@rm -rf $(BUILD)

# make bench  tables of the policy bench, ours against baselines and the bound
bench: build
	@$(BUILD)/testing/bench/policy_bench $(ARGS)

# make soak   200 seeded fault schedules against real processes
soak: build
	@$(BUILD)/testing/scenario/citrongap_soak --build $(BUILD) --last 200 --at-once 6 testing/scenario/scenarios/soak.scenario

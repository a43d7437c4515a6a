# make demo   the main job, end to end on loopback
# make test   every test, then one line with the counts
BUILD ?= build

.PHONY: build demo test lint bench capacity soak soak-entry soak-limits format clean
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

# make soak-entry  50 seeds of real entry VMs on the users' platform's protocol
soak-entry: build
	@seq $${FIRST:-1000} $${LAST:-1049} | xargs -P 8 -I{} sh -c '$(BUILD)/testing/soak/citrongap_entry_soak --build $(BUILD) --seed {} --faults 30 --series 1 > /tmp/entry-soak-{}.log 2>&1 || echo "failed: /tmp/entry-soak-{}.log"'

# make soak-limits  seeds that failed with 150 entry VMs, and a fresh one (SEED)
soak-limits: build
	@for seed in 450 $${SEED:-451}; do $(BUILD)/testing/soak/citrongap_entry_soak --build $(BUILD) --seed $$seed --vms 150 --servers 100 --rate 30 --faults 60 --seconds 20 | tail -1 || exit 1; done

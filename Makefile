# limpethinge: see README.md.  Variables: CC, SAN=1 for ASan and UBSan.

PACKAGES = glib-2.0 libmicrohttpd libcurl libsodium jansson inih libxxhash gsl
DEPS = libev-dev libmsgpack-dev libmicrohttpd-dev libcurl4-openssl-dev \
       libglib2.0-dev libcunit1-dev libinih-dev libsodium-dev libjansson-dev \
       libxxhash-dev libgsl-dev pkg-config gcc clang clang-format clang-tidy \
       libclang-rt-14-dev make mandoc spin gnuplot-nox

BUILD ?= build$(if $(SAN),-san,)
VERSION = 0.2.0

CFLAGS = $(CPPFLAGS) -std=gnu11 -O2 -g -Wall -Wextra -Wshadow -Wstrict-prototypes \
         -Wmissing-prototypes -Werror -D_GNU_SOURCE \
         -DVERSION='"$(VERSION)"' -Isrc -Istandin -Itests -I. \
         $(shell pkg-config --cflags $(PACKAGES))
LDLIBS = $(shell pkg-config --libs $(PACKAGES)) -lmsgpackc -lev -lm
ifdef SAN
CFLAGS += -fsanitize=address,undefined -fno-sanitize-recover=all
LDFLAGS += -fsanitize=address,undefined
endif

SRC = $(foreach f,$(wildcard src/*/*.c),\
      $(if $(filter test_% main.c,$(notdir $f)),,$f)) \
      $(filter-out platform/test_%,$(wildcard platform/*.c))
MAIN = src/cli/main.c
TESTS = $(wildcard src/*/test_*.c) $(wildcard platform/test_*.c)
STANDIN = $(wildcard standin/*.c)
BENCH = $(wildcard bench/*.c)
TESTSUP = $(wildcard tests/support/*.c)
MIXED = $(wildcard tests/mixed/*.c)
SOURCES = $(SRC) $(MAIN) $(TESTS) $(STANDIN) $(BENCH) $(TESTSUP) $(MIXED)
HEADERS = $(wildcard src/*/*.h) $(wildcard standin/*.h) \
          $(wildcard platform/*.h) \
          $(wildcard bench/*.h) $(wildcard tests/support/*.h)

OBJ = $(SRC:%.c=$(BUILD)/%.o)
BENCH_MAIN = $(filter bench/bench_%,$(BENCH))
BENCH_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(filter-out bench/bench_%,$(BENCH)))
STANDIN_MAIN = $(filter standin/main_%,$(STANDIN))
STANDIN_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(filter-out standin/main_%,$(STANDIN)))
TESTSUP_OBJ = $(TESTSUP:%.c=$(BUILD)/%.o)
TEST_BIN = $(patsubst src/%.c,$(BUILD)/bin/%,$(filter src/%,$(TESTS))) \
           $(patsubst %.c,$(BUILD)/bin/%,$(filter platform/%,$(TESTS)))
BENCH_BIN = $(patsubst bench/%.c,$(BUILD)/bin/%,$(BENCH_MAIN))
STANDIN_BIN = $(patsubst standin/main_%.c,$(BUILD)/bin/standin-%,$(STANDIN_MAIN))

all: $(BUILD)/limpethinge $(STANDIN_BIN)

deps:
	apt-get update -q
	DEBIAN_FRONTEND=noninteractive apt-get install -y -q $(DEPS)

$(BUILD)/limpethinge: $(OBJ) $(BUILD)/src/cli/main.o
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/bin/standin-%: $(BUILD)/standin/main_%.o $(STANDIN_OBJ) $(OBJ)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/bin/record-tool: $(MIXED:%.c=$(BUILD)/%.o) \
                          $(BUILD)/tests/support/records.o $(OBJ)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/bin/bench_%: $(BUILD)/bench/bench_%.o $(BENCH_OBJ) $(OBJ)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/bin/%: $(BUILD)/src/%.o $(TESTSUP_OBJ) $(OBJ)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) -lcunit

$(BUILD)/bin/platform/%: $(BUILD)/platform/%.o $(TESTSUP_OBJ) $(OBJ)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) -lcunit

$(BUILD)/%.o: %.c Makefile
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

# Unit tests, one program a module.
unit: $(TEST_BIN)
	@scripts/run-tests.sh $(TEST_BIN)

check: all unit $(BUILD)/bin/bench_compare $(BUILD)/bin/record-tool
	@scripts/check-processes.sh $(BUILD)

demo: all
	@scripts/demo.sh $(BUILD)

bench: $(BENCH_BIN)
	@for b in $(BENCH_BIN); do $$b || exit 1; done

format:
	clang-format -i $(SOURCES) $(HEADERS)

lint:
	clang-format --dry-run --Werror $(SOURCES) $(HEADERS)
	@scripts/tidy.sh $(SOURCES) -- $(filter-out -Werror,$(CFLAGS))
	mandoc -Tlint -Wwarning man/*.1 man/*.5

clean:
	rm -rf build build-san

# Mutation check: the fault matrix must fail without any one mechanism.
MUTANTS = NO_WAIT_W NO_WAIT_D CONFIRM_AT_RECEIPT NO_EPOCH_CHECK \
          NO_ACKNOWLEDGEMENT NO_REFUSAL ONE_WITNESS_LIST NO_CHAIN
# These need a rare order of events; the unit tests must fail with them.
UNIT_MUTANTS = GRANT_AFTER_DRAIN RELAY_UNASKED RELEASE_PENDING
CLAIMS_SRC = $(filter src/claims/%,$(SRC))
MUTANT_OBJ = $(BUILD)/src/claims/test_claims_matrix.o \
             $(filter-out $(BUILD)/src/claims/%,$(OBJ))

$(BUILD)/mutants/matrix-%: $(CLAIMS_SRC) $(MUTANT_OBJ)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -DCLAIMS_MUTANT=MUTANT_$* -o $@ $^ $(LDLIBS) -lcunit

$(BUILD)/mutants/unit-%: $(CLAIMS_SRC) \
                        $(BUILD)/src/claims/test_claims.o \
                        $(filter-out $(BUILD)/src/claims/%,$(OBJ))
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -DCLAIMS_MUTANT=MUTANT_$* -o $@ $^ $(LDLIBS) -lcunit

mutants: $(MUTANTS:%=$(BUILD)/mutants/matrix-%) \
         $(UNIT_MUTANTS:%=$(BUILD)/mutants/unit-%) mutants-sched
	@scripts/run-mutants.sh $(filter $(BUILD)/%,$^)

# The rules of the scheduling process: tests must fail without any one.
SCHED_TESTS = jobs/test_jobs shard/test_shard shard/test_shard_steps \
              shard/test_shard_sharing shard/test_shard_zones \
              shard/test_shard_settle shard/test_shard_crashes \
              shard/test_shard_evidence shard/test_shard_lapsing \
              shard/test_shard_capacity shard/test_shard_store \
              shard/test_shard_leases shard/test_shard_cancel \
              shard/test_shard_memory shard/test_shard_copies \
              shard/test_shard_services shard/test_shard_reserve \
              shard/test_shard_gangs shard/test_shard_letters \
              shard/test_shard_stray \
              copies/test_copies \
              zones/test_zones \
              scheduler/test_scheduler scheduler/test_operator \
              scheduler/test_workers scheduler/test_records \
              scheduler/test_limits net/test_peerlink net/test_http_client \
              net/test_httpd net/test_conn_limits
mutants-sched: $(SCHED_TESTS:%=$(BUILD)/src/%.o) $(TESTSUP_OBJ) $(OBJ)
	@scripts/mutants-sched.sh $(BUILD) $(OBJ) $(TESTSUP_OBJ) -- $(CC) \
	  $(CFLAGS) -- $(LDLIBS) -lcunit

# Exhaustive check of the claims protocol for 2 and 3 nodes with spin.
model:
	@scripts/model.sh $(BUILD)/model

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
.PHONY: all deps unit check demo bench format lint clean mutants \
        mutants-sched model
.SECONDARY:

# For tests/*.sh and scripts/demo.sh.
DEPS += curl jq

# Fuzz targets: libFuzzer with AddressSanitizer and UBSan, clang only.
SOURCES += $(wildcard fuzz/*.c)
HEADERS += $(wildcard fuzz/*.h)
FUZZ = settings bundle message records platform
FUZZ_CC = clang
FUZZ_UBSAN = undefined,float-cast-overflow
FUZZ_CFLAGS = $(filter-out -Werror,$(CFLAGS)) \
              -fsanitize=fuzzer-no-link,address,$(FUZZ_UBSAN) \
              -fno-sanitize-recover=$(FUZZ_UBSAN)
FUZZ_SECONDS = 300
FUZZ_RUNS = 20000
FUZZ_SEED = 20261204
FUZZ_SRC = $(wildcard src/base/*.c src/bundle/*.c src/settings/*.c \
           src/jobs/*.c src/net/*.c src/queues/*.c platform/*.c)
FUZZ_OBJ = $(foreach f,$(FUZZ_SRC),\
           $(if $(filter test_%,$(notdir $f)),,$(f:%.c=build-fuzz/%.o)))

build-fuzz/%.o: %.c
	@mkdir -p $(@D)
	$(FUZZ_CC) $(FUZZ_CFLAGS) -MMD -MP -c -o $@ $<

build-fuzz/fuzz_%: build-fuzz/fuzz/fuzz_%.o $(FUZZ_OBJ)
	$(FUZZ_CC) -fsanitize=fuzzer,address,$(FUZZ_UBSAN) -o $@ $^ $(LDLIBS)

# Runs each target for FUZZ_SECONDS; new inputs go to build-fuzz/corpus.
fuzz: $(FUZZ:%=build-fuzz/fuzz_%)
	@for t in $(FUZZ); do \
	  mkdir -p build-fuzz/corpus/$$t; \
	  build-fuzz/fuzz_$$t -max_total_time=$(FUZZ_SECONDS) -max_len=8192 \
	    -artifact_prefix=build-fuzz/ build-fuzz/corpus/$$t \
	    fuzz/corpus/$$t || exit 1; \
	done

# Replays the corpus, then a fixed number of runs with a fixed seed.
fuzz-check: $(FUZZ:%=build-fuzz/fuzz_%)
	@scripts/fuzz-check.sh build-fuzz $(FUZZ_RUNS) $(FUZZ_SEED) $(FUZZ)

# Each mutant switches off one rule of the bundle store; its tests must fail.
CFLAGS += $(if $(MUTANT),-D$(MUTANT) -Wno-unused -Wno-unused-parameter)
BUNDLE_MUTANTS = SIGNATURE PARENT REVERT
mutants-bundle: $(BUILD)/bin/bundle/test_bundle
	@$< >/dev/null 2>&1 || { echo "FAIL test_bundle without mutant"; exit 1; }
	@for m in $(BUNDLE_MUTANTS); do \
	  $(MAKE) -s BUILD=build-mutant/$$m MUTANT=BUNDLE_MUTATE_$$m \
	    build-mutant/$$m/bin/bundle/test_bundle || exit 1; \
	  if build-mutant/$$m/bin/bundle/test_bundle >/dev/null 2>&1; then \
	    echo "FAIL mutant $$m is not found by test_bundle"; exit 1; \
	  fi; \
	  echo "ok   mutant $$m is found by test_bundle"; \
	done

clean: clean-fuzz
clean-fuzz:
	rm -rf build-fuzz build-mutant

-include $(shell find build-fuzz -name '*.d' 2>/dev/null)

.PHONY: fuzz fuzz-check mutants-bundle clean-fuzz
# Every mechanism of the slice attempts, disabled, must make its test fail.
mutants-attempts: $(OBJ) $(TESTSUP_OBJ)
	@sh scripts/mutants-attempts.sh $(BUILD) $(CC) $(CFLAGS) -- \
	  $(filter-out $(BUILD)/src/attempts/%,$(OBJ)) $(TESTSUP_OBJ) \
	  $(LDLIBS) -lcunit

.PHONY: mutants-attempts
# For tests/*.sh and scripts/demo.sh.
DEPS += curl jq

# Targets: all, demo, check, lint, format, bench, ablate, soak, deps, clean.
# BUILD is the directory that everything is built in.
# SAN holds compiler flags that enable sanitizers.
CC ?= cc
BUILD ?= build
SAN ?=
CFLAGS ?= -O2 -g
CPPFLAGS += -D_GNU_SOURCE -DH2O_USE_LIBUV=1 -iquote core -iquote net \
	-iquote citronlbd -iquote platform -iquote regress/standin -iquote regress -iquote regress/fsim -I/usr/include/lua5.4
ALL_CFLAGS = -std=gnu17 -Wall -Wextra -Werror $(CFLAGS) $(SAN) -MMD -MP
CORE_LIBS = -ljansson -lmsgpackc -lcrypto -lz -lbsd -lm
NET_LIBS = -lh2o -luv -lssl -lcrypto -lz -lcurl -lhttp_parser -lbsd -lm

CORE = $(patsubst %.c,$(BUILD)/%.o,$(wildcard core/*.c))
NET = $(BUILD)/net/httpd.o $(BUILD)/net/httpc.o $(BUILD)/net/hpool.o
LINKS = $(BUILD)/net/links.o
PLATFORM = $(patsubst %.c,$(BUILD)/%.o,$(wildcard platform/*.c))
STANDIN = $(BUILD)/regress/standin/fstore.o $(BUILD)/regress/standin/fworker.o
DAEMON = $(patsubst %.c,$(BUILD)/%.o,$(wildcard citronlbd/*.c))
CTL = $(patsubst %.c,$(BUILD)/%.o,$(wildcard citronctl/*.c))
UNIT_SRC = $(wildcard regress/unit/*.c)
UNITS = $(patsubst regress/unit/%.c,$(BUILD)/regress/unit/%,$(UNIT_SRC))
SOURCES = $(wildcard core/*.[ch] net/*.[ch] citronlbd/*.[ch] \
	platform/*.[ch] citronctl/*.[ch] regress/*.[ch] regress/*/*.[ch] bench/*.[ch])
# Mechanisms that "make ablate" leaves out, see core/ablate.h.
ABLATE_ALL = SHARES URGENCY_CLASSES PREDICTIONS UNCERTAINTY GANG_ROOM BEST_FIT \
	SILENT_DOMAINS QUARANTINE WRITE_PROBES CONF_FETCH RETRY_NOW
MANS = citronlbd/citronlbd.8 citronctl/citronctl.1 \
	citronctl/citronlb.manifest.5

PROGRAMS = $(BUILD)/citronlbd/citronlbd $(BUILD)/citronctl/citronctl \
	$(BUILD)/regress/platformd $(BUILD)/regress/backendd \
	$(BUILD)/regress/scn-run $(BUILD)/regress/fsim-run \
	$(BUILD)/regress/fleet-standin $(BUILD)/regress/fleet-load \
	$(BUILD)/regress/fleet-mix $(BUILD)/regress/soak-proxy

# Prints the compiler flags, for tools that parse the sources.
print-flags:
	@echo "$(CPPFLAGS) -std=gnu17 $(CFLAGS) $(SAN)"

.PHONY: print-flags all deps demo check check-run lint format bench ablate soak clean
all: $(PROGRAMS) $(UNITS) $(BUILD)/bench/policy $(BUILD)/bench/load \
	$(BUILD)/bench/checkpoints

# Installs the Debian packages that are missing.
deps:
	@scripts/deps

demo: deps
	@$(MAKE) -s all
	@BUILD=$(BUILD) scripts/demo

check: deps
	@$(MAKE) -s all
	@$(MAKE) -s check-run

# Runs the tests without building anything first.
check-run:
	@BUILD=$(BUILD) regress/run

# Runs random scenarios with SEEDS seeds (1000 by default); the first seed is
# FIRST (1 by default).
soak: all
	@$(BUILD)/regress/scn-run -s $(or $(FIRST),1) -n $(or $(SEEDS),1000) regress/scenarios/walk.lua

# Prints measurements as JSON lines.
bench: deps
	@$(MAKE) -s all
	@BUILD=$(BUILD) bench/run

# Plays days of a deployment with builds that leave out one mechanism each, for
# measurements only: make ablate BENCH=program SITE=file DAYS="..." SEEDS="..."
ablate: deps
	@bench/ablate $(BENCH) $(SITE) "$(DAYS)" "$(SEEDS)" $(or $(MECHANISMS),$(ABLATE_ALL))

lint: deps
	clang-format --dry-run -Werror $(SOURCES)
	@echo $(filter %.c,$(SOURCES)) | tr ' ' '\n' | xargs -P 8 -n 4 \
	  sh -c 'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=gnu17 2>/dev/null' -
	mandoc -Tlint -Wwarning $(MANS)

format:
	clang-format -i $(SOURCES)

clean:
	rm -rf $(BUILD)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@$(CC) $(CPPFLAGS) $(ALL_CFLAGS) -c $< -o $@

# The file changes only when the version does.
$(BUILD)/version: FORCE
	@mkdir -p $(@D)
	@scripts/version >$@.new
	@cmp -s $@.new $@ && rm $@.new || mv $@.new $@

.PHONY: FORCE
FORCE:

$(BUILD)/citronlbd/version.o: $(BUILD)/version
$(BUILD)/citronlbd/version.o: CPPFLAGS += \
	-DCITRONLBD_VERSION='"$(shell cat $(BUILD)/version)"'

$(BUILD)/citronlbd/citronlbd: $(DAEMON) $(PLATFORM) $(CORE) $(NET) $(LINKS)
	@$(CC) $(SAN) $^ -o $@ $(NET_LIBS) $(CORE_LIBS) -lzmq -llog4c

$(BUILD)/citronctl/citronctl: $(CTL) $(CORE)
	@$(CC) $(SAN) $^ -o $@ $(CORE_LIBS) -lcurl -luuid -lzmq

$(BUILD)/regress/platformd: $(BUILD)/regress/standin/platformd.o $(STANDIN) \
	$(CORE) $(NET)
	@$(CC) $(SAN) $^ -o $@ $(NET_LIBS) $(CORE_LIBS)

$(BUILD)/regress/backendd: $(BUILD)/regress/standin/backendd.o $(STANDIN) \
	$(CORE) $(NET)
	@$(CC) $(SAN) $^ -o $@ $(NET_LIBS) $(CORE_LIBS)

SCN = $(patsubst %.c,$(BUILD)/%.o,$(wildcard regress/scn/*.c))
$(BUILD)/regress/scn-run: $(SCN) $(STANDIN) $(CORE)
	@$(CC) $(SAN) $^ -o $@ $(CORE_LIBS) -llua5.4

FSIM = $(patsubst %.c,$(BUILD)/%.o,$(wildcard regress/fsim/*.c))
$(BUILD)/regress/fsim-run: $(FSIM) $(CORE)
	@$(CC) $(SAN) $^ -o $@ $(CORE_LIBS) -llua5.4

$(BUILD)/regress/fleet-standin: $(BUILD)/regress/standin/fleetd.o \
	$(BUILD)/regress/standin/advice.o \
	$(filter-out %/verbs.o,$(FSIM)) $(PLATFORM) $(CORE) $(NET)
	@$(CC) $(SAN) $^ -o $@ $(NET_LIBS) $(CORE_LIBS)

$(BUILD)/regress/soak-proxy: $(BUILD)/regress/soak/proxy.o
	@$(CC) $(SAN) $^ -o $@ -luv

$(BUILD)/regress/fleet-load: $(BUILD)/regress/standin/fleetload.o $(NET)
	@$(CC) $(SAN) $^ -o $@ $(NET_LIBS)

$(BUILD)/regress/fleet-mix: $(BUILD)/regress/standin/fleetmix.o
	@$(CC) $(SAN) $^ -o $@ -lcurl -lm

# regress/mutants links the objects of unit tests again.
.SECONDARY: $(UNITS:=.o)

$(BUILD)/regress/unit/%: $(BUILD)/regress/unit/%.o $(STANDIN) $(PLATFORM) \
	$(CORE) $(NET)
	@$(CC) $(SAN) $^ -o $@ $(NET_LIBS) $(CORE_LIBS) -lcunit

# The other objects of the daemon need libraries that unit tests do not link.
$(BUILD)/regress/unit/worktime_test: $(BUILD)/citronlbd/worktime.o

$(BUILD)/bench/policy: $(BUILD)/bench/policy.o $(STANDIN) $(CORE)
	@$(CC) $(SAN) $^ -o $@ $(CORE_LIBS)

$(BUILD)/bench/checkpoints: $(BUILD)/bench/checkpoints.o $(PLATFORM) $(CORE) $(NET)
	@$(CC) $(SAN) $^ -o $@ $(NET_LIBS) $(CORE_LIBS)

$(BUILD)/bench/load: $(BUILD)/bench/load.o
	@$(CC) $(SAN) $^ -o $@ -lcurl

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

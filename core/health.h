/*
 * State of the instances: the instance list, which lags behind, load reports,
 * and the ejection of engines that streams or peer daemons report as failed.
 */
#ifndef GC_CORE_HEALTH_H
#define GC_CORE_HEALTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <jansson.h>
#include <talloc.h>

#include "core/config.h"
#include "core/str.h"
#include "core/stream.h"

typedef struct gc_health gc_health_t;

/* One entry of the instance list. */
typedef struct gc_instance_list_entry {
	gc_str_t name;
	gc_str_t url; /* http://ADDRESS:PORT */
	gc_str_t failure_domain;
	json_t *labels; /* object of strings; a reference is taken */
	bool leaving;
} gc_instance_list_entry_t;

typedef struct gc_health_instance {
	gc_str_t name;
	gc_str_t url;
	gc_str_t failure_domain;
	json_t *listed_labels;
	json_t *labels; /* listed, with those set by the operator */
	bool leaving; /* according to the list or the operator */
	bool ejected;
	uint32_t slots;
	uint32_t running;
	uint32_t queued;
	bool reported; /* a load report was received */
	struct timespec reported_at;
	int64_t ejected_ms; /* until the probe; 0: due, or not ejected */
	unsigned int ejections; /* in a row */
} gc_health_instance_t;

gc_health_t *gc_health_create(TALLOC_CTX *mem);
/*
 * Applies a complete instance list. As a list can be older than the one before,
 * an instance is removed only when two lists in a row lack it, and one that was
 * listed as leaving stays so for 5 seconds. True if something changed.
 */
bool gc_health_on_list(gc_health_t *health, struct timespec now,
		       const gc_instance_list_entry_t *list, size_t n);
/* Applies the operator's labels and departures; config may be NULL. */
void gc_health_set_config(gc_health_t *health, gc_config_t *config);
void gc_health_on_load(gc_health_t *health, struct timespec now, gc_str_t name,
		       uint32_t slots, uint32_t running, uint32_t queued);
/*
 * Records what a stream observed of an engine. A failure ejects the engine at
 * once, a stall only if it is the second one within 10 seconds. True if this
 * ejected the engine; the caller then notifies the peers.
 */
bool gc_health_on_stream_report(gc_health_t *health, struct timespec now,
				gc_str_t name, gc_engine_verdict_t verdict);
/*
 * A peer daemon saw the engine fail age_ms ago. Ejects it and makes a probe due
 * at once. False if the engine is unknown, is ejected already, or has sent a
 * load report since.
 */
bool gc_health_on_peer_report(gc_health_t *health, struct timespec now,
			      gc_str_t name, int64_t age_ms);
/*
 * Starts a due probe: returns the name of its instance, empty if none is due.
 * Its result is to be passed to gc_health_on_probe_result.
 */
gc_str_t gc_health_start_probe(gc_health_t *health, struct timespec now);
void gc_health_on_probe_result(gc_health_t *health, struct timespec now,
			       gc_str_t name, bool ok);

size_t gc_health_count(const gc_health_t *health);
/* Instance i in the order of names; its members are valid until a change. */
void gc_health_get(const gc_health_t *health, struct timespec now, size_t i,
		   gc_health_instance_t *instance);

#endif

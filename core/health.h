/*
 * What is known of the instances: the instance list, which lags, load reports,
 * and ejection of engines by what streams and peers report.
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
typedef struct gc_listed {
	gc_str_t name;
	gc_str_t url; /* http://ADDRESS:PORT */
	gc_str_t failure_domain;
	json_t *labels; /* object of strings; a reference is taken */
	bool leaving;
} gc_listed_t;

typedef struct gc_health_instance {
	gc_str_t name;
	gc_str_t url;
	gc_str_t failure_domain;
	json_t *listed_labels;
	json_t *labels; /* the operator's laid over the listed ones */
	bool leaving; /* by the list or the operator */
	bool ejected;
	uint32_t slots;
	uint32_t running;
	uint32_t queued;
	bool reported; /* a load report came */
	struct timespec reported_at;
	int64_t ejected_ms; /* until the probe; 0: not ejected or due */
	unsigned int ejections; /* in a row */
} gc_health_instance_t;

gc_health_t *gc_health_create(TALLOC_CTX *mem);
/*
 * The whole list. An instance is dropped when two lists in a row lack it, and
 * one that was seen leaving stays so for some seconds, because an answer can
 * be older than the one before. True if something changed.
 */
bool gc_health_on_list(gc_health_t *health, struct timespec now,
		       const gc_listed_t *list, size_t n);
/* Applies labels and departures; config may be NULL. */
void gc_health_set_config(gc_health_t *health, gc_config_t *config);
void gc_health_on_load(gc_health_t *health, struct timespec now, gc_str_t name,
		       uint32_t slots, uint32_t running, uint32_t queued);
/*
 * What a stream learnt. A failure ejects at once, stalls only when several
 * come together. True if the instance was ejected by it: tell the peers.
 */
bool gc_health_report(gc_health_t *health, struct timespec now, gc_str_t name,
		      gc_engine_verdict_t verdict);
/* A peer saw the engine fail age_ms ago. Ejects until the next probe. */
bool gc_health_on_news(gc_health_t *health, struct timespec now, gc_str_t name,
		       int64_t age_ms);
/*
 * Name of an ejected instance whose probe is due, empty if there is none. The
 * probe counts as started; report its end by gc_health_on_probe.
 */
gc_str_t gc_health_take_probe(gc_health_t *health, struct timespec now);
void gc_health_on_probe(gc_health_t *health, struct timespec now, gc_str_t name,
			bool ok);

size_t gc_health_count(const gc_health_t *health);
/* Entry i, in the order of names; valid until the next change. */
void gc_health_get(const gc_health_t *health, struct timespec now, size_t i,
		   gc_health_instance_t *instance);

#endif

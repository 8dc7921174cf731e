/*
 * Which daemon issues the permits and places of a backend server: the first of
 * the registered daemons by rendezvous hashing of the server, or the next ones
 * while it doesn't answer. Control thread only.
 */
#ifndef GC_LIB_ISSUERS_H
#define GC_LIB_ISSUERS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "core/clock.h"
#include "lib/fleet_view.h"

/* Daemons that may be asked for one server, in turn. */
#define GC_N_ISSUERS 3
/* Time for an issuer's answer, about ten round trips between failure domains. */
#define GC_ISSUER_TIMEOUT_MS 60

typedef struct gc_issuers gc_issuers_t;

/* Only daemons with all of the capabilities are chosen. */
gc_issuers_t *gc_issuers_create(TALLOC_CTX *mem, const gc_clock_t *clock,
				uint32_t capabilities);
/* Sets the registered daemons; takes a reference to the view. */
void gc_issuers_set_view(gc_issuers_t *issuers, gc_fleet_view_t *view);
/* The daemon with the highest weight but `position` others, or NULL. */
const gc_registry_entry_t *gc_issuers_find(const gc_issuers_t *issuers,
					   uint64_t server, size_t position);
/* An issuer that gave no answer isn't asked for a while. */
void gc_issuers_record_failure(gc_issuers_t *issuers, const char *id);
bool gc_issuers_has_failed(const gc_issuers_t *issuers, gc_str_t id);
/* The part that the issuer at the position may grant; with position GC_N_ISSUERS,
 * that of a daemon that reaches none. */
double gc_issuers_part(const gc_issuers_t *issuers, size_t position);
/* The part of the registered daemons that have the capabilities; 1 if there are
 * none. */
double gc_issuers_capable_part(const gc_issuers_t *issuers);
/* The registered daemons. */
bool gc_issuers_is_capable(const gc_issuers_t *issuers,
			   const gc_registry_entry_t *daemon);
const gc_registry_entry_t *gc_issuers_daemons(const gc_issuers_t *issuers,
					      size_t *n);

#endif

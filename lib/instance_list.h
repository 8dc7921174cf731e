/* Parses answers to instance list queries; used by control_engines.c. */
#ifndef GC_LIB_INSTANCE_LIST_H
#define GC_LIB_INSTANCE_LIST_H

#include <glib.h>
#include <jansson.h>

#include "core/health.h"
#include "core/membership.h"

/*
 * Returns the *n entries whose health checks all pass, in an array to be freed
 * with g_free. Entries without a valid name, address or port are left out. URLs
 * are stored in strings; other strings and the labels belong to answer.
 */
gc_instance_list_entry_t *
gc_instance_list_parse(json_t *answer, GStringChunk *strings, size_t *n);
/*
 * The same for daemons. An entry's address and port are those of the caller
 * listener; the label "peer_url" is the address for peers.
 */
gc_member_descriptor_t *gc_instance_list_parse_daemons(json_t *answer,
						       GStringChunk *strings,
						       size_t *n);

#endif

/* Parses answers of the instance list; used by control_engines.c. */
#ifndef GC_LIB_CONTROL_LIST_H
#define GC_LIB_CONTROL_LIST_H

#include <glib.h>
#include <jansson.h>

#include "core/health.h"
#include "core/membership.h"

/*
 * The entries whose checks pass, in an array that the caller frees with
 * g_free. Their strings and labels belong to answer. Entries without a name
 * or address are left out.
 */
gc_instance_list_entry_t *gc_list_instances(json_t *answer,
					    GStringChunk *strings, size_t *n);
/*
 * The same for daemons. The label "peer_url" is the address for peers; the
 * entry's address and port are those of the caller listener.
 */
gc_member_descriptor_t *gc_list_daemons(json_t *answer, GStringChunk *strings,
					size_t *n);

#endif

/* Values in requests and responses between daemons. */
#ifndef GC_LIB_PEER_QUERY_H
#define GC_LIB_PEER_QUERY_H

#include <stdbool.h>

#include <glib.h>

#include "core/str.h"

/* Stands for a rate that isn't there. */
#define GC_NO_RATE (-1.0)

/* The parameters of a request's target, or NULL. */
GHashTable *gc_peer_params(gc_str_t target);
/* Empty if there is no such parameter. */
const char *gc_peer_param(GHashTable *params, const char *name);
bool gc_peer_param_number(GHashTable *params, const char *name, unsigned base,
			  guint64 max, guint64 *number);
/* A rate a second; "none" stands for none. */
bool gc_peer_parse_rate(const char *text, double *rate);
/* Free with g_free. */
char *gc_peer_format_rate(double rate);

#endif

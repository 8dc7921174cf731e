/* Reads and writes values in requests and responses between daemons. */
#include <string.h>

#include "lib/peer_query.h"

GHashTable *gc_peer_params(gc_str_t target)
{
	g_autofree char *text = g_strndup(target.data, target.len);
	const char *query = strchr(text, '?');

	return query ? g_uri_parse_params(query + 1, -1, "&", G_URI_PARAMS_NONE,
					  NULL)
		     : NULL;
}

const char *gc_peer_param(GHashTable *params, const char *name)
{
	const char *value = g_hash_table_lookup(params, name);

	return value ? value : "";
}

bool gc_peer_param_number(GHashTable *params, const char *name, unsigned base,
			  guint64 max, guint64 *number)
{
	return g_ascii_string_to_unsigned(gc_peer_param(params, name), base, 0,
					  max, number, NULL);
}

bool gc_peer_parse_rate(const char *text, double *rate)
{
	char *end;

	if (strcmp(text, "none") == 0) {
		*rate = GC_NO_RATE;
		return true;
	}
	*rate = g_ascii_strtod(text, &end);
	return end != text && *end == '\0' && *rate >= 0 && *rate < 1e12;
}

char *gc_peer_format_rate(double rate)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	return g_strdup(rate == GC_NO_RATE
				? "none"
				: g_ascii_dtostr(text, sizeof(text), rate));
}

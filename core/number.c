/* Numbers that peers send as text. */
#include <glib.h>

#include "core/number.h"

/* Longer texts are no numbers that a peer would mean. */
#define MAX_BYTES 32

bool gc_parse_whole(gc_str_t text, int64_t max, int64_t *number)
{
	int64_t sum = 0;

	if (text.len == 0 || text.len > MAX_BYTES)
		return false;
	for (size_t i = 0; i < text.len; i++)
		if (!g_ascii_isdigit(text.data[i]))
			return false;
	for (size_t i = 0; i < text.len && sum < max; i++) {
		int64_t digit = text.data[i] - '0';

		sum = sum > (max - digit) / 10 ? max : sum * 10 + digit;
	}
	*number = sum;
	return true;
}

bool gc_parse_decimal(gc_str_t text, double max, double *number)
{
	g_autofree char *copy = NULL;

	if (text.len == 0 || text.len > MAX_BYTES)
		return false;
	copy = g_strndup(text.data, text.len);
	/* g_ascii_strtod would take "inf", "nan", "-1" and "0x1", too. */
	if (strlen(copy) != strspn(copy, "0123456789.") ||
	    !g_ascii_isdigit(*copy) || strchr(copy, '.') != strrchr(copy, '.'))
		return false;
	*number = MIN(g_ascii_strtod(copy, NULL), max);
	return true;
}

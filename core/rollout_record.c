/* The barred versions of a record. */
#include "core/rollout_record.h"

/* The oldest barred versions are forgotten. */
#define MAX_BARRED 16

void gc_rollout_record_bar(gc_rollout_record_t *record, gc_str_t version)
{
	size_t first = record->n_barred >= MAX_BARRED;
	size_t n = record->n_barred - first;
	gc_str_t *barred;

	if (gc_rollout_is_barred(record, version))
		return;
	barred = talloc_array(record, gc_str_t, n + 1);
	for (size_t i = 0; i < n; i++)
		barred[i] = record->barred[first + i];
	barred[n] = gc_str_dup(record, version);
	record->barred = barred;
	record->n_barred = n + 1;
}

void gc_rollout_record_unbar(gc_rollout_record_t *record, gc_str_t version)
{
	gc_str_t *barred = talloc_array(record, gc_str_t, record->n_barred);
	size_t n = 0;

	for (size_t i = 0; i < record->n_barred; i++)
		if (!gc_str_eq(record->barred[i], version))
			barred[n++] = record->barred[i];
	record->barred = barred;
	record->n_barred = n;
}

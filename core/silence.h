/*
 * Decides about a server that has sent no event of a stream for too long: it is
 * either busy with prompts that came before, or it has lost the stream. A busy
 * one is kept: elsewhere the prompt would wait again and be read once more,
 * which prolongs an overload.
 */
#ifndef GC_CORE_SILENCE_H
#define GC_CORE_SILENCE_H

#include <stdbool.h>

#include "core/backends.h"

/* Must be zeroed at the start of an attempt. */
typedef struct gc_silence {
	/* Consecutive load reports without a prompt that waits. */
	unsigned int n_idle_reports;
} gc_silence_t;

/*
 * True if the attempt is kept. load: the server's report, asked for after its
 * silence became too long; NULL if it gave none.
 */
bool gc_silence_keep(gc_silence_t *silence, const gc_backend_load_t *load);

#endif

/*
 * Decides about a server that has sent no event of a stream for too long: it is
 * either busy with prompts that came before, or it has lost the stream. A busy
 * one is kept: elsewhere the prompt would wait again and be read once more,
 * which prolongs an overload.
 */
#ifndef GC_CORE_SILENCE_H
#define GC_CORE_SILENCE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "core/backends.h"

/* Must be zeroed at the start of an attempt. */
typedef struct gc_silence {
	/* Consecutive load reports without a prompt that waits. */
	unsigned int n_idle_reports;
	/* Of a stream that has sent events: when it is looked at next, and the server's
	 * last load report; zero: none. */
	struct timespec check_at;
	struct timespec reported_at;
} gc_silence_t;

typedef enum gc_silence_step {
	GC_SILENCE_KEEP,
	GC_SILENCE_ASK, /* for the server's load */
	GC_SILENCE_LEAVE,
} gc_silence_step_t;

/*
 * What to do about a server that sends no further event of a stream. It may read the
 * prompt of another request between its steps, and still answers for its load then;
 * a server that is gone doesn't. silent_ms: since the last event; reported_ms: since a
 * load report after that, -1 if there was none; limit_ms: the silence after which one
 * that gives no report is left. Sets *next_ms to the time until the next call for
 * GC_SILENCE_KEEP, or the time for the report for GC_SILENCE_ASK.
 */
gc_silence_step_t gc_silence_step(int64_t silent_ms, int64_t reported_ms,
				  int64_t limit_ms, int64_t *next_ms);
/* When a stream is looked at first after an event. */
int64_t gc_silence_ask_ms(int64_t limit_ms);

/*
 * About one that has sent no event yet: true if the attempt is kept. load: the server's
 * report, asked for after its silence became too long; NULL if it gave none.
 */
bool gc_silence_keep(gc_silence_t *silence, const gc_backend_load_t *load);

#endif

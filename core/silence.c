/* Tells a busy server from one that has lost a stream. */
#include <glib.h>

#include "core/silence.h"

/* The prompt may be the one that is just being read, which counts as running,
 * so one report without a queue proves nothing. */
#define MAX_IDLE_REPORTS 2

/* Silence after which a server is asked for its load, and after which one is left that
 * reports, in parts of the limit for one that doesn't. With a limit of 0.55 of the
 * longest gap between events that leaves the last fifth of the gap for the next server. */
#define ASK_FRACTION	  0.73
#define REPORTED_FRACTION 1.45
/* A report tells for this part of the limit that a server is there. */
#define REPORT_FRACTION 0.45
/* Shortest time for a report. */
#define MIN_REPORT_MS 50

bool gc_silence_keep(gc_silence_t *silence, const gc_backend_load_t *load)
{
	if (!load)
		return false;
	if (load->queued > 0) {
		silence->n_idle_reports = 0;
		return true;
	}
	return ++silence->n_idle_reports < MAX_IDLE_REPORTS;
}

int64_t gc_silence_ask_ms(int64_t limit_ms)
{
	return (int64_t)(ASK_FRACTION * (double)limit_ms);
}

gc_silence_step_t gc_silence_step(int64_t silent_ms, int64_t reported_ms,
				  int64_t limit_ms, int64_t *next_ms)
{
	int64_t ask_ms = gc_silence_ask_ms(limit_ms);
	int64_t end_ms = (int64_t)(REPORTED_FRACTION * (double)limit_ms);
	int64_t valid_ms = (int64_t)(REPORT_FRACTION * (double)limit_ms);

	*next_ms = 0;
	if (silent_ms >= end_ms)
		return GC_SILENCE_LEAVE;
	if (silent_ms < ask_ms) {
		*next_ms = ask_ms - silent_ms;
		return GC_SILENCE_KEEP;
	}
	if (reported_ms >= 0 && reported_ms < valid_ms) {
		*next_ms = MIN(valid_ms - reported_ms, end_ms - silent_ms);
		return GC_SILENCE_KEEP;
	}
	*next_ms = MAX(limit_ms - silent_ms, MIN_REPORT_MS);
	return GC_SILENCE_ASK;
}

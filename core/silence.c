/* Tells a busy server from one that has lost a stream. */
#include "core/silence.h"

/* The prompt may be the one that is just being read, which counts as running,
 * so one report without a queue proves nothing. */
#define MAX_IDLE_REPORTS 2

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

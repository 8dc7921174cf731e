/* Decides between another attempt, a refusal and a failure. */
#include "core/attempts.h"

/* An attempt with less time than this is not worth its load. */
#define LEAST_LEFT_MS 20

static bool attempts_left(const gc_attempts_t *attempts);

void gc_attempts_sent(gc_attempts_t *attempts)
{
	attempts->sent++;
}

gc_next_t gc_attempts_end(gc_attempts_t *attempts, gc_attempt_end_t end,
			  int64_t left_ms, bool *repeat)
{
	*repeat = end != GC_END_UNREACHED;
	if (end == GC_END_UNREACHED)
		attempts->sent--;
	if (end != GC_END_UNREACHED && end != GC_END_REFUSED &&
	    end != GC_END_MOVED)
		attempts->may_have_run = true;
	if (end == GC_END_BROKEN || end == GC_END_SILENT || end == GC_END_MOVED)
		attempts->lost++;
	if (attempts->may_have_run && !gc_route_may_repeat(attempts->route))
		return end == GC_END_FAILED ? GC_NEXT_PASS : GC_NEXT_FAIL;
	if (attempts_left(attempts) && left_ms >= LEAST_LEFT_MS)
		return GC_NEXT_RETRY;
	if (end == GC_END_FAILED)
		return GC_NEXT_PASS;
	return gc_attempts_give_up(attempts);
}

/* Servers that were lost meanwhile don't use up the operator's limit twice. */
static bool attempts_left(const gc_attempts_t *attempts)
{
	uint32_t max = attempts->route->max_attempts;

	if (attempts->sent < max)
		return true;
	return attempts->route->kind == GC_ROUTE_STREAM &&
	       attempts->sent - attempts->lost < max &&
	       attempts->sent < 2 * max;
}

gc_next_t gc_attempts_give_up(const gc_attempts_t *attempts)
{
	return attempts->may_have_run ? GC_NEXT_FAIL : GC_NEXT_REFUSE;
}

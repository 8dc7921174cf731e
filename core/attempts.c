/* Decides between a retry, a refusal and a failure. */
#include "core/attempts.h"

/* With less time left, a retry would only add load. */
#define MIN_LEFT_MS 20

static bool may_try_another(const gc_attempts_t *attempts);

void gc_attempts_count_sent(gc_attempts_t *attempts)
{
	attempts->sent++;
}

gc_retry_decision_t gc_attempts_decide(gc_attempts_t *attempts,
				       gc_attempt_end_t end, int64_t left_ms,
				       bool *uses_budget)
{
	*uses_budget = end != GC_END_UNREACHABLE;
	if (end == GC_END_UNREACHABLE)
		attempts->sent--;
	if (end != GC_END_UNREACHABLE && end != GC_END_REFUSED &&
	    end != GC_END_REPLACED)
		attempts->may_have_run = true;
	if (end == GC_END_REFUSED)
		attempts->refused++;
	if (end == GC_END_REPLACED)
		attempts->replaced++;
	if (end == GC_END_BROKEN || end == GC_END_CUT)
		attempts->lost++;
	if (attempts->may_have_run && !gc_route_allows_rerun(attempts->route))
		return end == GC_END_FAILED ? GC_DECISION_FORWARD
					    : GC_DECISION_FAIL;
	if (may_try_another(attempts) && left_ms >= MIN_LEFT_MS)
		return GC_DECISION_RETRY;
	if (end == GC_END_FAILED)
		return GC_DECISION_FORWARD;
	return gc_attempts_final_decision(attempts);
}

/* Once the request may have run, servers that did not run it don't count against the
 * operator's limit: its caller couldn't be told that it was not run. Servers that a
 * stream lost don't count either. A request is sent to at most twice as many
 * servers as that limit, and to those that turn away what has begun. A silent server
 * counts, as it may be sound. */
static bool may_try_another(const gc_attempts_t *attempts)
{
	uint32_t max = attempts->route->max_attempts;
	bool is_stream = attempts->route->kind == GC_ROUTE_STREAM;
	uint32_t counted = attempts->sent;
	uint32_t all = attempts->sent;

	if (is_stream)
		counted -= attempts->lost;
	if (is_stream || attempts->may_have_run)
		counted -= attempts->replaced;
	if (attempts->may_have_run)
		counted -= attempts->refused;
	if (attempts->begun)
		all -= attempts->refused;
	return counted < max && all < 2 * max;
}

bool gc_attempts_may_leave(const gc_attempts_t *attempts, int64_t left_ms)
{
	gc_attempts_t after = *attempts;
	bool uses_budget;

	return gc_attempts_decide(&after, GC_END_TIMED_OUT, left_ms,
				  &uses_budget) == GC_DECISION_RETRY;
}

gc_retry_decision_t gc_attempts_final_decision(const gc_attempts_t *attempts)
{
	return attempts->may_have_run ? GC_DECISION_FAIL : GC_DECISION_REFUSE;
}

/* The bound over all bytes that a traffic thread buffers. */
#include <malloc.h>

#include "lib/buffer_bound.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/socket.h"

/* Interval at which connections that wait for peers are looked at. */
#define CHECK_MS 100
/* Pressure has ended once it was below the soft part of the bound for this long, so that
 * a level about its limit gives few log lines. */
#define CALM_MS 1000
/* An upload that waits longer takes the room of a connection without progress. */
#define UPLOAD_WAIT_MS 500
/* While the bound is exceeded, less is read at once, and a response that isn't complete
 * with so many bytes isn't read further: 1,000 streams that begin before one of them can
 * be ended would hold 16 MB otherwise. */
#define EXCEEDED_READ_BYTES 2048
#define SOURCE_BYTES	    4096
/* Servers that are read again at a time while the bound is exceeded and nobody can be
 * ended, as their callers may take all. */
#define RESUMED_SOURCES 4

struct gc_buffer_account {
	gc_buffer_bound_t *bound;
	gc_held_account_t *held;
	gc_buffer_ops_t ops;
	void *ctx;
	GList link; /* in bound->delayed */
	GList source_link; /* in bound->stopped */
	bool source_stopped;
	bool source_has_turn; /* it is read until it is forwarded */
	bool delayed;
	bool admitted;
	uint64_t wanted; /* bytes of a delayed upload */
	struct timespec delayed_at;
};

struct gc_buffer_bound {
	gc_held_bytes_t *held;
	const gc_clock_t *clock;
	gc_timer_t *timer;
	GQueue delayed; /* uploads, oldest first */
	GQueue stopped; /* accounts whose servers aren't read */
	unsigned int n_admitted;
	bool timer_runs;
	bool reads_less;
	bool pressed;
	struct timespec pressed_at; /* begin, and last time */
	struct timespec last_pressed;
	uint64_t peak; /* bytes, since the begin */
	uint64_t ended; /* connections, since the begin */
	gc_metric_t *gauge;
	gc_metric_t *ended_counter;
};

static int account_destructor(gc_buffer_account_t *account);
static int bound_destructor(gc_buffer_bound_t *bound);
static struct timespec now_of(const gc_buffer_bound_t *bound);
static void adjust_reads(gc_buffer_bound_t *bound);
static bool stop_source(gc_buffer_account_t *account);
static void start_timer(gc_buffer_bound_t *bound);
static void on_check(void *ctx);
static void refresh_waiting(gc_buffer_bound_t *bound);
static void watch_pressure(gc_buffer_bound_t *bound);
static void log_pressure(const gc_buffer_bound_t *bound, const char *message);
static void end_slowest(gc_buffer_bound_t *bound);
static bool needs_room(const gc_buffer_bound_t *bound,
		       gc_held_account_t *chosen);
static void end_account(gc_buffer_account_t *account);
static void admit_delayed(gc_buffer_bound_t *bound);
static void resume_sources(gc_buffer_bound_t *bound);
static bool has_room(const gc_buffer_bound_t *bound, uint64_t bytes);
static void remove_delayed(gc_buffer_account_t *account);

gc_buffer_bound_t *gc_buffer_bound_create(TALLOC_CTX *mem, gc_timers_t *timers,
					  const gc_clock_t *clock,
					  uint64_t max_bytes)
{
	gc_buffer_bound_t *bound = talloc_zero(mem, gc_buffer_bound_t);

	bound->held = gc_held_bytes_create(bound, max_bytes);
	bound->clock = clock;
	bound->timer = gc_timer_create(bound, timers, on_check, bound);
	g_queue_init(&bound->delayed);
	g_queue_init(&bound->stopped);
	bound->gauge =
		gc_gauge("goldcrest_held_bytes",
			 "Bytes buffered for callers and servers.", NULL, NULL);
	bound->ended_counter =
		gc_counter("goldcrest_held_ended_total",
			   "Connections ended as their peers took too little.",
			   NULL, NULL);
	talloc_set_destructor(bound, bound_destructor);
	return bound;
}

/* The accounts are freed before, with their connections. */
static int bound_destructor(gc_buffer_bound_t *bound)
{
	gc_gauge_set(bound->gauge, 0);
	return 0;
}

gc_buffer_account_t *gc_buffer_account_create(TALLOC_CTX *mem,
					      gc_buffer_bound_t *bound,
					      const gc_buffer_ops_t *ops,
					      void *ctx)
{
	gc_buffer_account_t *account = talloc_zero(mem, gc_buffer_account_t);

	account->bound = bound;
	account->held = gc_held_account_create(account, bound->held, account);
	account->ops = *ops;
	account->ctx = ctx;
	account->link.data = account;
	account->source_link.data = account;
	talloc_set_destructor(account, account_destructor);
	return account;
}

static int account_destructor(gc_buffer_account_t *account)
{
	gc_buffer_end_upload(account);
	if (account->source_stopped)
		g_queue_unlink(&account->bound->stopped, &account->source_link);
	return 0;
}

static struct timespec now_of(const gc_buffer_bound_t *bound)
{
	return gc_clock_now(bound->clock);
}

void gc_buffer_set(gc_buffer_account_t *account, gc_held_part_t part,
		   size_t bytes)
{
	if (!account || gc_held_part(account->held, part) == bytes)
		return;
	gc_held_set(account->held, part, bytes, now_of(account->bound));
	adjust_reads(account->bound);
	start_timer(account->bound);
}

void gc_buffer_set_unsent(gc_buffer_account_t *account, gc_held_part_t part,
			  size_t unsent)
{
	gc_buffer_set(account, part,
		      unsent > 0 ? gc_buffer_memory(unsent) +
					   GC_KERNEL_UNSENT_BYTES
				 : 0);
}

size_t gc_buffer_memory(size_t bytes)
{
	size_t memory = 1;

	if (bytes == 0)
		return 0;
	while (memory < bytes)
		memory *= 2;
	return memory;
}

bool gc_buffer_stop_source(gc_buffer_account_t *account)
{
	gc_buffer_bound_t *bound;

	if (!account)
		return false;
	bound = account->bound;
	if (gc_held_part(account->held, GC_HELD_RESPONSE) < SOURCE_BYTES)
		account->source_has_turn = false;
	else if (gc_held_is_exceeded(bound->held) && !account->source_has_turn)
		return stop_source(account);
	return false;
}

static bool stop_source(gc_buffer_account_t *account)
{
	gc_buffer_bound_t *bound = account->bound;

	if (!account->source_stopped)
		g_queue_push_tail_link(&bound->stopped, &account->source_link);
	account->source_stopped = true;
	start_timer(bound);
	return true;
}

void gc_buffer_add_progress(gc_buffer_account_t *account, uint64_t bytes)
{
	if (account)
		gc_held_add_progress(account->held, bytes,
				     now_of(account->bound));
}

void gc_buffer_restart_progress(gc_buffer_account_t *account)
{
	if (account)
		gc_held_restart_progress(account->held);
}

size_t gc_buffer_allowance(const gc_buffer_account_t *account, size_t fallback)
{
	return account ? MIN(gc_held_allowance(account->bound->held), fallback)
		       : fallback;
}

bool gc_buffer_admit_upload(gc_buffer_account_t *account, uint64_t bytes)
{
	gc_buffer_bound_t *bound;

	if (!account || account->admitted || bytes <= GC_SMALL_UPLOAD_BYTES)
		return true;
	bound = account->bound;
	if (!account->delayed && bound->delayed.length == 0 &&
	    has_room(bound, bytes)) {
		account->admitted = true;
		bound->n_admitted++;
		return true;
	}
	account->wanted = bytes;
	if (!account->delayed) {
		account->delayed = true;
		account->delayed_at = now_of(bound);
		g_queue_push_tail_link(&bound->delayed, &account->link);
		start_timer(bound);
	}
	return false;
}

/* One upload goes on in any case, as all would wait for each other otherwise. */
static bool has_room(const gc_buffer_bound_t *bound, uint64_t bytes)
{
	return bound->n_admitted == 0 || gc_held_has_room(bound->held, bytes);
}

void gc_buffer_end_upload(gc_buffer_account_t *account)
{
	if (!account)
		return;
	remove_delayed(account);
	account->bound->n_admitted -= account->admitted;
	account->admitted = false;
}

static void remove_delayed(gc_buffer_account_t *account)
{
	if (account->delayed)
		g_queue_unlink(&account->bound->delayed, &account->link);
	account->delayed = false;
}

static void adjust_reads(gc_buffer_bound_t *bound)
{
	bool exceeded = gc_held_is_exceeded(bound->held);

	if (exceeded != bound->reads_less)
		gc_socket_set_read_max(exceeded ? EXCEEDED_READ_BYTES : 0);
	bound->reads_less = exceeded;
}

static void start_timer(gc_buffer_bound_t *bound)
{
	if (!bound->timer_runs)
		gc_timer_set(bound->timer, CHECK_MS);
	bound->timer_runs = true;
}

static void on_check(void *ctx)
{
	gc_buffer_bound_t *bound = ctx;

	bound->timer_runs = false;
	refresh_waiting(bound);
	watch_pressure(bound);
	end_slowest(bound);
	adjust_reads(bound);
	admit_delayed(bound);
	resume_sources(bound);
	gc_gauge_set(bound->gauge, (int64_t)gc_held_total(bound->held));
	if (gc_held_total(bound->held) > 0 || bound->pressed)
		start_timer(bound);
}

static void refresh_waiting(gc_buffer_bound_t *bound)
{
	gc_held_account_t *next;

	for (gc_held_account_t *a = gc_held_first_waiting(bound->held); a;
	     a = next) {
		gc_buffer_account_t *account = gc_held_account_ctx(a);

		next = gc_held_next_waiting(a);
		account->ops.refresh(account->ctx);
	}
}

static void watch_pressure(gc_buffer_bound_t *bound)
{
	struct timespec now = now_of(bound);

	if (gc_held_is_pressed(bound->held) || bound->delayed.length > 0) {
		bound->last_pressed = now;
		if (!bound->pressed) {
			bound->pressed = true;
			bound->pressed_at = now;
			bound->peak = gc_held_total(bound->held);
			bound->ended = 0;
			log_pressure(bound, "back-pressure begins");
		}
		bound->peak = MAX(bound->peak, gc_held_total(bound->held));
	} else if (bound->pressed &&
		   gc_ms_between(bound->last_pressed, now) >= CALM_MS) {
		bound->pressed = false;
		log_pressure(bound, "back-pressure ends");
		/* The next burst finds the memory that this one took. */
		malloc_trim(0);
	}
}

static void log_pressure(const gc_buffer_bound_t *bound, const char *message)
{
	g_autofree char *held = g_strdup_printf("%" G_GUINT64_FORMAT,
						gc_held_total(bound->held));
	g_autofree char *max =
		g_strdup_printf("%" G_GUINT64_FORMAT, gc_held_max(bound->held));
	g_autofree char *peak =
		g_strdup_printf("%" G_GUINT64_FORMAT, bound->peak);
	g_autofree char *ended =
		g_strdup_printf("%" G_GUINT64_FORMAT, bound->ended);
	g_autofree char *ms = g_strdup_printf("%" G_GINT64_FORMAT,
					      gc_ms_between(bound->pressed_at,
							    now_of(bound)));

	gc_log(bound->pressed ? GC_LOG_WARNING : GC_LOG_INFO,
	       GC_EVENT_BACK_PRESSURE, message, "held", held, "max", max,
	       "peak", peak, "ended", ended, "ms", ms, NULL);
}

static void end_slowest(gc_buffer_bound_t *bound)
{
	/* Each end lowers what is held; the limit guards against one that doesn't. */
	for (gc_held_account_t *before = NULL;;) {
		gc_held_account_t *chosen =
			gc_held_is_exceeded(bound->held) ||
					bound->delayed.length > 0
				? gc_held_choose(bound->held, now_of(bound))
				: NULL;

		if (!chosen || chosen == before || !needs_room(bound, chosen))
			return;
		before = chosen;
		end_account(gc_held_account_ctx(chosen));
	}
}

static bool needs_room(const gc_buffer_bound_t *bound,
		       gc_held_account_t *chosen)
{
	const gc_buffer_account_t *first;
	struct timespec now = now_of(bound);

	if (gc_held_is_exceeded(bound->held))
		return true;
	first = g_queue_peek_head((GQueue *)&bound->delayed);
	return first && !has_room(bound, first->wanted) &&
	       gc_ms_between(first->delayed_at, now) >= UPLOAD_WAIT_MS &&
	       gc_held_recent_progress(chosen, now) == 0;
}

static void end_account(gc_buffer_account_t *account)
{
	gc_buffer_bound_t *bound = account->bound;
	struct timespec now = now_of(bound);
	gc_str_t id = account->ops.request_id(account->ctx);
	g_autofree char *request = g_strndup(id.len > 0 ? id.data : "", id.len);
	g_autofree char *held = g_strdup_printf(
		"%" G_GUINT64_FORMAT, gc_held_account_bytes(account->held));
	g_autofree char *taken =
		g_strdup_printf("%" G_GUINT64_FORMAT,
				gc_held_recent_progress(account->held, now));
	g_autofree char *waiting_ms = g_strdup_printf(
		"%" G_GINT64_FORMAT, gc_held_waiting_ms(account->held, now));
	const char *peer =
		gc_held_part(account->held, GC_HELD_TO_CALLER) > 0   ? "caller"
		: gc_held_part(account->held, GC_HELD_TO_SERVER) > 0 ? "server"
								     : "upload";

	bound->ended++;
	gc_counter_add(bound->ended_counter, 1);
	gc_log(GC_LOG_WARNING, GC_EVENT_SLOW_PEER_ENDED,
	       "connection ended, as its peer takes too little", "request",
	       request, "peer", peer, "held", held, "taken", taken,
	       "waiting_ms", waiting_ms, NULL);
	account->ops.end(account->ctx);
}

static void resume_sources(gc_buffer_bound_t *bound)
{
	gc_buffer_account_t *account;

	for (unsigned int n = 0;
	     (!gc_held_is_exceeded(bound->held) || n < RESUMED_SOURCES) &&
	     (account = g_queue_peek_head(&bound->stopped));
	     n++) {
		g_queue_unlink(&bound->stopped, &account->source_link);
		account->source_stopped = false;
		account->source_has_turn = gc_held_is_exceeded(bound->held);
		account->ops.resume_source(account->ctx);
	}
}

static void admit_delayed(gc_buffer_bound_t *bound)
{
	gc_buffer_account_t *account;

	while ((account = g_queue_peek_head(&bound->delayed)) &&
	       has_room(bound, account->wanted)) {
		remove_delayed(account);
		account->admitted = true;
		bound->n_admitted++;
		/* The rest that was announced counts from now on. */
		account->ops.resume(account->ctx);
	}
}

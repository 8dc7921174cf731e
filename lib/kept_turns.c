/* Turns of the daemons that write the evidence on refused traits. */
#include <glib.h>

#include "lib/kept_turns.h"

/* A notice of the daemon before this one takes the pause of a watch after a change,
 * twice, as that daemon learns of the crashes in the same way, and the write. */
#define TURN_MS 1000
/* How long a notice that was read spares others theirs: less than the interval at
 * which it is written again. */
#define READ_MS 200000
/* Evidence that waits for its turn, and notices that are remembered. */
#define MAX_WAITING 128
#define MAX_READ    256

typedef struct waiting {
	gc_crash_evidence_t evidence;
	struct timespec due;
} waiting_t;

typedef struct read_notice {
	uint64_t trait;
	size_t n_reports; /* 0: unused */
	struct timespec at;
} read_notice_t;

struct gc_kept_turns {
	gc_kept_turns_conf_t conf;
	GQueue waiting; /* of waiting_t */
	read_notice_t read[MAX_READ]; /* ring */
	size_t next_read;
	gc_timer_t *timer;
};

static int turns_destructor(gc_kept_turns_t *turns);
static bool is_read(const gc_kept_turns_t *turns,
		    const gc_crash_evidence_t *evidence, struct timespec now);
static void drop_up_to(gc_kept_turns_t *turns, uint64_t trait, size_t n);
static void on_timer(void *ctx);
static void set_timer(gc_kept_turns_t *turns, struct timespec now);

gc_kept_turns_t *gc_kept_turns_create(TALLOC_CTX *mem,
				      const gc_kept_turns_conf_t *conf)
{
	gc_kept_turns_t *turns = talloc_zero(mem, gc_kept_turns_t);

	turns->conf = *conf;
	g_queue_init(&turns->waiting);
	turns->timer = gc_timer_create(turns, conf->timers, on_timer, turns);
	talloc_set_destructor(turns, turns_destructor);
	return turns;
}

static int turns_destructor(gc_kept_turns_t *turns)
{
	g_queue_clear(&turns->waiting);
	return 0;
}

void gc_kept_turns_add(gc_kept_turns_t *turns,
		       const gc_crash_evidence_t *evidence)
{
	struct timespec now = gc_clock_now(turns->conf.clock);
	waiting_t *waiting;

	/* What waits is older. */
	gc_kept_turns_drop(turns, evidence->trait);
	if (evidence->turn == 0) {
		turns->conf.write(turns->conf.ctx, evidence);
		return;
	}
	if (is_read(turns, evidence, now) ||
	    turns->waiting.length == MAX_WAITING)
		return;
	waiting = talloc(turns, waiting_t);
	waiting->evidence = *evidence;
	waiting->due = gc_add_ms(now, (int64_t)evidence->turn * TURN_MS);
	g_queue_push_tail(&turns->waiting, waiting);
	set_timer(turns, now);
}

static bool is_read(const gc_kept_turns_t *turns,
		    const gc_crash_evidence_t *evidence, struct timespec now)
{
	for (size_t i = 0; i < MAX_READ; i++) {
		const read_notice_t *notice = &turns->read[i];

		if (notice->trait == evidence->trait &&
		    notice->n_reports >= evidence->n &&
		    gc_ms_between(notice->at, now) < READ_MS)
			return true;
	}
	return false;
}

void gc_kept_turns_read(gc_kept_turns_t *turns, uint64_t trait, size_t n)
{
	read_notice_t *notice = NULL;

	for (size_t i = 0; !notice && i < MAX_READ; i++)
		if (turns->read[i].n_reports > 0 &&
		    turns->read[i].trait == trait)
			notice = &turns->read[i];
	if (!notice) {
		notice = &turns->read[turns->next_read];
		turns->next_read = (turns->next_read + 1) % MAX_READ;
	}
	*notice = (read_notice_t){
		.trait = trait,
		.n_reports = n,
		.at = gc_clock_now(turns->conf.clock),
	};
	drop_up_to(turns, trait, n);
}

void gc_kept_turns_drop(gc_kept_turns_t *turns, uint64_t trait)
{
	drop_up_to(turns, trait, SIZE_MAX);
}

/* Evidence with at most n reports. */
static void drop_up_to(gc_kept_turns_t *turns, uint64_t trait, size_t n)
{
	GList *next;

	for (GList *link = turns->waiting.head; link; link = next) {
		waiting_t *waiting = link->data;

		next = link->next;
		if (waiting->evidence.trait != trait || waiting->evidence.n > n)
			continue;
		g_queue_delete_link(&turns->waiting, link);
		talloc_free(waiting);
	}
}

void gc_kept_turns_store_restored(gc_kept_turns_t *turns)
{
	for (size_t i = 0; i < MAX_READ; i++)
		turns->read[i].n_reports = 0;
}

void gc_kept_turns_stop(gc_kept_turns_t *turns)
{
	waiting_t *waiting;

	gc_timer_stop(turns->timer);
	while ((waiting = g_queue_pop_head(&turns->waiting)) != NULL)
		talloc_free(waiting);
}

static void on_timer(void *ctx)
{
	gc_kept_turns_t *turns = ctx;
	struct timespec now = gc_clock_now(turns->conf.clock);
	GList *next;

	for (GList *link = turns->waiting.head; link; link = next) {
		waiting_t *waiting = link->data;

		next = link->next;
		if (gc_ms_between(now, waiting->due) > 0)
			continue;
		g_queue_delete_link(&turns->waiting, link);
		turns->conf.write(turns->conf.ctx, &waiting->evidence);
		talloc_free(waiting);
	}
	set_timer(turns, now);
}

static void set_timer(gc_kept_turns_t *turns, struct timespec now)
{
	int64_t wait_ms = INT64_MAX;

	for (GList *link = turns->waiting.head; link; link = link->next)
		wait_ms =
			MIN(wait_ms,
			    gc_ms_between(now, ((waiting_t *)link->data)->due));
	if (turns->waiting.length > 0)
		gc_timer_set(turns->timer, MAX(wait_ms, 0));
}

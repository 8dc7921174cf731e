/*
 * Finds the parts of prompts under which backend servers crash, and decides
 * which requests are still sent. A request with such a part crashes each server
 * that gets it, together with all other work there. Not thread-safe.
 *
 * Daemons exchange two kinds of notices through the store: crash reports, and
 * notices that a suspected part has been served. A part that crashes servers
 * does so each time, so a part that was served after a crash didn't cause it.
 */
#ifndef GC_CORE_CRASH_SUSPECTS_H
#define GC_CORE_CRASH_SUSPECTS_H

#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

/* Further parts of a prompt are ignored. */
#define GC_PROMPT_PARTS_MAX 8

typedef struct gc_crash_suspects gc_crash_suspects_t;

/* The parts of a prompt that other requests may share: hashes of the service
 * and of the part's id. */
typedef struct gc_prompt_parts {
	uint64_t ids[GC_PROMPT_PARTS_MAX];
	size_t n;
} gc_prompt_parts_t;

/* Adds a part unless it is there or the list is full. */
void gc_prompt_parts_add(gc_prompt_parts_t *parts, uint64_t part);

/* A server crashed before the first event of a request. */
typedef struct gc_crash_report {
	uint64_t id; /* unique in the fleet */
	int64_t at_ms; /* time of day of the daemon that reports it */
	gc_prompt_parts_t parts;
} gc_crash_report_t;

typedef enum gc_prompt_verdict {
	GC_PROMPT_SEND,
	/* Crashed servers, and is tried again by this daemon alone: a service
	 * ends a wrong verdict. */
	GC_PROMPT_TRY,
	GC_PROMPT_REFUSE,
} gc_prompt_verdict_t;

gc_crash_suspects_t *gc_crash_suspects_create(TALLOC_CTX *mem);
/* This daemon's index among the daemons of the fleet; see
 * GC_PROMPT_TRY. */
void gc_crash_suspects_set_rank(gc_crash_suspects_t *suspects, size_t rank,
				size_t n_daemons);
/*
 * Adds a report; one that is known is ignored. The time of the report, not its
 * arrival, tells it from others of the same event. revision: of the report in the
 * store; 0: of this daemon, not yet read from the store.
 */
void gc_crash_suspects_add_report(gc_crash_suspects_t *suspects,
				  struct timespec now,
				  const gc_crash_report_t *report,
				  uint64_t revision);
/* Another daemon says that the part has been served. */
void gc_crash_suspects_add_served(gc_crash_suspects_t *suspects,
				  struct timespec now, uint64_t part,
				  uint64_t revision);
/* A server sent the first event of a request with these parts. */
void gc_crash_suspects_record_served(gc_crash_suspects_t *suspects,
				     struct timespec now,
				     const gc_prompt_parts_t *parts);
/*
 * Stores the parts whose service the other daemons have to be told of, at most
 * max, and returns their number. Each is returned once for a report.
 */
size_t gc_crash_suspects_take_served(gc_crash_suspects_t *suspects,
				     struct timespec now, uint64_t *parts,
				     size_t max);
/*
 * Decides whether a request with these parts is sent. GC_PROMPT_TRY is returned
 * once per trial.
 */
gc_prompt_verdict_t gc_crash_suspects_judge(gc_crash_suspects_t *suspects,
					    struct timespec now,
					    const gc_prompt_parts_t *parts);

#endif

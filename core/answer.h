/*
 * What one attempt of a request has been answered so far. It is one value, so that a
 * request that goes back to an attempt which it had left gets nothing of another one.
 */
#ifndef GC_CORE_ANSWER_H
#define GC_CORE_ANSWER_H

#include <stdbool.h>

#include <glib.h>

typedef struct gc_answer {
	int status; /* 0: no head yet */
	GString *head; /* header lines for the caller */
	GByteArray *body; /* received and not forwarded; not of events */
	bool received_event;
	/* Of a stream whose run is kept: its incomplete event, or NULL. */
	GByteArray *partial_event;
	/* It names the request, so that it can't be a late copy of an answer to another
	 * one. */
	bool identified;
	bool success; /* 2xx with an authentication code, and a stream if it has to be */
	bool not_run; /* the server states that it did not run the request */
	bool misdirected; /* 421: another server has the address now */
	bool not_a_stream; /* though it is to go on with one */
} gc_answer_t;

/* An empty one, with one reference. */
gc_answer_t *gc_answer_create(void);
gc_answer_t *gc_answer_ref(gc_answer_t *answer);
/* answer: NULL for none. */
void gc_answer_unref(gc_answer_t *answer);

#endif

/* Passes messages from any thread to the thread of one tevent loop. */
#ifndef GC_LIB_MAILBOX_H
#define GC_LIB_MAILBOX_H

#include <talloc.h>
#include <tevent.h>

typedef struct gc_mailbox gc_mailbox_t;

/* Handles one message in the mailbox's thread; frees it. */
typedef void (*gc_mailbox_handler_t)(void *ctx, void *message);

/* Belongs to the thread of ev. ctx is passed to every handler. */
gc_mailbox_t *gc_mailbox_create(TALLOC_CTX *mem, struct tevent_context *ev,
				void *ctx);
void gc_mailbox_destroy(gc_mailbox_t *mailbox);
/*
 * Queues a message: handler(ctx, message) is called in the mailbox's thread, in
 * the order of the posts. Safe from every thread. message must not be talloc
 * memory of the sender, because talloc is not thread-safe; handler frees it.
 */
void gc_mailbox_post(gc_mailbox_t *mailbox, gc_mailbox_handler_t handler,
		     void *message);

#endif

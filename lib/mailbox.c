/* Passes messages from any thread to the thread of one tevent loop. */
#include <sys/eventfd.h>
#include <unistd.h>

#include <glib.h>

#include "lib/mailbox.h"

/* A queued message. */
typedef struct queued_message {
	gc_mailbox_handler_t handler;
	void *message;
} queued_message_t;

struct gc_mailbox {
	GAsyncQueue *queue;
	int fd; /* eventfd that wakes the loop */
	struct tevent_fd *fde;
	void *ctx;
};

static int mailbox_destructor(gc_mailbox_t *mailbox);
static void deliver_messages(struct tevent_context *ev, struct tevent_fd *fde,
			     uint16_t flags, void *ctx);

gc_mailbox_t *gc_mailbox_create(TALLOC_CTX *mem, struct tevent_context *ev,
				void *ctx)
{
	gc_mailbox_t *mailbox = talloc_zero(mem, gc_mailbox_t);

	mailbox->ctx = ctx;
	mailbox->queue = g_async_queue_new_full(g_free);
	mailbox->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	mailbox->fde = tevent_add_fd(ev, mailbox, mailbox->fd, TEVENT_FD_READ,
				     deliver_messages, mailbox);
	talloc_set_destructor(mailbox, mailbox_destructor);
	return mailbox;
}

void gc_mailbox_destroy(gc_mailbox_t *mailbox)
{
	talloc_free(mailbox);
}

static int mailbox_destructor(gc_mailbox_t *mailbox)
{
	TALLOC_FREE(mailbox->fde);
	close(mailbox->fd);
	g_async_queue_unref(mailbox->queue);
	return 0;
}

void gc_mailbox_post(gc_mailbox_t *mailbox, gc_mailbox_handler_t handler,
		     void *message)
{
	queued_message_t *queued = g_new(queued_message_t, 1);

	queued->handler = handler;
	queued->message = message;
	g_async_queue_push(mailbox->queue, queued);
	eventfd_write(mailbox->fd, 1);
}

static void deliver_messages(struct tevent_context *ev, struct tevent_fd *fde,
			     uint16_t flags, void *ctx)
{
	gc_mailbox_t *mailbox = ctx;
	eventfd_t count;
	queued_message_t *queued;

	eventfd_read(mailbox->fd, &count);
	while ((queued = g_async_queue_try_pop(mailbox->queue)) != NULL) {
		queued->handler(mailbox->ctx, queued->message);
		g_free(queued);
	}
}

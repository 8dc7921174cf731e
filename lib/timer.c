/* Timers on the clock of gc_clock_system: a binary heap over one timer descriptor. */
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "core/clock.h"
#include "lib/timer.h"

#define NOT_QUEUED (-1) /* heap_index of a stopped timer */

struct gc_timer {
	gc_timers_t *timers;
	gc_timer_fn_t fn;
	void *ctx;
	struct timespec due;
	int heap_index;
};

struct gc_timers {
	int fd;
	struct tevent_fd *fde;
	GPtrArray *heap;
	/* Expiry of the descriptor; tv_sec 0: not armed. */
	struct timespec armed_for;
};

static int timers_destructor(gc_timers_t *timers);
static int timer_destructor(gc_timer_t *timer);
static struct timespec current_time(void);
static bool due_before(const gc_timers_t *timers, int a, int b);
static void swap(gc_timers_t *timers, int a, int b);
static void sift_up(gc_timers_t *timers, int index);
static void sift_down(gc_timers_t *timers, int index);
static void arm(gc_timers_t *timers);
static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *ctx);

gc_timers_t *gc_timers_create(TALLOC_CTX *mem, struct tevent_context *ev)
{
	gc_timers_t *timers = talloc_zero(mem, gc_timers_t);

	timers->fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	if (timers->fd < 0) {
		talloc_free(timers);
		return NULL;
	}
	timers->heap = g_ptr_array_new();
	timers->fde = tevent_add_fd(ev, timers, timers->fd, TEVENT_FD_READ,
				    on_fd, timers);
	talloc_set_destructor(timers, timers_destructor);
	return timers;
}

static int timers_destructor(gc_timers_t *timers)
{
	for (guint i = 0; i < timers->heap->len; i++) {
		gc_timer_t *timer = g_ptr_array_index(timers->heap, i);

		timer->heap_index = NOT_QUEUED;
	}
	TALLOC_FREE(timers->fde);
	close(timers->fd);
	g_ptr_array_free(timers->heap, TRUE);
	return 0;
}

gc_timer_t *gc_timer_create(TALLOC_CTX *mem, gc_timers_t *timers,
			    gc_timer_fn_t fn, void *ctx)
{
	gc_timer_t *timer = talloc_zero(mem, gc_timer_t);

	timer->timers = timers;
	timer->fn = fn;
	timer->ctx = ctx;
	timer->heap_index = NOT_QUEUED;
	talloc_set_destructor(timer, timer_destructor);
	return timer;
}

static int timer_destructor(gc_timer_t *timer)
{
	gc_timer_stop(timer);
	return 0;
}

void gc_timer_destroy(gc_timer_t *timer)
{
	talloc_free(timer);
}

static struct timespec current_time(void)
{
	return gc_clock_now(&gc_clock_system);
}

void gc_timer_set(gc_timer_t *timer, int64_t ms)
{
	gc_timers_t *timers = timer->timers;

	gc_timer_stop(timer);
	timer->due = gc_add_ms(current_time(), ms < 1 ? 1 : ms);
	timer->heap_index = (int)timers->heap->len;
	g_ptr_array_add(timers->heap, timer);
	sift_up(timers, timer->heap_index);
	arm(timers);
}

void gc_timer_stop(gc_timer_t *timer)
{
	gc_timers_t *timers = timer->timers;
	int index = timer->heap_index;
	int last;

	if (index == NOT_QUEUED)
		return;
	last = (int)timers->heap->len - 1;
	swap(timers, index, last);
	g_ptr_array_set_size(timers->heap, last);
	timer->heap_index = NOT_QUEUED;
	if (index < last) {
		sift_up(timers, index);
		sift_down(timers, index);
	}
	/* The descriptor stays armed: an early wake-up is cheaper than a
	 * system call here. */
}

static bool due_before(const gc_timers_t *timers, int a, int b)
{
	const gc_timer_t *left = g_ptr_array_index(timers->heap, a);
	const gc_timer_t *right = g_ptr_array_index(timers->heap, b);

	return gc_us_between(left->due, right->due) > 0;
}

static void swap(gc_timers_t *timers, int a, int b)
{
	gc_timer_t *left = g_ptr_array_index(timers->heap, a);
	gc_timer_t *right = g_ptr_array_index(timers->heap, b);

	timers->heap->pdata[a] = right;
	timers->heap->pdata[b] = left;
	right->heap_index = a;
	left->heap_index = b;
}

static void sift_up(gc_timers_t *timers, int index)
{
	while (index > 0 && due_before(timers, index, (index - 1) / 2)) {
		swap(timers, index, (index - 1) / 2);
		index = (index - 1) / 2;
	}
}

static void sift_down(gc_timers_t *timers, int index)
{
	int n = (int)timers->heap->len;

	for (;;) {
		int earliest = index;

		for (int child = 2 * index + 1; child <= 2 * index + 2; child++)
			if (child < n && due_before(timers, child, earliest))
				earliest = child;
		if (earliest == index)
			return;
		swap(timers, index, earliest);
		index = earliest;
	}
}

static void arm(gc_timers_t *timers)
{
	struct itimerspec spec = {0};
	const gc_timer_t *first;

	if (timers->heap->len == 0)
		return;
	first = g_ptr_array_index(timers->heap, 0);
	/* Already armed for this time or earlier. */
	if (timers->armed_for.tv_sec != 0 &&
	    gc_us_between(timers->armed_for, first->due) >= 0)
		return;
	spec.it_value = first->due;
	timers->armed_for = first->due;
	timerfd_settime(timers->fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *ctx)
{
	gc_timers_t *timers = ctx;
	struct timespec now;
	uint64_t expirations;

	if (read(timers->fd, &expirations, sizeof(expirations)) < 0)
		return;
	timers->armed_for = (struct timespec){0};
	now = current_time();
	while (timers->heap->len > 0) {
		gc_timer_t *timer = g_ptr_array_index(timers->heap, 0);

		if (gc_us_between(now, timer->due) > 0)
			break;
		gc_timer_stop(timer);
		timer->fn(timer->ctx);
	}
	arm(timers);
}

/*
 * Tells the thread sanitizer of what GLib's locks, queues and reference counts order, as
 * GLib isn't built for it. Linked with --wrap; see mk/threads.sh.
 */
#include <glib.h>

void __tsan_acquire(void *address);
void __tsan_release(void *address);

void __real_g_mutex_lock(GMutex *mutex);
void __wrap_g_mutex_lock(GMutex *mutex);
void __real_g_mutex_unlock(GMutex *mutex);
void __wrap_g_mutex_unlock(GMutex *mutex);
void __real_g_cond_wait(GCond *cond, GMutex *mutex);
void __wrap_g_cond_wait(GCond *cond, GMutex *mutex);
void __real_g_async_queue_push(GAsyncQueue *queue, gpointer data);
void __wrap_g_async_queue_push(GAsyncQueue *queue, gpointer data);
gpointer __real_g_async_queue_try_pop(GAsyncQueue *queue);
gpointer __wrap_g_async_queue_try_pop(GAsyncQueue *queue);
void __real_g_atomic_rc_box_release_full(gpointer box, GDestroyNotify clear);
void __wrap_g_atomic_rc_box_release_full(gpointer box, GDestroyNotify clear);
GThread *__real_g_thread_new(const char *name, GThreadFunc run, gpointer data);
GThread *__wrap_g_thread_new(const char *name, GThreadFunc run, gpointer data);
gpointer __real_g_thread_join(GThread *thread);
gpointer __wrap_g_thread_join(GThread *thread);

static _Thread_local GDestroyNotify clear_box;

void __wrap_g_mutex_lock(GMutex *mutex)
{
	__real_g_mutex_lock(mutex);
	__tsan_acquire(mutex);
}

void __wrap_g_mutex_unlock(GMutex *mutex)
{
	__tsan_release(mutex);
	__real_g_mutex_unlock(mutex);
}

void __wrap_g_cond_wait(GCond *cond, GMutex *mutex)
{
	__tsan_release(mutex);
	__real_g_cond_wait(cond, mutex);
	__tsan_acquire(mutex);
}

void __wrap_g_async_queue_push(GAsyncQueue *queue, gpointer data)
{
	__tsan_release(queue);
	__real_g_async_queue_push(queue, data);
}

gpointer __wrap_g_async_queue_try_pop(GAsyncQueue *queue)
{
	gpointer data = __real_g_async_queue_try_pop(queue);

	__tsan_acquire(queue);
	return data;
}

static void clear_after_others(gpointer box)
{
	__tsan_acquire(box);
	clear_box(box);
}

void __wrap_g_atomic_rc_box_release_full(gpointer box, GDestroyNotify clear)
{
	__tsan_release(box);
	clear_box = clear;
	__real_g_atomic_rc_box_release_full(box, clear_after_others);
}

GThread *__wrap_g_thread_new(const char *name, GThreadFunc run, gpointer data)
{
	__tsan_release(data);
	return __real_g_thread_new(name, run, data);
}

gpointer __wrap_g_thread_join(GThread *thread)
{
	gpointer result = __real_g_thread_join(thread);

	__tsan_acquire(thread);
	return result;
}

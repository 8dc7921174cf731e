/* Views: immutable snapshots of the control thread's state. */
#include "lib/view.h"

/*
 * Allocation of a view, reference-counted atomically. The chunk that holds the
 * strings is private to this file, so it is kept in front of the view.
 */
typedef struct view_box {
	GStringChunk *strings;
	gc_view_t view;
} view_box_t;

#define BOX_OF(v) \
	((view_box_t *)(void *)((char *)(v)-G_STRUCT_OFFSET(view_box_t, view)))
#define STRING_CHUNK_BYTES 4096

static void clear_box(gpointer data);
static void free_instances(gc_view_instance_t *instances, size_t n);

gc_view_t *gc_view_create(size_t n_engines, size_t n_servers, size_t n_daemons)
{
	view_box_t *box = g_atomic_rc_box_new0(view_box_t);
	gc_view_t *view = &box->view;

	box->strings = g_string_chunk_new(STRING_CHUNK_BYTES);
	view->engines = g_new0(gc_view_instance_t, n_engines);
	view->n_engines = n_engines;
	view->servers = g_new0(gc_view_instance_t, n_servers);
	view->n_servers = n_servers;
	view->daemons = g_new0(gc_view_daemon_t, n_daemons);
	view->n_daemons = n_daemons;
	return view;
}

gc_view_t *gc_view_ref(gc_view_t *view)
{
	g_atomic_rc_box_acquire(BOX_OF(view));
	return view;
}

void gc_view_unref(gc_view_t *view)
{
	if (view)
		g_atomic_rc_box_release_full(BOX_OF(view), clear_box);
}

static void clear_box(gpointer data)
{
	view_box_t *box = data;
	gc_view_t *view = &box->view;

	gc_config_unref(view->config);
	free_instances(view->engines, view->n_engines);
	free_instances(view->servers, view->n_servers);
	g_free(view->daemons);
	g_string_chunk_free(box->strings);
}

static void free_instances(gc_view_instance_t *instances, size_t n)
{
	for (size_t i = 0; i < n; i++)
		json_decref(instances[i].labels);
	g_free(instances);
}

gc_str_t gc_view_copy_str(gc_view_t *view, gc_str_t s)
{
	char *copy = g_string_chunk_insert_len(BOX_OF(view)->strings, s.data,
					       (gssize)s.len);

	return (gc_str_t){copy, s.len};
}

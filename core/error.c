/* Errors with the operation and the peer in which they occurred. */
#include <stdarg.h>

#include "core/error.h"

typedef struct gc_error_private {
	char *step;
	char *peer;
} gc_error_private_t;

/* G_DEFINE_EXTENDED_ERROR expects the type under this name. */
typedef gc_error_private_t gc_errorPrivate;

static void gc_error_private_init(gc_error_private_t *priv);
static void gc_error_private_copy(const gc_error_private_t *src,
				  gc_error_private_t *dst);
static void gc_error_private_clear(gc_error_private_t *priv);

G_DEFINE_EXTENDED_ERROR(gc_error, gc_error)

static void gc_error_private_init(gc_error_private_t *priv)
{
	priv->step = NULL;
	priv->peer = NULL;
}

static void gc_error_private_copy(const gc_error_private_t *src,
				  gc_error_private_t *dst)
{
	dst->step = g_strdup(src->step);
	dst->peer = g_strdup(src->peer);
}

static void gc_error_private_clear(gc_error_private_t *priv)
{
	g_free(priv->step);
	g_free(priv->peer);
}

void gc_error_set(GError **err, gc_errcode_t code, const char *step,
		  const char *peer, const char *fmt, ...)
{
	gc_error_private_t *priv;
	va_list ap;

	if (!err)
		return;
	va_start(ap, fmt);
	*err = g_error_new_valist(GC_ERROR, code, fmt, ap);
	va_end(ap);
	priv = gc_error_get_private(*err);
	priv->step = g_strdup(step);
	priv->peer = g_strdup(peer);
}

const char *gc_error_step(const GError *err)
{
	const gc_error_private_t *priv;

	if (err->domain != GC_ERROR)
		return "";
	priv = gc_error_get_private(err);
	return priv->step ? priv->step : "";
}

const char *gc_error_peer(const GError *err)
{
	const gc_error_private_t *priv;

	if (err->domain != GC_ERROR)
		return "";
	priv = gc_error_get_private(err);
	return priv->peer ? priv->peer : "";
}

const char *gc_run_state_name(gc_run_state_t state)
{
	switch (state) {
	case GC_RUN_NOT_RUN:
		return "not_run";
	case GC_RUN_DONE:
		return "done";
	case GC_RUN_IN_DOUBT:
		break;
	}
	return "in_doubt";
}

/* Answers with a count of references. */
#include "core/answer.h"

static void clear(void *data);

gc_answer_t *gc_answer_create(void)
{
	gc_answer_t *answer = g_rc_box_new0(gc_answer_t);

	answer->head = g_string_new(NULL);
	answer->body = g_byte_array_new();
	return answer;
}

gc_answer_t *gc_answer_ref(gc_answer_t *answer)
{
	return g_rc_box_acquire(answer);
}

void gc_answer_unref(gc_answer_t *answer)
{
	if (answer)
		g_rc_box_release_full(answer, clear);
}

static void clear(void *data)
{
	gc_answer_t *answer = data;

	g_string_free(answer->head, TRUE);
	g_byte_array_unref(answer->body);
	if (answer->partial_event)
		g_byte_array_unref(answer->partial_event);
}

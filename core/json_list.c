/* Elements of a JSON array; those that didn't change are shared with a former list. */
#include "core/json_list.h"
#include "core/error.h"

/* A block of new elements has so many. */
#define BLOCK_ELEMENTS 64
/* Elements of the former list that are looked at for one of the new list. */
#define MAX_SKIPPED 64
#define WHITESPACE  " \t\r\n"

typedef struct element {
	void *item; /* NULL: not used */
	size_t offset; /* in the block's text */
	size_t len;
} element_t;

/* Consecutive elements with the same text between them. Immutable. */
typedef struct block {
	gint n_refs;
	const gc_json_list_ops_t *ops;
	size_t len; /* of the text, separators between the elements included */
	size_t n;
	element_t elements[];
} block_t;

/* A block, and where its text begins in that of the list. */
typedef struct place {
	block_t *block;
	size_t offset;
} place_t;

struct gc_json_list {
	const char *text; /* not owned */
	GArray *places; /* place_t */
};

/* What is read, and the next element of the former list. */
struct gc_json_reader {
	const gc_json_list_ops_t *ops;
	gc_str_t text;
	size_t pos;
	size_t index; /* of the next element */
	gc_json_progress_t progress;
	size_t n_left; /* elements to decode in this step */
	const gc_json_list_t *former;
	guint former_place;
	size_t former_element;
	GArray *places; /* place_t; NULL: taken */
	GArray *pending; /* element_t, offsets in the text */
	GPtrArray *added;
	GArray *added_at;
	GPtrArray *removed;
};

typedef gc_json_reader_t reader_t;

static void skip_space(reader_t *reader);
static gc_json_progress_t read_elements(reader_t *reader, GError **err);
static bool read_separator(reader_t *reader, bool *more, GError **err);
static bool take_block(reader_t *reader);
static bool read_element(reader_t *reader, GError **err);
static bool take_element(reader_t *reader);
static const element_t *former_element(const reader_t *reader,
				       const place_t **place);
static void next_former(reader_t *reader);
static bool has_text(const reader_t *reader, gc_str_t text);
static bool decode_element(reader_t *reader, GError **err);
static void add_pending(reader_t *reader, void *item, size_t len);
static void finish_block(reader_t *reader);
static void unref_block(block_t *block);
static void remove_rest(reader_t *reader);
static void fail(const reader_t *reader, const char *what, GError **err);
static size_t skip_value(gc_str_t text, size_t at);
static size_t skip_string(gc_str_t text, size_t at);
static size_t skip_nested(gc_str_t text, size_t at);
static size_t space_at(gc_str_t text, size_t at);

gc_json_reader_t *gc_json_reader_create(gc_str_t text, size_t at,
					const gc_json_list_t *former,
					const gc_json_list_ops_t *ops)
{
	gc_json_reader_t *reader = g_new0(gc_json_reader_t, 1);

	reader->ops = ops;
	reader->text = text;
	reader->pos = at + 1;
	reader->former = former;
	reader->places = g_array_new(FALSE, FALSE, sizeof(place_t));
	reader->pending = g_array_new(FALSE, FALSE, sizeof(element_t));
	reader->added = g_ptr_array_new();
	reader->added_at = g_array_new(FALSE, FALSE, sizeof(size_t));
	reader->removed = g_ptr_array_new();
	return reader;
}

gc_json_progress_t gc_json_reader_step(gc_json_reader_t *reader, size_t n,
				       GError **err)
{
	reader->n_left = n;
	if (reader->progress == GC_JSON_MORE)
		reader->progress = read_elements(reader, err);
	if (reader->progress == GC_JSON_DONE) {
		finish_block(reader);
		remove_rest(reader);
	}
	return reader->progress;
}

const GPtrArray *gc_json_reader_added(const gc_json_reader_t *reader)
{
	return reader->added;
}

const GArray *gc_json_reader_added_at(const gc_json_reader_t *reader)
{
	return reader->added_at;
}

const GPtrArray *gc_json_reader_removed(const gc_json_reader_t *reader)
{
	return reader->removed;
}

size_t gc_json_reader_end(const gc_json_reader_t *reader)
{
	return reader->pos;
}

gc_json_list_t *gc_json_reader_take_list(gc_json_reader_t *reader)
{
	gc_json_list_t *list = g_new0(gc_json_list_t, 1);

	list->text = reader->text.data;
	list->places = reader->places;
	reader->places = NULL;
	return list;
}

void gc_json_reader_destroy(gc_json_reader_t *reader)
{
	if (!reader)
		return;
	finish_block(reader);
	if (reader->places)
		gc_json_list_destroy(gc_json_reader_take_list(reader));
	g_array_unref(reader->pending);
	g_ptr_array_unref(reader->added);
	g_array_unref(reader->added_at);
	g_ptr_array_unref(reader->removed);
	g_free(reader);
}

void gc_json_list_destroy(gc_json_list_t *list)
{
	if (!list)
		return;
	for (guint i = 0; i < list->places->len; i++)
		unref_block(g_array_index(list->places, place_t, i).block);
	g_array_unref(list->places);
	g_free(list);
}

void gc_json_list_foreach(const gc_json_list_t *list,
			  void (*fn)(void *ctx, size_t index, void *item),
			  void *ctx)
{
	size_t index = 0;

	for (guint i = 0; i < list->places->len; i++) {
		const block_t *block =
			g_array_index(list->places, place_t, i).block;

		for (size_t j = 0; j < block->n; j++, index++)
			if (block->elements[j].item)
				fn(ctx, index, block->elements[j].item);
	}
}

static gc_json_progress_t read_elements(reader_t *reader, GError **err)
{
	bool more = true;

	skip_space(reader);
	if (reader->index == 0 && reader->pos < reader->text.len &&
	    reader->text.data[reader->pos] == ']') {
		reader->pos++;
		return GC_JSON_DONE;
	}
	while (more) {
		if (reader->n_left == 0)
			return GC_JSON_MORE;
		skip_space(reader);
		if (!take_block(reader) && !read_element(reader, err))
			return GC_JSON_INVALID;
		if (!read_separator(reader, &more, err))
			return GC_JSON_INVALID;
	}
	return GC_JSON_DONE;
}

static void skip_space(reader_t *reader)
{
	reader->pos = space_at(reader->text, reader->pos);
}

static bool read_separator(reader_t *reader, bool *more, GError **err)
{
	char next;

	skip_space(reader);
	if (reader->pos >= reader->text.len) {
		fail(reader, "the text ends", err);
		return false;
	}
	next = reader->text.data[reader->pos];
	*more = next == ',';
	if (next != ',' && next != ']') {
		fail(reader, "a comma or a bracket is missing", err);
		return false;
	}
	reader->pos++;
	return true;
}

/* Takes over the former list's block if its whole text follows. */
static bool take_block(reader_t *reader)
{
	const place_t *former;
	place_t place;

	if (!reader->former || reader->former_element > 0 ||
	    reader->former_place >= reader->former->places->len)
		return false;
	former = &g_array_index(reader->former->places, place_t,
				reader->former_place);
	if (!has_text(reader, (gc_str_t){reader->former->text + former->offset,
					 former->block->len}))
		return false;
	finish_block(reader);
	place = (place_t){former->block, reader->pos};
	g_atomic_int_inc(&place.block->n_refs);
	g_array_append_val(reader->places, place);
	reader->pos += place.block->len;
	reader->index += place.block->n;
	reader->former_place++;
	return true;
}

static bool read_element(reader_t *reader, GError **err)
{
	return take_element(reader) || decode_element(reader, err);
}

/* Takes over an element of the former list, the next one or one soon after it, if its
 * text follows. Those before it are gone. */
static bool take_element(reader_t *reader)
{
	guint place_index = reader->former_place;
	size_t element_index = reader->former_element;
	const place_t *place;
	const element_t *element;
	size_t n = 0;

	while ((element = former_element(reader, &place)) != NULL &&
	       n++ < MAX_SKIPPED) {
		gc_str_t text = {reader->former->text + place->offset +
					 element->offset,
				 element->len};

		if (has_text(reader, text))
			break;
		next_former(reader);
	}
	if (!element || n > MAX_SKIPPED) {
		reader->former_place = place_index;
		reader->former_element = element_index;
		return false;
	}
	while (reader->former_place != place_index ||
	       reader->former_element != element_index) {
		const element_t *gone =
			&g_array_index(reader->former->places, place_t,
				       place_index)
				 .block->elements[element_index];

		if (gone->item)
			g_ptr_array_add(reader->removed, gone->item);
		element_index++;
		if (element_index ==
		    g_array_index(reader->former->places, place_t, place_index)
			    .block->n) {
			element_index = 0;
			place_index++;
		}
	}
	next_former(reader);
	add_pending(reader,
		    element->item ? reader->ops->ref(element->item) : NULL,
		    element->len);
	return true;
}

/* The next element of the former list; NULL at its end. */
static const element_t *former_element(const reader_t *reader,
				       const place_t **place)
{
	if (!reader->former ||
	    reader->former_place >= reader->former->places->len)
		return NULL;
	*place = &g_array_index(reader->former->places, place_t,
				reader->former_place);
	return &(*place)->block->elements[reader->former_element];
}

static void next_former(reader_t *reader)
{
	const place_t *place = &g_array_index(reader->former->places, place_t,
					      reader->former_place);

	if (++reader->former_element < place->block->n)
		return;
	reader->former_element = 0;
	reader->former_place++;
}

/* True if the text follows and an element can end after it. */
static bool has_text(const reader_t *reader, gc_str_t text)
{
	size_t left = reader->text.len - reader->pos;
	const char *at = reader->text.data + reader->pos;

	return left > text.len && memcmp(at, text.data, text.len) == 0 &&
	       strchr(",]" WHITESPACE, at[text.len]) != NULL &&
	       at[text.len] != 0;
}

static bool decode_element(reader_t *reader, GError **err)
{
	g_autoptr(GError) error = NULL;
	size_t end = skip_value(reader->text, reader->pos);
	gc_str_t text = {reader->text.data + reader->pos, end - reader->pos};
	void *item = NULL;

	if (end == 0) {
		fail(reader, "not a JSON value", err);
		return false;
	}
	if (!reader->ops->decode(text, &item, &error)) {
		fail(reader, error->message, err);
		return false;
	}
	if (item) {
		g_ptr_array_add(reader->added, item);
		g_array_append_val(reader->added_at, reader->index);
	}
	add_pending(reader, item, text.len);
	reader->n_left--;
	return true;
}

/* Takes ownership of the item's reference. */
static void add_pending(reader_t *reader, void *item, size_t len)
{
	element_t element = {item, reader->pos, len};

	if (reader->pending->len == BLOCK_ELEMENTS)
		finish_block(reader);
	g_array_append_val(reader->pending, element);
	reader->pos += len;
	reader->index++;
}

static void finish_block(reader_t *reader)
{
	guint n = reader->pending->len;
	const element_t *pending =
		(const element_t *)(const void *)reader->pending->data;
	block_t *block;
	place_t place;

	if (n == 0)
		return;
	block = g_malloc(sizeof(*block) + n * sizeof(block->elements[0]));
	place = (place_t){block, pending[0].offset};
	block->n_refs = 1;
	block->ops = reader->ops;
	block->n = n;
	block->len = pending[n - 1].offset + pending[n - 1].len - place.offset;
	for (guint i = 0; i < n; i++) {
		block->elements[i] = pending[i];
		block->elements[i].offset -= place.offset;
	}
	g_array_append_val(reader->places, place);
	g_array_set_size(reader->pending, 0);
}

static void unref_block(block_t *block)
{
	if (!g_atomic_int_dec_and_test(&block->n_refs))
		return;
	for (size_t i = 0; i < block->n; i++)
		if (block->elements[i].item)
			block->ops->unref(block->elements[i].item);
	g_free(block);
}

/* What is left of the former list at the end of the new one is gone. */
static void remove_rest(reader_t *reader)
{
	const place_t *place;
	const element_t *element;

	while ((element = former_element(reader, &place)) != NULL) {
		if (element->item)
			g_ptr_array_add(reader->removed, element->item);
		next_former(reader);
	}
}

static void fail(const reader_t *reader, const char *what, GError **err)
{
	gc_error_set(err, GC_ERR_INVALID, "decode", "list",
		     "element %zu at byte %zu: %s", reader->index, reader->pos,
		     what);
}

bool gc_json_find_member(gc_str_t text, gc_str_t name, size_t *at)
{
	size_t pos = space_at(text, 0);

	if (pos >= text.len || text.data[pos] != '{')
		return false;
	for (;;) {
		size_t key = space_at(text, pos + 1);
		size_t end = key < text.len ? skip_value(text, key) : 0;

		if (end == 0 || text.data[key] != '"')
			return false;
		pos = space_at(text, end);
		if (pos >= text.len || text.data[pos] != ':')
			return false;
		pos = space_at(text, pos + 1);
		if (gc_str_eq((gc_str_t){text.data + key + 1, end - key - 2},
			      name)) {
			*at = pos;
			return pos < text.len;
		}
		pos = pos < text.len ? skip_value(text, pos) : 0;
		if (pos == 0)
			return false;
		pos = space_at(text, pos);
		if (pos >= text.len || text.data[pos] != ',')
			return false;
	}
}

/* The place after the value that begins there; 0 if the text ends before. */
static size_t skip_value(gc_str_t text, size_t at)
{
	size_t end = at;

	if (at >= text.len)
		return 0;
	if (text.data[at] == '"')
		return skip_string(text, at);
	if (text.data[at] == '{' || text.data[at] == '[')
		return skip_nested(text, at);
	while (end < text.len && !strchr(",]}:" WHITESPACE, text.data[end]))
		end++;
	return end == at || end == text.len ? 0 : end;
}

static size_t skip_string(gc_str_t text, size_t at)
{
	for (size_t i = at + 1; i < text.len; i++) {
		if (text.data[i] == '"')
			return i + 1;
		if (text.data[i] == '\\')
			i++;
	}
	return 0;
}

static size_t skip_nested(gc_str_t text, size_t at)
{
	size_t depth = 0;

	for (size_t i = at; i < text.len; i++) {
		switch (text.data[i]) {
		case '"':
			i = skip_string(text, i);
			if (i == 0)
				return 0;
			i--;
			break;
		case '{':
		case '[':
			depth++;
			break;
		case '}':
		case ']':
			if (--depth == 0)
				return i + 1;
			break;
		default:
			break;
		}
	}
	return 0;
}

static size_t space_at(gc_str_t text, size_t at)
{
	while (at < text.len && text.data[at] != 0 &&
	       strchr(WHITESPACE, text.data[at]))
		at++;
	return at;
}

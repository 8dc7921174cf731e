/* Elements of a JSON array; those that didn't change are shared with a former list. */
#include "core/json_list.h"
#include "core/error.h"

/* A block of new elements has so many. */
#define BLOCK_ELEMENTS 32
/* A group of new blocks has so many. */
#define GROUP_BLOCKS 16
/* Smaller groups are joined with changed ones before them. */
#define MIN_GROUP_BLOCKS 4
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

/* A block, and where its text begins in that of the group, or of the list while the
 * group is being made. */
typedef struct place {
	block_t *block;
	size_t offset;
} place_t;

/* Consecutive blocks with the same text between them. Immutable. */
typedef struct group {
	gint n_refs;
	size_t len; /* of the text */
	size_t n_elements;
	size_t n;
	place_t places[];
} group_t;

/* A group, and where its text begins in that of the list. */
typedef struct group_place {
	group_t *group;
	size_t offset;
} group_place_t;

/* The place of an element in a list. */
typedef struct cursor {
	guint group;
	size_t block;
	size_t element;
} cursor_t;

/* Bytes that are the same in both texts. */
typedef struct run {
	size_t former; /* where they begin in the former text */
	size_t at;
	size_t len;
} run_t;

struct gc_json_list {
	const char *text; /* not owned */
	GArray *groups; /* group_place_t */
	size_t end; /* of the array in the text */
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
	cursor_t next; /* in the former list */
	GArray *runs; /* run_t, in order; empty: no edits are known */
	guint run; /* the first that ends after pos */
	GArray *groups; /* group_place_t; NULL: taken */
	GArray *places; /* place_t, offsets in the text */
	GArray *pending; /* element_t, offsets in the text */
	GPtrArray *added;
	GArray *added_at;
	GPtrArray *removed;
};

typedef gc_json_reader_t reader_t;

static void skip_space(reader_t *reader);
static gc_json_progress_t read_elements(reader_t *reader, GError **err);
static bool read_separator(reader_t *reader, bool *more, GError **err);
static bool take_groups(reader_t *reader);
static bool take_blocks(reader_t *reader);
static bool read_element(reader_t *reader, GError **err);
static bool take_elements(reader_t *reader);
static bool find_element(reader_t *reader);
static const group_place_t *group_at(const gc_json_list_t *list,
				     const cursor_t *cursor);
static const element_t *element_at(const gc_json_list_t *list,
				   const cursor_t *cursor, size_t *offset);
static void advance(const gc_json_list_t *list, cursor_t *cursor);
static void advance_block(const gc_json_list_t *list, cursor_t *cursor);
static void remove_next(reader_t *reader);
static bool has_part(reader_t *reader, size_t former, size_t len);
static bool has_former(const reader_t *reader, size_t former, size_t len);
static bool can_end(const reader_t *reader, size_t len);
static bool is_kept(reader_t *reader, size_t former, size_t len);
static bool is_next_kept(reader_t *reader, size_t end, size_t former,
			 size_t len);
static bool find_kept(reader_t *reader, size_t *former);
static const run_t *run_at(reader_t *reader);
static bool decode_element(reader_t *reader, GError **err);
static void add_pending(reader_t *reader, void *item, size_t len);
static void finish_block(reader_t *reader);
static void add_place(reader_t *reader, place_t place);
static void finish_group(reader_t *reader);
static void unref_group(group_t *group);
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
	reader->runs = g_array_new(FALSE, FALSE, sizeof(run_t));
	reader->groups = g_array_new(FALSE, FALSE, sizeof(group_place_t));
	reader->places = g_array_new(FALSE, FALSE, sizeof(place_t));
	reader->pending = g_array_new(FALSE, FALSE, sizeof(element_t));
	reader->added = g_ptr_array_new();
	reader->added_at = g_array_new(FALSE, FALSE, sizeof(size_t));
	reader->removed = g_ptr_array_new();
	return reader;
}

void gc_json_reader_set_edits(gc_json_reader_t *reader,
			      const gc_text_edit_t *edits, size_t n)
{
	run_t run = {0};

	for (size_t i = 0; i < n; i++) {
		run.len = edits[i].keep;
		g_array_append_val(reader->runs, run);
		run.former += edits[i].keep + edits[i].drop;
		run.at += edits[i].keep + edits[i].insert.len;
	}
	run.len = reader->text.len - run.at;
	g_array_append_val(reader->runs, run);
}

gc_json_progress_t gc_json_reader_step(gc_json_reader_t *reader, size_t n,
				       GError **err)
{
	reader->n_left = n;
	if (reader->progress == GC_JSON_MORE)
		reader->progress = read_elements(reader, err);
	if (reader->progress == GC_JSON_DONE) {
		finish_block(reader);
		finish_group(reader);
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

bool gc_json_reader_keeps_end(gc_json_reader_t *reader)
{
	return reader->former && is_kept(reader, reader->former->end,
					 reader->text.len - reader->pos);
}

gc_json_list_t *gc_json_reader_take_list(gc_json_reader_t *reader)
{
	gc_json_list_t *list = g_new0(gc_json_list_t, 1);

	list->text = reader->text.data;
	list->groups = reader->groups;
	list->end = reader->pos;
	reader->groups = NULL;
	return list;
}

void gc_json_reader_destroy(gc_json_reader_t *reader)
{
	if (!reader)
		return;
	finish_block(reader);
	finish_group(reader);
	if (reader->groups)
		gc_json_list_destroy(gc_json_reader_take_list(reader));
	g_array_unref(reader->places);
	g_array_unref(reader->runs);
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
	for (guint i = 0; i < list->groups->len; i++)
		unref_group(
			g_array_index(list->groups, group_place_t, i).group);
	g_array_unref(list->groups);
	g_free(list);
}

void gc_json_list_foreach(const gc_json_list_t *list,
			  void (*fn)(void *ctx, size_t index, void *item),
			  void *ctx)
{
	cursor_t cursor = {0};
	const element_t *element;
	size_t offset;

	for (size_t index = 0;
	     (element = element_at(list, &cursor, &offset)) != NULL; index++) {
		if (element->item)
			fn(ctx, index, element->item);
		advance(list, &cursor);
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
		if (!take_groups(reader) && !take_blocks(reader) &&
		    !read_element(reader, err))
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

/* Takes over the former list's next groups whose whole text follows. */
static bool take_groups(reader_t *reader)
{
	const group_place_t *former;
	bool taken = false;
	size_t end = 0; /* of the last one in the former text */

	while ((former = group_at(reader->former, &reader->next)) != NULL &&
	       reader->next.block == 0 && reader->next.element == 0 &&
	       (former->group->n >= MIN_GROUP_BLOCKS ||
		reader->places->len + reader->pending->len == 0) &&
	       (taken ? is_next_kept(reader, end, former->offset,
				     former->group->len)
		      : has_part(reader, former->offset, former->group->len))) {
		group_place_t place = {former->group, reader->pos};

		finish_block(reader);
		finish_group(reader);
		g_atomic_int_inc(&place.group->n_refs);
		g_array_append_val(reader->groups, place);
		reader->pos += place.group->len;
		reader->index += place.group->n_elements;
		reader->next.group++;
		end = former->offset + former->group->len;
		taken = true;
	}
	return taken;
}

/* The same of blocks, up to the end of their group. */
static bool take_blocks(reader_t *reader)
{
	const group_place_t *former = group_at(reader->former, &reader->next);
	bool taken = false;
	size_t end = 0; /* of the last one in the former text */

	while (former && reader->next.element == 0 &&
	       (!taken || reader->next.block > 0)) {
		place_t place = former->group->places[reader->next.block];
		size_t offset = former->offset + place.offset;

		if (!(taken ? is_next_kept(reader, end, offset,
					   place.block->len)
			    : has_part(reader, offset, place.block->len)))
			break;
		finish_block(reader);
		end = offset + place.block->len;
		place.offset = reader->pos;
		g_atomic_int_inc(&place.block->n_refs);
		add_place(reader, place);
		reader->pos += place.block->len;
		reader->index += place.block->n;
		advance_block(reader->former, &reader->next);
		taken = true;
	}
	return taken;
}

static bool read_element(reader_t *reader, GError **err)
{
	return take_elements(reader) || decode_element(reader, err);
}

/* Takes over elements of the former list, the next one or one soon after it, if its text
 * follows, and those after it in its block that follow too. Those before it are gone. */
static bool take_elements(reader_t *reader)
{
	const element_t *element;
	size_t offset;
	size_t end;

	if (!find_element(reader))
		return false;
	element = element_at(reader->former, &reader->next, &offset);
	do {
		add_pending(reader,
			    element->item ? reader->ops->ref(element->item)
					  : NULL,
			    element->len);
		end = offset + element->len;
		advance(reader->former, &reader->next);
		if (reader->next.element == 0)
			break;
		element = element_at(reader->former, &reader->next, &offset);
	} while (is_next_kept(reader, end, offset, element->len));
	return true;
}

/* Goes on to the element of the former list whose text follows. */
static bool find_element(reader_t *reader)
{
	const gc_json_list_t *former = reader->former;
	cursor_t found = reader->next;
	const element_t *element;
	size_t kept = G_MAXSIZE;
	size_t offset;
	size_t n = 0;

	if (reader->runs->len > 0 && !find_kept(reader, &kept))
		kept = 0;
	while ((element = element_at(former, &found, &offset)) != NULL &&
	       n++ < MAX_SKIPPED) {
		if (has_part(reader, offset, element->len) ||
		    (n == 1 && reader->runs->len > 0 &&
		     has_former(reader, offset, element->len)))
			break;
		if (offset >= kept)
			return false;
		advance(former, &found);
	}
	if (!element || n > MAX_SKIPPED)
		return false;
	while (reader->next.group != found.group ||
	       reader->next.block != found.block ||
	       reader->next.element != found.element)
		remove_next(reader);
	return true;
}

/* NULL at the end of the list, or without one. */
static const group_place_t *group_at(const gc_json_list_t *list,
				     const cursor_t *cursor)
{
	if (!list || cursor->group >= list->groups->len)
		return NULL;
	return &g_array_index(list->groups, group_place_t, cursor->group);
}

/* The same; sets *offset to its place in the list's text. */
static const element_t *element_at(const gc_json_list_t *list,
				   const cursor_t *cursor, size_t *offset)
{
	const group_place_t *group = group_at(list, cursor);
	const element_t *element;
	const place_t *place;

	if (!group)
		return NULL;
	place = &group->group->places[cursor->block];
	element = &place->block->elements[cursor->element];
	*offset = group->offset + place->offset + element->offset;
	return element;
}

static void advance(const gc_json_list_t *list, cursor_t *cursor)
{
	const group_place_t *group = group_at(list, cursor);

	if (++cursor->element == group->group->places[cursor->block].block->n)
		advance_block(list, cursor);
}

static void advance_block(const gc_json_list_t *list, cursor_t *cursor)
{
	cursor->element = 0;
	if (++cursor->block < group_at(list, cursor)->group->n)
		return;
	cursor->block = 0;
	cursor->group++;
}

/* The former list's next element is gone. */
static void remove_next(reader_t *reader)
{
	size_t offset;
	const element_t *element =
		element_at(reader->former, &reader->next, &offset);

	if (element->item)
		g_ptr_array_add(reader->removed, element->item);
	advance(reader->former, &reader->next);
}

/* True if these bytes of the former text follow and an element can end after them. If
 * edits are known, they tell; what they don't keep isn't compared. */
static bool has_part(reader_t *reader, size_t former, size_t len)
{
	if (reader->runs->len == 0)
		return has_former(reader, former, len);
	return is_kept(reader, former, len) && can_end(reader, len);
}

static bool has_former(const reader_t *reader, size_t former, size_t len)
{
	return reader->text.len - reader->pos > len &&
	       memcmp(reader->text.data + reader->pos,
		      reader->former->text + former, len) == 0 &&
	       can_end(reader, len);
}

static bool can_end(const reader_t *reader, size_t len)
{
	const char *end = reader->text.data + reader->pos + len;

	return reader->text.len - reader->pos > len && *end != 0 &&
	       strchr(",]" WHITESPACE, *end) != NULL;
}

/* True if the edits tell that these bytes of the former text follow. */
static bool is_kept(reader_t *reader, size_t former, size_t len)
{
	const run_t *run = run_at(reader);
	size_t kept;

	return run && find_kept(reader, &kept) && kept == former &&
	       reader->pos + len <= run->at + run->len;
}

/* After bytes of the former text that end there: true if the edits tell that what comes
 * after them is kept, too, up to the end of the next ones and one more. Goes on to
 * the next ones. */
static bool is_next_kept(reader_t *reader, size_t end, size_t former,
			 size_t len)
{
	const run_t *run = run_at(reader);
	size_t kept;

	if (!run || !find_kept(reader, &kept) || kept != end ||
	    former - run->former + len >= run->len)
		return false;
	reader->pos += former - end;
	return true;
}

/* Where the byte that follows is in the former text; false if it isn't kept. */
static bool find_kept(reader_t *reader, size_t *former)
{
	const run_t *run = run_at(reader);

	if (!run || reader->pos < run->at)
		return false;
	*former = run->former + (reader->pos - run->at);
	return true;
}

/* The first run that ends after pos; NULL for none. */
static const run_t *run_at(reader_t *reader)
{
	while (reader->run < reader->runs->len) {
		const run_t *run =
			&g_array_index(reader->runs, run_t, reader->run);

		if (reader->pos < run->at + run->len)
			return run;
		reader->run++;
	}
	return NULL;
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
	add_place(reader, place);
	g_array_set_size(reader->pending, 0);
}

/* Takes ownership of the block's reference. */
static void add_place(reader_t *reader, place_t place)
{
	if (reader->places->len == GROUP_BLOCKS)
		finish_group(reader);
	g_array_append_val(reader->places, place);
}

static void finish_group(reader_t *reader)
{
	guint n = reader->places->len;
	const place_t *places =
		(const place_t *)(const void *)reader->places->data;
	group_t *group;
	group_place_t place;

	if (n == 0)
		return;
	group = g_malloc(sizeof(*group) + n * sizeof(group->places[0]));
	place = (group_place_t){group, places[0].offset};
	group->n_refs = 1;
	group->n = n;
	group->n_elements = 0;
	group->len =
		places[n - 1].offset + places[n - 1].block->len - place.offset;
	for (guint i = 0; i < n; i++) {
		group->places[i] = places[i];
		group->places[i].offset -= place.offset;
		group->n_elements += places[i].block->n;
	}
	g_array_append_val(reader->groups, place);
	g_array_set_size(reader->places, 0);
}

static void unref_group(group_t *group)
{
	if (!g_atomic_int_dec_and_test(&group->n_refs))
		return;
	for (size_t i = 0; i < group->n; i++)
		unref_block(group->places[i].block);
	g_free(group);
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
	while (group_at(reader->former, &reader->next))
		remove_next(reader);
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

/* Edits that make one text from another. */
#include <stdint.h>

#include "core/text_diff.h"

#define MAX_EDITS 16
/* How far the same text is searched after a difference, in both texts. */
#define WINDOW_BYTES 1024
/* Shorter runs of the same text are not used. */
#define MIN_RUN_BYTES 32
/* A run of this length is taken without a search for a longer one. */
#define GOOD_RUN_BYTES 512
/* Places that are compared in all; a text that differs more is sent whole. */
#define MAX_COMPARED 16384
/* Bytes whose hash finds the places where a run may begin. */
#define HASHED_BYTES 8
#define HASH_BITS    11
#define NO_PLACE     UINT16_MAX

/* Places of a text's window by the hash of what begins there. */
typedef struct places {
	uint16_t first[1 << HASH_BITS];
	uint16_t next[WINDOW_BYTES];
} places_t;

static size_t common_run(gc_str_t a, gc_str_t b, size_t max);
static size_t common_end(gc_str_t a, gc_str_t b);
static gc_str_t after(gc_str_t text, size_t n);
static void find_places(gc_str_t text, places_t *places);
static unsigned int hash_at(gc_str_t text, size_t at);
static void find_common(gc_str_t former, gc_str_t text, size_t *n_compared,
			size_t *drop, size_t *insert);

bool gc_text_diff(gc_str_t former, gc_str_t text, GArray *edits)
{
	size_t max_inserted = text.len / 2;
	size_t inserted = 0;
	size_t n_compared = 0;

	g_array_set_size(edits, 0);
	for (;;) {
		size_t keep = common_run(former, text, SIZE_MAX);
		gc_text_edit_t edit = {.keep = keep};
		size_t insert;

		former = after(former, keep);
		text = after(text, keep);
		if (former.len == 0 && text.len == 0)
			return true;
		if (edits->len == MAX_EDITS || n_compared > MAX_COMPARED)
			return false;
		find_common(former, text, &n_compared, &edit.drop, &insert);
		edit.insert = (gc_str_t){text.data, insert};
		inserted += insert;
		if (inserted > max_inserted)
			return false;
		g_array_append_val(edits, edit);
		former = after(former, edit.drop);
		text = after(text, insert);
	}
}

static size_t common_run(gc_str_t a, gc_str_t b, size_t max)
{
	size_t len = MIN(MIN(a.len, b.len), max);
	size_t n = 0;

	/* memcmp() doesn't tell where the difference is. */
	for (size_t step = 4096; step > 0; step /= 8)
		while (len - n >= step &&
		       memcmp(a.data + n, b.data + n, step) == 0)
			n += step;
	return n;
}

static size_t common_end(gc_str_t a, gc_str_t b)
{
	size_t len = MIN(a.len, b.len);
	size_t n = 0;

	while (n < len && a.data[a.len - n - 1] == b.data[b.len - n - 1])
		n++;
	return n;
}

static gc_str_t after(gc_str_t text, size_t n)
{
	return (gc_str_t){text.data + n, text.len - n};
}

/*
 * Where the two texts, which differ at once, go on with the same text: the longest run
 * in the windows, as the first one may be what all parts of a list have in common. If
 * there is none, what they have in common at their ends.
 */
static void find_common(gc_str_t former, gc_str_t text, size_t *n_compared,
			size_t *drop, size_t *insert)
{
	size_t best = MIN_RUN_BYTES - 1;
	places_t places;
	size_t end;

	find_places(former, &places);
	for (size_t j = 0; j < WINDOW_BYTES && j + HASHED_BYTES <= text.len &&
			   best < GOOD_RUN_BYTES;
	     j++) {
		uint16_t i = places.first[hash_at(text, j)];

		for (; i != NO_PLACE && *n_compared <= MAX_COMPARED;
		     i = places.next[i]) {
			size_t run = common_run(after(former, i),
						after(text, j), GOOD_RUN_BYTES);

			(*n_compared)++;
			/* All that is left of one of them is as good. */
			if (run == former.len - i || run == text.len - j)
				run = MAX(run, run >= MIN_RUN_BYTES
						       ? GOOD_RUN_BYTES
						       : 0);
			if (run <= best)
				continue;
			best = run;
			*drop = i;
			*insert = j;
		}
	}
	if (best >= MIN_RUN_BYTES)
		return;
	end = common_end(former, text);
	*drop = former.len - end;
	*insert = text.len - end;
}

static void find_places(gc_str_t text, places_t *places)
{
	size_t n = text.len < HASHED_BYTES
			   ? 0
			   : MIN(text.len - HASHED_BYTES + 1, WINDOW_BYTES);

	memset(places->first, 0xff, sizeof(places->first));
	/* From the end, so that the first places come first. */
	for (size_t i = n; i-- > 0;) {
		unsigned int hash = hash_at(text, i);

		places->next[i] = places->first[hash];
		places->first[hash] = (uint16_t)i;
	}
}

static unsigned int hash_at(gc_str_t text, size_t at)
{
	uint64_t bytes;

	memcpy(&bytes, text.data + at, sizeof(bytes));
	return (unsigned int)((bytes * UINT64_C(0x9e3779b97f4a7c15)) >>
			      (64 - HASH_BITS));
}

bool gc_text_apply(TALLOC_CTX *mem, gc_str_t former,
		   const gc_text_edit_t *edits, size_t n, size_t max,
		   gc_str_t *text)
{
	size_t left = former.len;
	size_t len = former.len;
	char *bytes;
	char *at;

	for (size_t i = 0; i < n; i++) {
		if (edits[i].keep > left ||
		    edits[i].drop > left - edits[i].keep)
			return false;
		left -= edits[i].keep + edits[i].drop;
		len -= edits[i].drop;
		if (edits[i].insert.len > max)
			return false;
		len += edits[i].insert.len;
		if (len > max + former.len)
			return false;
	}
	if (len > max)
		return false;
	bytes = talloc_size(mem, len + 1);
	at = bytes;
	for (size_t i = 0; i < n; i++) {
		memcpy(at, former.data, edits[i].keep);
		at += edits[i].keep;
		memcpy(at, edits[i].insert.data, edits[i].insert.len);
		at += edits[i].insert.len;
		former = after(former, edits[i].keep + edits[i].drop);
	}
	memcpy(at, former.data, former.len);
	bytes[len] = 0;
	*text = (gc_str_t){bytes, len};
	return true;
}

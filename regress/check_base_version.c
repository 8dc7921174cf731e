/*
 * The base version of a service. Guards against a change while streams that began
 * at the old version can be resumed: they have no record, and would go on at
 * the new one.
 */
#include "core/base_version.h"
#include "regress/unit.h"

#define LLM GC_STR_LIT("llm")

typedef struct fixture {
	gc_base_versions_t *versions;
	gc_registry_entry_t servers[8];
	size_t n;
	gc_base_version_t base;
	bool has_base;
	gc_str_t proposed;
} fixture_t;

static fixture_t fixture_create(void)
{
	return (fixture_t){.versions = gc_base_versions_create(NULL),
			   .base = {.service = LLM}};
}

/* Each letter is the version of a server. */
static void set_servers(fixture_t *f, const char *letters)
{
	static const char names[] = "a\0b\0c";

	for (f->n = 0; letters[f->n]; f->n++)
		f->servers[f->n] = (gc_registry_entry_t){
			.service = LLM,
			.version = gc_str(&names[2 * (letters[f->n] - 'a')])};
}

static bool propose(fixture_t *f, int64_t ms)
{
	return gc_base_versions_propose(f->versions, unit_at(ms), LLM,
					f->servers, f->n,
					f->has_base ? &f->base : NULL,
					&f->proposed);
}

static void set_base(fixture_t *f, const char *version)
{
	f->has_base = true;
	f->base.version = gc_str(version);
}

START_TEST(test_first_install)
{
	fixture_t f = fixture_create();

	ck_assert(!propose(&f, 0));
	set_servers(&f, "bba");
	ck_assert(propose(&f, 10));
	ck_assert_str_eq(f.proposed.data, "b");
	set_servers(&f, "ba");
	ck_assert(propose(&f, 20));
	ck_assert_str_eq(f.proposed.data, "a");
	set_base(&f, "a");
	ck_assert(!propose(&f, 30));
	talloc_free(f.versions);
}
END_TEST

START_TEST(test_changes_when_streams_have_ended)
{
	fixture_t f = fixture_create();

	set_base(&f, "a");
	set_servers(&f, "aab");
	ck_assert(!propose(&f, 0));
	set_servers(&f, "bbc");
	ck_assert(!propose(&f, 5 * GC_STREAM_LIFE_MS + 10));
	ck_assert(!propose(&f, 6 * GC_STREAM_LIFE_MS + 9));
	ck_assert(propose(&f, 6 * GC_STREAM_LIFE_MS + 10));
	ck_assert_str_eq(f.proposed.data, "b");
	talloc_free(f.versions);
}
END_TEST

START_TEST(test_old_version_comes_back)
{
	fixture_t f = fixture_create();

	set_base(&f, "a");
	set_servers(&f, "a");
	ck_assert(!propose(&f, 0));
	set_servers(&f, "b");
	ck_assert(!propose(&f, GC_STREAM_LIFE_MS - 10));
	set_servers(&f, "ab");
	ck_assert(!propose(&f, GC_STREAM_LIFE_MS - 5));
	set_servers(&f, "b");
	ck_assert(!propose(&f, 2 * GC_STREAM_LIFE_MS - 10));
	talloc_free(f.versions);
}
END_TEST

/* A daemon that has just started doesn't know what was listed before. */
START_TEST(test_start_counts_as_listed)
{
	fixture_t f = fixture_create();

	set_base(&f, "a");
	set_servers(&f, "bb");
	ck_assert(!propose(&f, 1000));
	ck_assert(!propose(&f, GC_STREAM_LIFE_MS + 999));
	ck_assert(propose(&f, GC_STREAM_LIFE_MS + 1000));
	talloc_free(f.versions);
}
END_TEST

START_TEST(test_only_version)
{
	fixture_t f = fixture_create();

	ck_assert(!gc_base_versions_is_only(f.versions, unit_at(0), LLM));
	set_base(&f, "a");
	set_servers(&f, "aa");
	propose(&f, 0);
	ck_assert(!gc_base_versions_is_only(
		f.versions, unit_at(GC_STREAM_LIFE_MS - 1), LLM));
	ck_assert(gc_base_versions_is_only(f.versions,
					   unit_at(GC_STREAM_LIFE_MS), LLM));
	set_servers(&f, "ab");
	propose(&f, GC_STREAM_LIFE_MS + 5);
	set_servers(&f, "aa");
	propose(&f, GC_STREAM_LIFE_MS + 6);
	ck_assert(!gc_base_versions_is_only(
		f.versions, unit_at(2 * GC_STREAM_LIFE_MS), LLM));
	set_servers(&f, "ab");
	propose(&f, 2 * GC_STREAM_LIFE_MS + 10);
	set_servers(&f, "a");
	propose(&f, 4 * GC_STREAM_LIFE_MS);
	ck_assert(!gc_base_versions_is_only(
		f.versions, unit_at(4 * GC_STREAM_LIFE_MS + 10), LLM));
	/* The base version changes: streams of both may be under way. */
	propose(&f, 4 * GC_STREAM_LIFE_MS);
	set_base(&f, "b");
	set_servers(&f, "bb");
	propose(&f, 4 * GC_STREAM_LIFE_MS + 1);
	ck_assert(!gc_base_versions_is_only(
		f.versions, unit_at(5 * GC_STREAM_LIFE_MS), LLM));
	talloc_free(f.versions);
}
END_TEST

/* Guards against a change or a shortcut after a time in which the daemon was cut off,
 * while servers of another version came and went. */
START_TEST(test_gap)
{
	fixture_t f = fixture_create();
	int64_t back = GC_STREAM_LIFE_MS + 100;

	set_base(&f, "a");
	set_servers(&f, "aa");
	propose(&f, 0);
	gc_base_versions_note_gap(f.versions, unit_at(back));
	propose(&f, back);
	ck_assert(!gc_base_versions_is_only(f.versions, unit_at(back), LLM));
	ck_assert(gc_base_versions_is_only(
		f.versions, unit_at(back + GC_STREAM_LIFE_MS), LLM));
	set_servers(&f, "b");
	propose(&f, 2 * back);
	gc_base_versions_note_gap(f.versions, unit_at(4 * back));
	ck_assert(!propose(&f, 4 * back));
	ck_assert(!propose(&f, 4 * back + GC_STREAM_LIFE_MS - 1));
	ck_assert(propose(&f, 4 * back + GC_STREAM_LIFE_MS));
	talloc_free(f.versions);
}
END_TEST

START_TEST(test_mixed)
{
	fixture_t f = fixture_create();

	set_base(&f, "a");
	set_servers(&f, "aa");
	propose(&f, 0);
	ck_assert(!gc_base_versions_is_mixed(f.versions, unit_at(1), LLM));
	set_servers(&f, "aab");
	propose(&f, 1000);
	ck_assert(gc_base_versions_is_mixed(f.versions, unit_at(1000), LLM));
	set_servers(&f, "aa");
	propose(&f, 4000);
	ck_assert(gc_base_versions_is_mixed(
		f.versions, unit_at(3999 + GC_STREAM_LIFE_MS), LLM));
	ck_assert(!gc_base_versions_is_mixed(
		f.versions, unit_at(4000 + GC_STREAM_LIFE_MS), LLM));
	talloc_free(f.versions);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_first_install,
		test_changes_when_streams_have_ended,
		test_old_version_comes_back,
		test_start_counts_as_listed,
		test_only_version,
		test_gap,
		test_mixed,
		NULL,
	};

	return unit_run("base_version", tests);
}

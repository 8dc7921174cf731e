/* Guards against daemons that use protocols which older builds don't have. */
#include "lib/capabilities.h"
#include "lib/issuers.h"
#include "unit.h"

#define ALL (GC_CAN_GRANT_PLACES | GC_CAN_WITNESS)

static uint32_t decode(const char *entry)
{
	json_t *json = json_loads(entry, 0, NULL);
	uint32_t capabilities = gc_capabilities_decode(json);

	json_decref(json);
	return capabilities;
}

START_TEST(test_entries_of_all_builds)
{
	json_t *entry = json_pack("{s:o}", GC_CAPABILITIES_MEMBER,
				  gc_capabilities_encode(ALL));

	ck_assert_uint_eq(gc_capabilities_decode(entry), ALL);
	json_decref(entry);
	/* 92654f6 and before; the builds between; names of later ones. */
	ck_assert_uint_eq(decode("{\"peer\":\"1.2.3.4:5\"}"), 0);
	ck_assert_uint_eq(decode("{\"forward\":\"1.2.3.4:5\"}"), ALL);
	ck_assert_uint_eq(decode("{\"forward\":\"\"}"), 0);
	ck_assert_uint_eq(decode("{\"forward\":\"1.2.3.4:5\","
				 "\"capabilities\":[\"places\"]}"),
			  GC_CAN_GRANT_PLACES);
	ck_assert_uint_eq(decode("{\"capabilities\":[\"later\",7,\"places\"]}"),
			  GC_CAN_GRANT_PLACES);
	ck_assert_uint_eq(decode("{\"capabilities\":{\"places\":1}}"), 0);
	ck_assert_uint_eq(decode("[]"), 0);
}
END_TEST

/* The share of a roll-out can't be kept by daemons that know nothing of it. */
START_TEST(test_rollouts_are_named)
{
	uint32_t all = ALL | GC_CAN_ROLL_OUT;
	json_t *entry = json_pack("{s:o}", GC_CAPABILITIES_MEMBER,
				  gc_capabilities_encode(all));

	ck_assert_uint_eq(gc_capabilities_decode(entry), all);
	json_decref(entry);
	ck_assert_uint_eq(decode("{\"capabilities\":[\"rollouts\"]}"),
			  GC_CAN_ROLL_OUT);
	ck_assert_uint_eq(
		decode("{\"forward\":\"1.2.3.4:5\"}") & GC_CAN_ROLL_OUT, 0);
}
END_TEST

/* Daemons 0 to 7, of which the odd ones are of an older build. */
static gc_fleet_view_t *half_of_older_builds(void)
{
	gc_registry_t *servers = gc_registry_create(NULL, 0);
	gc_registry_t *daemons = gc_registry_create(NULL, 0);
	gc_fleet_view_t *view;

	for (const char *name = "01234567"; *name; name++)
		gc_registry_put(daemons,
				&(gc_registry_entry_t){
					.id = {name, 1},
					.peer_address = GC_STR_LIT("1.2.3.4:5"),
					.capabilities = *name % 2 ? 0 : ALL,
				});
	view = gc_fleet_view_create(NULL, servers, daemons, NULL, 0);
	talloc_free(servers);
	talloc_free(daemons);
	return view;
}

START_TEST(test_only_capable_daemons_are_chosen)
{
	gc_issuers_t *issuers = gc_issuers_create(NULL, &gc_clock_system, ALL);
	gc_issuers_t *any = gc_issuers_create(NULL, &gc_clock_system, 0);
	gc_fleet_view_t *view = half_of_older_builds();
	bool older = false;

	ck_assert_double_eq(gc_issuers_capable_part(issuers), 1);
	gc_issuers_set_view(issuers, view);
	gc_issuers_set_view(any, view);
	for (uint64_t server = 1; server <= 100; server++) {
		const gc_registry_entry_t *first =
			gc_issuers_find(any, server, 0);

		ck_assert(first != NULL);
		older |= !gc_issuers_is_capable(issuers, first);
		for (size_t i = 0; i < GC_N_ISSUERS; i++) {
			const gc_registry_entry_t *daemon =
				gc_issuers_find(issuers, server, i);

			ck_assert(daemon &&
				  gc_issuers_is_capable(issuers, daemon));
		}
	}
	ck_assert(older);
	ck_assert_double_eq(gc_issuers_capable_part(issuers), 0.5);
	ck_assert_double_eq(gc_issuers_capable_part(any), 1);
	gc_fleet_view_unref(view);
	talloc_free(issuers);
	talloc_free(any);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_entries_of_all_builds,
		test_rollouts_are_named,
		test_only_capable_daemons_are_chosen,
		NULL,
	};

	return unit_run("capabilities", tests);
}

/* Table of peers: heartbeats, seeds, the instance list, watchers. */
#include <string.h>

#include <xxhash.h>

#include "core/membership_private.h"

/*
 * To save bytes, only every n-th heartbeat to a peer is a full one, with the
 * addresses and descriptions of other daemons; fewer if the peer knows as many
 * daemons as this one.
 */
#define FULL_HEARTBEAT_EVERY	     8
#define FULL_HEARTBEAT_EVERY_IN_SYNC 64

static int membership_destructor(gc_membership_t *membership);
static void free_member(gpointer data);
static member_t *add_member(gc_membership_t *membership, struct timespec now,
			    gc_str_t name);
static void update_string(char **text, gc_str_t value);
static void update_addresses(member_t *member,
			     const gc_member_descriptor_t *descriptor);
static void remove_silent_peers(gc_membership_t *membership,
				struct timespec now, bool complete);
static bool is_removable(const gc_membership_t *membership,
			 const member_t *member, struct timespec now,
			 bool complete);
static void add_hinted_members(gc_membership_t *membership, struct timespec now,
			       const gc_heartbeat_t *heartbeat);
static bool full_heartbeat_due(const gc_membership_t *membership,
			       member_t *member);
static void fill_full_heartbeat(gc_membership_t *membership,
				struct timespec now, gc_heartbeat_t *heartbeat);
static gc_member_descriptor_t describe_member(const member_t *member);
static bool is_seed_known(const gc_membership_t *membership, const char *url);
static size_t sample_targets(gc_membership_t *membership,
			     gc_member_descriptor_t *targets, size_t n,
			     size_t sample_size);
static uint64_t watcher_score(gc_str_t domain, gc_str_t name);

gc_membership_t *gc_membership_create(TALLOC_CTX *mem,
				      const gc_membership_conf_t *conf)
{
	gc_membership_t *membership = talloc_zero(mem, gc_membership_t);

	membership->conf = *conf;
	membership->conf.self = gc_str_dup(membership, conf->self);
	membership->conf.failure_domain =
		gc_str_dup(membership, conf->failure_domain);
	membership->conf.peer_url = gc_str_dup(membership, conf->peer_url);
	membership->conf.caller_url = gc_str_dup(membership, conf->caller_url);
	membership->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	membership->peers = g_ptr_array_new_with_free_func(free_member);
	membership->seeds = g_ptr_array_new_with_free_func(g_free);
	membership->incarnation = gc_membership_random(membership) & 0xffffff;
	talloc_set_destructor(membership, membership_destructor);
	return membership;
}

static int membership_destructor(gc_membership_t *membership)
{
	g_hash_table_destroy(membership->by_name);
	g_ptr_array_free(membership->peers, TRUE);
	g_ptr_array_free(membership->seeds, TRUE);
	return 0;
}

static void free_member(gpointer data)
{
	member_t *member = data;

	g_free(member->name);
	g_free(member->failure_domain);
	g_free(member->peer_url);
	g_free(member->caller_url);
	g_free(member);
}

uint64_t gc_membership_random(const gc_membership_t *membership)
{
	return membership->conf.random->next(membership->conf.random->ctx);
}

member_t *gc_membership_find(const gc_membership_t *membership, gc_str_t name)
{
	g_autofree char *key = g_strndup(name.data, name.len);

	return g_hash_table_lookup(membership->by_name, key);
}

static member_t *add_member(gc_membership_t *membership, struct timespec now,
			    gc_str_t name)
{
	member_t *member = gc_membership_find(membership, name);

	if (member || name.len == 0 || gc_str_eq(name, membership->conf.self))
		return member;
	member = g_new0(member_t, 1);
	member->name = g_strndup(name.data, name.len);
	member->failure_domain = g_strdup("");
	member->peer_url = g_strdup("");
	member->caller_url = g_strdup("");
	member->known_since = now;
	g_ptr_array_add(membership->peers, member);
	g_hash_table_insert(membership->by_name, member->name, member);
	return member;
}

/* An empty value means unknown; the present one is kept. */
static void update_string(char **text, gc_str_t value)
{
	if (value.len == 0 || gc_str_eq(gc_str(*text), value))
		return;
	g_free(*text);
	*text = g_strndup(value.data, value.len);
}

static void update_addresses(member_t *member,
			     const gc_member_descriptor_t *descriptor)
{
	update_string(&member->failure_domain, descriptor->failure_domain);
	update_string(&member->peer_url, descriptor->peer_url);
	update_string(&member->caller_url, descriptor->caller_url);
}

bool gc_membership_is_live(const gc_membership_t *membership,
			   const member_t *member, struct timespec now)
{
	if (member->leaving)
		return false;
	/* In a large fleet, heartbeats of any one daemon are rare. */
	if (membership->peers->len >= GC_MEMBERSHIP_FULL_MESH_MAX &&
	    member->listed)
		return true;
	return member->heard &&
	       gc_ms_between(member->heard_at, now) <=
		       LIVE_HEARTBEAT_INTERVALS * membership->conf.heartbeat_ms;
}

static bool is_gone(const gc_membership_t *membership, const member_t *member,
		    struct timespec now)
{
	struct timespec since =
		member->heard ? member->heard_at : member->known_since;

	return !gc_membership_is_live(membership, member, now) &&
	       gc_ms_between(since, now) > membership->conf.confirm_ms;
}

void gc_membership_on_daemon_list(gc_membership_t *membership,
				  struct timespec now,
				  const gc_member_descriptor_t *listed,
				  size_t n)
{
	bool complete = false;

	for (guint i = 0; i < membership->peers->len; i++)
		((member_t *)membership->peers->pdata[i])->listed = false;
	for (size_t i = 0; i < n; i++) {
		member_t *member;

		if (gc_str_eq(listed[i].name, membership->conf.self))
			complete = true;
		member = add_member(membership, now, listed[i].name);
		if (!member)
			continue;
		member->listed = true;
		/* The list lags behind: data from a heartbeat is newer. */
		if (!member->heard) {
			update_addresses(member, &listed[i]);
			member->leaving = listed[i].leaving;
		}
	}
	membership->complete_list_read |= complete;
	remove_silent_peers(membership, now, complete);
}

/*
 * A list that lacks this daemon is incomplete, so others may be missing too.
 * Without a complete list a silent peer stays known, so that no side of a
 * network partition considers itself the whole fleet.
 */
static void remove_silent_peers(gc_membership_t *membership,
				struct timespec now, bool complete)
{
	for (guint i = membership->peers->len; i-- > 0;) {
		member_t *member = membership->peers->pdata[i];

		if (!is_removable(membership, member, now, complete))
			continue;
		g_hash_table_remove(membership->by_name, member->name);
		g_ptr_array_remove_index(membership->peers, i);
	}
}

static bool is_removable(const gc_membership_t *membership,
			 const member_t *member, struct timespec now,
			 bool complete)
{
	int64_t silent = member->heard ? gc_ms_between(member->heard_at, now)
				       : REMOVE_SILENT_MS + 1;

	if (member->listed)
		return false;
	return silent > REMOVE_SILENT_MS && (complete || member->leaving);
}

void gc_membership_set_seeds(gc_membership_t *membership,
			     const gc_str_t *peer_urls, size_t n)
{
	g_ptr_array_set_size(membership->seeds, 0);
	for (size_t i = 0; i < n; i++) {
		if (gc_str_eq(peer_urls[i], membership->conf.peer_url))
			continue;
		g_ptr_array_add(membership->seeds,
				g_strndup(peer_urls[i].data, peer_urls[i].len));
	}
}

static bool is_seed_known(const gc_membership_t *membership, const char *url)
{
	for (guint i = 0; i < membership->peers->len; i++) {
		const member_t *member = membership->peers->pdata[i];

		if (strcmp(member->peer_url, url) == 0)
			return true;
	}
	return false;
}

gc_heartbeat_response_t
gc_membership_on_heartbeat(gc_membership_t *membership, struct timespec now,
			   const gc_heartbeat_t *heartbeat)
{
	gc_heartbeat_response_t response = {0};
	uint32_t incarnation = heartbeat->stamp >> 40;
	member_t *member;

	if (gc_str_eq(heartbeat->from.name, membership->conf.self))
		return response;
	member = add_member(membership, now, heartbeat->from.name);
	if (!member)
		return response;
	if (!member->heard || member->incarnation != incarnation) {
		/* A peer that has just started knows no addresses yet. */
		member->heartbeats_sent = 0;
		member->echoed = false;
		member->stamp = 0;
	}
	update_addresses(member, &heartbeat->from);
	member->incarnation = incarnation;
	member->heard = true;
	member->heard_at = now;
	member->leaving = heartbeat->from.leaving;
	gc_membership_apply_heartbeat(membership, now, member, heartbeat);
	add_hinted_members(membership, now, heartbeat);
	response.reply = heartbeat->wants_reply && *member->peer_url;
	response.pull = heartbeat->version > membership->version;
	return response;
}

static void add_hinted_members(gc_membership_t *membership, struct timespec now,
			       const gc_heartbeat_t *heartbeat)
{
	for (size_t i = 0; i < heartbeat->n_hints; i++) {
		const gc_member_descriptor_t *hint = &heartbeat->hints[i];
		member_t *member = add_member(membership, now, hint->name);

		if (member && !member->heard)
			update_addresses(member, hint);
	}
}

void gc_membership_make_heartbeat(gc_membership_t *membership,
				  struct timespec now, gc_str_t to,
				  gc_heartbeat_t *heartbeat)
{
	member_t *member = gc_membership_find(membership, to);

	*heartbeat = (gc_heartbeat_t){
		.from = {.name = membership->conf.self,
			 .failure_domain = GC_STR_EMPTY,
			 .peer_url = GC_STR_EMPTY,
			 .caller_url = GC_STR_EMPTY,
			 .leaving = membership->leaving},
		.version = membership->version,
		.confirmed_age_ms =
			gc_membership_confirmed_age(membership, now),
		.stamp = gc_membership_stamp(membership, now),
		.echo = member ? member->stamp : 0,
		.known = gc_membership_known(membership),
		.voter = membership->voter,
	};
	heartbeat->wants_reply =
		membership->peers->len >= GC_MEMBERSHIP_FULL_MESH_MAX ||
		!gc_membership_in_effect(membership, now);
	if (!member || full_heartbeat_due(membership, member))
		fill_full_heartbeat(membership, now, heartbeat);
}

/* Counts a heartbeat. True if it is to be a full one. */
static bool full_heartbeat_due(const gc_membership_t *membership,
			       member_t *member)
{
	uint32_t every = member->known == gc_membership_known(membership)
				 ? FULL_HEARTBEAT_EVERY_IN_SYNC
				 : FULL_HEARTBEAT_EVERY;
	uint32_t sequence;

	if (!member->heard)
		return true;
	sequence = member->heartbeats_sent++;
	/* A peer that has just started may have missed the first full one. */
	return sequence == FULL_HEARTBEAT_EVERY || sequence % every == 0;
}

static void fill_full_heartbeat(gc_membership_t *membership,
				struct timespec now, gc_heartbeat_t *heartbeat)
{
	guint len = membership->peers->len;
	guint start = len ? gc_membership_random(membership) % len : 0;

	heartbeat->from.failure_domain = membership->conf.failure_domain;
	heartbeat->from.peer_url = membership->conf.peer_url;
	heartbeat->from.caller_url = membership->conf.caller_url;
	for (guint i = 0;
	     i < len && heartbeat->n_hints < GC_MEMBERSHIP_MAX_HINTS; i++) {
		const member_t *member =
			membership->peers->pdata[(start + i) % len];

		/* Naming silent daemons would keep failed ones known. */
		if (*member->peer_url &&
		    gc_membership_is_live(membership, member, now))
			heartbeat->hints[heartbeat->n_hints++] =
				describe_member(member);
	}
}

static gc_member_descriptor_t describe_member(const member_t *member)
{
	return (gc_member_descriptor_t){
		.name = gc_str(member->name),
		.failure_domain = gc_str(member->failure_domain),
		.peer_url = gc_str(member->peer_url),
		.caller_url = gc_str(member->caller_url),
		.leaving = member->leaving,
	};
}

size_t gc_membership_targets(gc_membership_t *membership, struct timespec now,
			     gc_member_descriptor_t *targets, size_t max)
{
	gc_member_descriptor_t *candidates;
	size_t n = 0;

	candidates = g_new0(gc_member_descriptor_t,
			    membership->peers->len + membership->seeds->len);
	for (guint i = 0; i < membership->peers->len; i++) {
		const member_t *member = membership->peers->pdata[i];

		if (*member->peer_url)
			candidates[n++] = describe_member(member);
	}
	for (guint i = 0; i < membership->seeds->len; i++) {
		const char *url = membership->seeds->pdata[i];

		if (!is_seed_known(membership, url))
			candidates[n++] = (gc_member_descriptor_t){
				.name = GC_STR_EMPTY, .peer_url = gc_str(url)};
	}
	if (membership->peers->len >= GC_MEMBERSHIP_FULL_MESH_MAX)
		n = sample_targets(membership, candidates, n,
				   GC_MEMBERSHIP_FANOUT);
	if (n > max)
		n = sample_targets(membership, candidates, n, max);
	if (n > 0)
		memcpy(targets, candidates, n * sizeof(*candidates));
	g_free(candidates);
	return n;
}

/* Moves a random sample of at most sample_size entries to the front. */
static size_t sample_targets(gc_membership_t *membership,
			     gc_member_descriptor_t *targets, size_t n,
			     size_t sample_size)
{
	for (size_t i = 0; i < sample_size && i < n; i++) {
		size_t j = i + gc_membership_random(membership) % (n - i);
		gc_member_descriptor_t chosen = targets[j];

		targets[j] = targets[i];
		targets[i] = chosen;
	}
	return MIN(sample_size, n);
}

void gc_membership_set_leaving(gc_membership_t *membership)
{
	membership->leaving = true;
}

bool gc_membership_leaving(const gc_membership_t *membership)
{
	return membership->leaving;
}

size_t gc_membership_known(const gc_membership_t *membership)
{
	size_t known = 1;

	for (guint i = 0; i < membership->peers->len; i++) {
		const member_t *member = membership->peers->pdata[i];

		known += !member->leaving;
	}
	for (guint i = 0;
	     i < membership->seeds->len && !membership->complete_list_read; i++)
		known +=
			!is_seed_known(membership, membership->seeds->pdata[i]);
	return known;
}

/*
 * Rendezvous hashing: a daemon that joins or leaves changes no more than one
 * watcher.
 */
bool gc_membership_is_watcher(const gc_membership_t *membership,
			      struct timespec now)
{
	gc_str_t domain = membership->conf.failure_domain;
	uint64_t own = watcher_score(domain, membership->conf.self);
	unsigned int n_higher = 0;

	if (membership->leaving)
		return false;
	for (guint i = 0; i < membership->peers->len; i++) {
		const member_t *member = membership->peers->pdata[i];

		if (!gc_str_eq(gc_str(member->failure_domain), domain) ||
		    !gc_membership_is_live(membership, member, now))
			continue;
		n_higher += watcher_score(domain, gc_str(member->name)) > own;
	}
	return n_higher < GC_MEMBERSHIP_WATCHERS_PER_DOMAIN;
}

static uint64_t watcher_score(gc_str_t domain, gc_str_t name)
{
	return XXH64(name.data, name.len, XXH64(domain.data, domain.len, 0));
}

void gc_membership_foreach(const gc_membership_t *membership,
			   struct timespec now,
			   void (*fn)(void *ctx, const gc_member_info_t *info),
			   void *ctx)
{
	gc_member_info_t info = {
		.name = membership->conf.self,
		.failure_domain = membership->conf.failure_domain,
		.peer_url = membership->conf.peer_url,
		.caller_url = membership->conf.caller_url,
		.version = membership->version,
		.live = !membership->leaving,
		.leaving = membership->leaving,
		.self = true,
	};

	fn(ctx, &info);
	for (guint i = 0; i < membership->peers->len; i++) {
		const member_t *member = membership->peers->pdata[i];

		info = (gc_member_info_t){
			.name = gc_str(member->name),
			.failure_domain = gc_str(member->failure_domain),
			.peer_url = gc_str(member->peer_url),
			.caller_url = gc_str(member->caller_url),
			.version = member->version,
			.silent_ms =
				member->heard
					? gc_ms_between(member->heard_at, now)
					: -1,
			.live = gc_membership_is_live(membership, member, now),
			.gone = is_gone(membership, member, now),
			.leaving = member->leaving,
		};
		fn(ctx, &info);
	}
}

gc_str_t gc_membership_peer_url(const gc_membership_t *membership,
				gc_str_t name)
{
	const member_t *member = gc_membership_find(membership, name);

	return member ? gc_str(member->peer_url) : GC_STR_EMPTY;
}

/* Known daemons: heartbeats, seeds, the instance list, watchers. */
#include <string.h>

#include <xxhash.h>

#include "core/membership_private.h"

/*
 * Every n-th heartbeat to a peer carries the addresses and hints, to save
 * bytes; fewer do when the peer knows as many daemons as this one does.
 */
#define FULL_EVERY	  8
#define FULL_EVERY_AGREED 64

static int members_destructor(gc_membership_t *members);
static void free_member(gpointer data);
static member_t *add_member(gc_membership_t *members, gc_str_t name);
static void set_text(char **text, gc_str_t value);
static void take_addresses(member_t *member, const gc_member_hint_t *hint);
static void forget(gc_membership_t *members, struct timespec now,
		   bool complete);
static bool forgettable(const gc_membership_t *members, const member_t *member,
			struct timespec now, bool complete);
static void add_hints(gc_membership_t *members,
		      const gc_heartbeat_t *heartbeat);
static bool full_due(const gc_membership_t *members, member_t *member);
static void make_full(gc_membership_t *members, struct timespec now,
		      gc_heartbeat_t *heartbeat);
static gc_member_hint_t hint_of(const member_t *member);
static bool seed_known(const gc_membership_t *members, const char *url);
static size_t pick_some(gc_membership_t *members, gc_member_hint_t *targets,
			size_t n, size_t wanted);
static uint64_t watcher_score(gc_str_t domain, gc_str_t name);

gc_membership_t *gc_membership_create(TALLOC_CTX *mem,
				      const gc_membership_conf_t *conf)
{
	gc_membership_t *members = talloc_zero(mem, gc_membership_t);

	members->conf = *conf;
	members->conf.self = gc_str_dup(members, conf->self);
	members->conf.failure_domain =
		gc_str_dup(members, conf->failure_domain);
	members->conf.peer_url = gc_str_dup(members, conf->peer_url);
	members->conf.caller_url = gc_str_dup(members, conf->caller_url);
	members->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	members->all = g_ptr_array_new_with_free_func(free_member);
	members->seeds = g_ptr_array_new_with_free_func(g_free);
	members->boot = gc_membership_random(members) & 0xffffff;
	talloc_set_destructor(members, members_destructor);
	return members;
}

static int members_destructor(gc_membership_t *members)
{
	g_hash_table_destroy(members->by_name);
	g_ptr_array_free(members->all, TRUE);
	g_ptr_array_free(members->seeds, TRUE);
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

uint64_t gc_membership_random(const gc_membership_t *members)
{
	return members->conf.random->next(members->conf.random->ctx);
}

member_t *gc_membership_find(const gc_membership_t *members, gc_str_t name)
{
	g_autofree char *key = g_strndup(name.data, name.len);

	return g_hash_table_lookup(members->by_name, key);
}

static member_t *add_member(gc_membership_t *members, gc_str_t name)
{
	member_t *member = gc_membership_find(members, name);

	if (member || name.len == 0 || gc_str_eq(name, members->conf.self))
		return member;
	member = g_new0(member_t, 1);
	member->name = g_strndup(name.data, name.len);
	member->failure_domain = g_strdup("");
	member->peer_url = g_strdup("");
	member->caller_url = g_strdup("");
	g_ptr_array_add(members->all, member);
	g_hash_table_insert(members->by_name, member->name, member);
	return member;
}

static void set_text(char **text, gc_str_t value)
{
	if (value.len == 0 || gc_str_eq(gc_str(*text), value))
		return;
	g_free(*text);
	*text = g_strndup(value.data, value.len);
}

static void take_addresses(member_t *member, const gc_member_hint_t *hint)
{
	set_text(&member->failure_domain, hint->failure_domain);
	set_text(&member->peer_url, hint->peer_url);
	set_text(&member->caller_url, hint->caller_url);
}

bool gc_membership_is_live(const gc_membership_t *members,
			   const member_t *member, struct timespec now)
{
	if (member->leaving)
		return false;
	/* In a large fleet a heartbeat of any one daemon is rare. */
	if (members->all->len >= GC_MEMBERSHIP_ALL && member->listed)
		return true;
	return member->heard &&
	       gc_ms_between(member->heard_at, now) <=
		       LIVE_INTERVALS * members->conf.heartbeat_ms;
}

void gc_membership_on_list(gc_membership_t *members, struct timespec now,
			   const gc_member_hint_t *listed, size_t n)
{
	bool complete = false;

	for (guint i = 0; i < members->all->len; i++)
		((member_t *)members->all->pdata[i])->listed = false;
	for (size_t i = 0; i < n; i++) {
		member_t *member;

		if (gc_str_eq(listed[i].name, members->conf.self))
			complete = true;
		member = add_member(members, listed[i].name);
		if (!member)
			continue;
		member->listed = true;
		/* The list lags: a heartbeat knows better. */
		if (!member->heard) {
			take_addresses(member, &listed[i]);
			member->leaving = listed[i].leaving;
		}
	}
	members->list_read |= complete;
	forget(members, now, complete);
}

/*
 * A list that lacks this daemon itself is not complete and proves nothing
 * about others. Without a complete list a silent daemon stays known, so that
 * no side of a partition takes itself for the whole fleet.
 */
static void forget(gc_membership_t *members, struct timespec now, bool complete)
{
	for (guint i = members->all->len; i-- > 0;) {
		member_t *member = members->all->pdata[i];

		if (!forgettable(members, member, now, complete))
			continue;
		g_hash_table_remove(members->by_name, member->name);
		g_ptr_array_remove_index(members->all, i);
	}
}

static bool forgettable(const gc_membership_t *members, const member_t *member,
			struct timespec now, bool complete)
{
	int64_t silent = member->heard ? gc_ms_between(member->heard_at, now)
				       : FORGET_MS + 1;

	if (member->listed)
		return false;
	return silent > FORGET_MS && (complete || member->leaving);
}

void gc_membership_set_seeds(gc_membership_t *members,
			     const gc_str_t *peer_urls, size_t n)
{
	g_ptr_array_set_size(members->seeds, 0);
	for (size_t i = 0; i < n; i++) {
		if (gc_str_eq(peer_urls[i], members->conf.peer_url))
			continue;
		g_ptr_array_add(members->seeds,
				g_strndup(peer_urls[i].data, peer_urls[i].len));
	}
}

static bool seed_known(const gc_membership_t *members, const char *url)
{
	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = members->all->pdata[i];

		if (strcmp(member->peer_url, url) == 0)
			return true;
	}
	return false;
}

gc_membership_answer_t
gc_membership_on_heartbeat(gc_membership_t *members, struct timespec now,
			   const gc_heartbeat_t *heartbeat)
{
	gc_membership_answer_t answer = {0};
	uint32_t boot = heartbeat->stamp >> 40;
	member_t *member;

	if (gc_str_eq(heartbeat->from.name, members->conf.self))
		return answer;
	member = add_member(members, heartbeat->from.name);
	if (!member)
		return answer;
	if (!member->heard || member->boot != boot) {
		/* A new run of it knows no addresses yet. */
		member->beats = 0;
		member->proven = false;
		member->stamp = 0;
	}
	take_addresses(member, &heartbeat->from);
	member->boot = boot;
	member->heard = true;
	member->heard_at = now;
	member->leaving = heartbeat->from.leaving;
	gc_membership_learn(members, now, member, heartbeat);
	add_hints(members, heartbeat);
	answer.reply = heartbeat->wants_reply && *member->peer_url;
	answer.pull = heartbeat->version > members->version;
	return answer;
}

static void add_hints(gc_membership_t *members, const gc_heartbeat_t *heartbeat)
{
	for (size_t i = 0; i < heartbeat->n_hints; i++) {
		const gc_member_hint_t *hint = &heartbeat->hints[i];
		member_t *member = add_member(members, hint->name);

		if (member && !member->heard)
			take_addresses(member, hint);
	}
}

void gc_membership_make_heartbeat(gc_membership_t *members, struct timespec now,
				  gc_str_t to, gc_heartbeat_t *heartbeat)
{
	member_t *member = gc_membership_find(members, to);

	*heartbeat = (gc_heartbeat_t){
		.from = {.name = members->conf.self,
			 .failure_domain = GC_STR_EMPTY,
			 .peer_url = GC_STR_EMPTY,
			 .caller_url = GC_STR_EMPTY,
			 .leaving = members->leaving},
		.version = members->version,
		.confirmed_age_ms = gc_membership_confirmed_age(members, now),
		.stamp = gc_membership_stamp(members, now),
		.echo = member ? member->stamp : 0,
		.known = gc_membership_known(members),
		.voter = members->voter,
	};
	heartbeat->wants_reply = members->all->len >= GC_MEMBERSHIP_ALL ||
				 !gc_membership_in_effect(members, now);
	if (!member || full_due(members, member))
		make_full(members, now, heartbeat);
}

/* Counts the heartbeat. True if it is to carry the addresses. */
static bool full_due(const gc_membership_t *members, member_t *member)
{
	uint32_t every = member->known == gc_membership_known(members)
				 ? FULL_EVERY_AGREED
				 : FULL_EVERY;
	uint32_t beat;

	if (!member->heard)
		return true;
	beat = member->beats++;
	/* A peer that was only just heard may have missed the first one. */
	return beat == FULL_EVERY || beat % every == 0;
}

static void make_full(gc_membership_t *members, struct timespec now,
		      gc_heartbeat_t *heartbeat)
{
	guint len = members->all->len;
	guint start = len ? gc_membership_random(members) % len : 0;

	heartbeat->from.failure_domain = members->conf.failure_domain;
	heartbeat->from.peer_url = members->conf.peer_url;
	heartbeat->from.caller_url = members->conf.caller_url;
	for (guint i = 0; i < len && heartbeat->n_hints < GC_MEMBERSHIP_HINTS;
	     i++) {
		const member_t *member = members->all->pdata[(start + i) % len];

		/* Hints of silent daemons would keep dead ones known. */
		if (*member->peer_url &&
		    gc_membership_is_live(members, member, now))
			heartbeat->hints[heartbeat->n_hints++] =
				hint_of(member);
	}
}

static gc_member_hint_t hint_of(const member_t *member)
{
	return (gc_member_hint_t){
		.name = gc_str(member->name),
		.failure_domain = gc_str(member->failure_domain),
		.peer_url = gc_str(member->peer_url),
		.caller_url = gc_str(member->caller_url),
		.leaving = member->leaving,
	};
}

size_t gc_membership_targets(gc_membership_t *members, struct timespec now,
			     gc_member_hint_t *targets, size_t max)
{
	gc_member_hint_t *all;
	size_t n = 0;

	all = g_new0(gc_member_hint_t, members->all->len + members->seeds->len);
	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = members->all->pdata[i];

		if (*member->peer_url)
			all[n++] = hint_of(member);
	}
	for (guint i = 0; i < members->seeds->len; i++) {
		const char *url = members->seeds->pdata[i];

		if (!seed_known(members, url))
			all[n++] = (gc_member_hint_t){.name = GC_STR_EMPTY,
						      .peer_url = gc_str(url)};
	}
	if (members->all->len >= GC_MEMBERSHIP_ALL)
		n = pick_some(members, all, n, GC_MEMBERSHIP_FANOUT);
	if (n > max)
		n = pick_some(members, all, n, max);
	if (n > 0)
		memcpy(targets, all, n * sizeof(*all));
	g_free(all);
	return n;
}

/* Moves a random choice of wanted entries to the front. */
static size_t pick_some(gc_membership_t *members, gc_member_hint_t *targets,
			size_t n, size_t wanted)
{
	for (size_t i = 0; i < wanted && i < n; i++) {
		size_t j = i + gc_membership_random(members) % (n - i);
		gc_member_hint_t chosen = targets[j];

		targets[j] = targets[i];
		targets[i] = chosen;
	}
	return MIN(wanted, n);
}

void gc_membership_set_leaving(gc_membership_t *members)
{
	members->leaving = true;
}

bool gc_membership_leaving(const gc_membership_t *members)
{
	return members->leaving;
}

size_t gc_membership_known(const gc_membership_t *members)
{
	size_t known = 1;

	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = members->all->pdata[i];

		known += !member->leaving;
	}
	for (guint i = 0; i < members->seeds->len && !members->list_read; i++)
		known += !seed_known(members, members->seeds->pdata[i]);
	return known;
}

/* Rendezvous hashing: a change of one daemon moves no other's duty. */
bool gc_membership_is_watcher(const gc_membership_t *members,
			      struct timespec now)
{
	gc_str_t domain = members->conf.failure_domain;
	uint64_t own = watcher_score(domain, members->conf.self);
	unsigned int better = 0;

	if (members->leaving)
		return false;
	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = members->all->pdata[i];

		if (!gc_str_eq(gc_str(member->failure_domain), domain) ||
		    !gc_membership_is_live(members, member, now))
			continue;
		better += watcher_score(domain, gc_str(member->name)) > own;
	}
	return better < GC_MEMBERSHIP_WATCHERS;
}

static uint64_t watcher_score(gc_str_t domain, gc_str_t name)
{
	return XXH64(name.data, name.len, XXH64(domain.data, domain.len, 0));
}

void gc_membership_each(const gc_membership_t *members, struct timespec now,
			void (*fn)(void *ctx, const gc_member_info_t *info),
			void *ctx)
{
	gc_member_info_t info = {
		.name = members->conf.self,
		.failure_domain = members->conf.failure_domain,
		.peer_url = members->conf.peer_url,
		.caller_url = members->conf.caller_url,
		.version = members->version,
		.live = !members->leaving,
		.leaving = members->leaving,
		.self = true,
	};

	fn(ctx, &info);
	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = members->all->pdata[i];

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
			.live = gc_membership_is_live(members, member, now),
			.leaving = member->leaving,
		};
		fn(ctx, &info);
	}
}

gc_str_t gc_membership_peer_url(const gc_membership_t *members, gc_str_t name)
{
	const member_t *member = gc_membership_find(members, name);

	return member ? gc_str(member->peer_url) : GC_STR_EMPTY;
}

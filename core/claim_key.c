/* Idempotency keys: parsing, age, and the record that stores a key's claim. */
#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "core/claim.h"

#define HASH_BYTES  16
#define MS_PER_HOUR (3600 * UINT64_C(1000))

static int hex_value(char c);
static void hash_text(char out[GC_CLAIM_HASH_MAX], uint8_t raw[HASH_BYTES],
		      gc_str_t a, gc_str_t b);

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

bool gc_uuid7_parse(gc_str_t text, char canonical[GC_UUID_MAX],
		    uint64_t *unix_ms)
{
	uint64_t ms = 0;
	unsigned int digits = 0;

	if (text.len != GC_UUID_MAX - 1)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		bool dash = i == 8 || i == 13 || i == 18 || i == 23;
		int value = hex_value(text.data[i]);

		canonical[i] = (char)tolower((unsigned char)text.data[i]);
		if (dash && text.data[i] == '-')
			continue;
		if (dash || value < 0)
			return false;
		if (digits < 12) /* the first 48 bits are the time stamp */
			ms = ms << 4 | (uint64_t)value;
		digits++;
	}
	canonical[text.len] = '\0';
	if (canonical[14] != '7' || !strchr("89ab", canonical[19]))
		return false;
	*unix_ms = ms;
	return true;
}

gc_claim_age_t gc_claim_age(uint64_t unix_ms, struct timespec wall)
{
	int64_t now_ms = wall.tv_sec * INT64_C(1000) + wall.tv_nsec / 1000000;
	int64_t age_ms = now_ms - (int64_t)unix_ms;

	if (age_ms > GC_CLAIM_RETENTION_MS)
		return GC_CLAIM_EXPIRED;
	if (age_ms < -GC_CLAIM_MAX_CLOCK_SKEW_MS)
		return GC_CLAIM_FUTURE;
	return GC_CLAIM_CURRENT;
}

/* The length of a is hashed too, so that ("ab", "c") and ("a", "bc") differ. */
static void hash_text(char out[GC_CLAIM_HASH_MAX], uint8_t raw[HASH_BYTES],
		      gc_str_t a, gc_str_t b)
{
	crypto_generichash_state state;
	uint64_t a_len = a.len;

	crypto_generichash_init(&state, NULL, 0, HASH_BYTES);
	crypto_generichash_update(&state, (const uint8_t *)&a_len,
				  sizeof(a_len));
	crypto_generichash_update(&state, (const uint8_t *)a.data, a.len);
	crypto_generichash_update(&state, (const uint8_t *)b.data, b.len);
	crypto_generichash_final(&state, raw, HASH_BYTES);
	sodium_bin2base64(out, GC_CLAIM_HASH_MAX, raw, HASH_BYTES,
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
}

void gc_claim_init(gc_claim_t *claim, gc_str_t account, gc_str_t uuid,
		   uint64_t unix_ms, gc_str_t request)
{
	uint8_t raw[HASH_BYTES];

	memset(claim, 0, sizeof(*claim));
	hash_text(claim->request, raw, GC_STR_EMPTY, request);
	hash_text(claim->key, raw, account, uuid);
	snprintf(claim->record, sizeof(claim->record),
		 GC_CLAIM_PREFIX "%" PRIu64 "/%d", unix_ms / MS_PER_HOUR,
		 raw[0] % GC_CLAIM_SHARDS);
}

bool gc_claim_record_expired(const char *name, struct timespec wall)
{
	uint64_t now_hour = (uint64_t)wall.tv_sec / (MS_PER_HOUR / 1000);
	g_auto(GStrv) parts = NULL;
	guint64 hour, shard;

	if (!g_str_has_prefix(name, GC_CLAIM_PREFIX))
		return false;
	parts = g_strsplit(name + strlen(GC_CLAIM_PREFIX), "/", -1);
	if (g_strv_length(parts) != 2 ||
	    !g_ascii_string_to_unsigned(parts[0], 10, 0, UINT64_MAX / 2, &hour,
					NULL) ||
	    !g_ascii_string_to_unsigned(parts[1], 10, 0, GC_CLAIM_SHARDS - 1,
					&shard, NULL))
		return false;
	return now_hour > hour + GC_CLAIM_DELETE_AFTER_HOURS;
}

void gc_claim_set_nonce(gc_claim_t *claim, uint64_t nonce)
{
	snprintf(claim->nonce, sizeof(claim->nonce), "%016" PRIx64, nonce);
}

/* Recognizes a request that comes again. */
#include <sodium.h>

#include "lib/request_hash.h"

static void add_field(crypto_generichash_state *state, gc_str_t field);

uint64_t gc_request_hash(gc_str_t service, gc_str_t account, gc_str_t prompt,
			 const gc_http_message_t *request)
{
	crypto_generichash_state state;
	unsigned char hash[crypto_generichash_BYTES_MIN];
	uint64_t number = 0;

	crypto_generichash_init(&state, NULL, 0, sizeof(hash));
	add_field(&state, service);
	add_field(&state, account);
	add_field(&state, gc_str(gc_http_message_method(request)));
	add_field(&state, gc_http_message_target(request));
	add_field(&state, prompt);
	add_field(&state, gc_http_message_body(request));
	crypto_generichash_final(&state, hash, sizeof(hash));
	for (size_t i = 0; i < sizeof(number); i++)
		number = number << 8 | hash[i];
	return number;
}

void gc_stream_key(gc_str_t service, gc_str_t account, gc_str_t id,
		   char key[GC_STREAM_KEY_BYTES])
{
	crypto_generichash_state state;
	unsigned char hash[crypto_generichash_BYTES_MIN];

	crypto_generichash_init(&state, NULL, 0, sizeof(hash));
	add_field(&state, service);
	add_field(&state, account);
	add_field(&state, id);
	crypto_generichash_final(&state, hash, sizeof(hash));
	sodium_bin2hex(key, GC_STREAM_KEY_BYTES, hash, sizeof(hash));
}

/* With its length, so that no two lists of fields have the same bytes. */
static void add_field(crypto_generichash_state *state, gc_str_t field)
{
	uint64_t len = GUINT64_TO_LE((uint64_t)field.len);

	crypto_generichash_update(state, (const unsigned char *)&len,
				  sizeof(len));
	crypto_generichash_update(state, (const unsigned char *)field.data,
				  field.len);
}

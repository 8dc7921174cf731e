/* Encoding and authentication of resume cursors. */
#include <string.h>

#include <msgpack.h>
#include <sodium.h>
#include <xxhash.h>

#include "core/cursor.h"
#include "core/error.h"

#define CURSOR_VERSION 1
#define CURSOR_FIELDS  7
#define MAC_LEN	       16 /* bytes of keyed BLAKE2b */
/* Engine name, run id, request id, three integers and type bytes. */
#define BODY_MAX_BYTES	 (GC_NAME_MAX + GC_RUN_ID_MAX + GC_REQUEST_ID_LEN + 48)
#define CURSOR_MAX_BYTES (BODY_MAX_BYTES + MAC_LEN)
#define BASE64_VARIANT	 sodium_base64_VARIANT_URLSAFE_NO_PADDING
#define ENCODED_MAX_CHARS \
	sodium_base64_ENCODED_LEN(CURSOR_MAX_BYTES, BASE64_VARIANT)

typedef struct buffer {
	size_t len;
	uint8_t data[CURSOR_MAX_BYTES];
} buffer_t;

static int buffer_write(void *data, const char *bytes, size_t len);
static void pack_string(msgpack_packer *packer, const char *text);
static void compute_mac(const uint8_t *key, const uint8_t *body, size_t len,
			uint8_t mac[MAC_LEN]);
static bool is_uint_up_to(const msgpack_object *o, uint64_t max);
static bool read_string(const msgpack_object *o, char *out, size_t size);
static bool read_fields(const msgpack_object *o, gc_cursor_t *cursor);
static bool decode_body(const uint8_t *body, size_t len, gc_cursor_t *cursor);

uint64_t gc_token_hash_update(uint64_t hash, gc_str_t token)
{
	return XXH3_64bits_withSeed(token.data, token.len, hash);
}

/* Writes to a fixed buffer, which saves an allocation per token. */
static int buffer_write(void *data, const char *bytes, size_t len)
{
	buffer_t *buffer = data;

	if (len > BODY_MAX_BYTES - buffer->len)
		return -1;
	memcpy(buffer->data + buffer->len, bytes, len);
	buffer->len += len;
	return 0;
}

static void pack_string(msgpack_packer *packer, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text, len);
}

static void compute_mac(const uint8_t *key, const uint8_t *body, size_t len,
			uint8_t mac[MAC_LEN])
{
	crypto_generichash(mac, MAC_LEN, body, len, key, GC_FLEET_KEY_LEN);
}

char *gc_cursor_encode(TALLOC_CTX *mem, const uint8_t key[GC_FLEET_KEY_LEN],
		       const gc_cursor_t *cursor)
{
	buffer_t buffer = {.len = 0};
	msgpack_packer packer;
	size_t size;
	char *text;

	msgpack_packer_init(&packer, &buffer, buffer_write);
	msgpack_pack_array(&packer, CURSOR_FIELDS);
	msgpack_pack_uint8(&packer, CURSOR_VERSION);
	msgpack_pack_bin(&packer, GC_REQUEST_ID_LEN);
	msgpack_pack_bin_body(&packer, cursor->request, GC_REQUEST_ID_LEN);
	pack_string(&packer, cursor->engine);
	pack_string(&packer, cursor->run);
	msgpack_pack_uint32(&packer, cursor->attempt);
	msgpack_pack_uint64(&packer, cursor->offset);
	msgpack_pack_uint64(&packer, cursor->hash);
	compute_mac(key, buffer.data, buffer.len, buffer.data + buffer.len);
	buffer.len += MAC_LEN;
	size = sodium_base64_encoded_len(buffer.len, BASE64_VARIANT);
	text = talloc_array(mem, char, size);
	sodium_bin2base64(text, size, buffer.data, buffer.len, BASE64_VARIANT);
	return text;
}

static bool is_uint_up_to(const msgpack_object *o, uint64_t max)
{
	return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= max;
}

static bool read_string(const msgpack_object *o, char *out, size_t size)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size)
		return false;
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return true;
}

static bool read_fields(const msgpack_object *o, gc_cursor_t *cursor)
{
	const msgpack_object *field;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != CURSOR_FIELDS)
		return false;
	field = o->via.array.ptr;
	if (!is_uint_up_to(&field[0], UINT8_MAX) ||
	    field[0].via.u64 != CURSOR_VERSION)
		return false;
	if (field[1].type != MSGPACK_OBJECT_BIN ||
	    field[1].via.bin.size != GC_REQUEST_ID_LEN)
		return false;
	memcpy(cursor->request, field[1].via.bin.ptr, GC_REQUEST_ID_LEN);
	if (!read_string(&field[2], cursor->engine, sizeof(cursor->engine)) ||
	    !read_string(&field[3], cursor->run, sizeof(cursor->run)))
		return false;
	if (!is_uint_up_to(&field[4], UINT32_MAX) ||
	    !is_uint_up_to(&field[5], UINT64_MAX) ||
	    !is_uint_up_to(&field[6], UINT64_MAX))
		return false;
	cursor->attempt = field[4].via.u64;
	cursor->offset = field[5].via.u64;
	cursor->hash = field[6].via.u64;
	return true;
}

static bool decode_body(const uint8_t *body, size_t len, gc_cursor_t *cursor)
{
	msgpack_unpacked unpacked;
	size_t end = 0;
	bool ok;

	msgpack_unpacked_init(&unpacked);
	ok = msgpack_unpack_next(&unpacked, (const char *)body, len, &end) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     end == len && read_fields(&unpacked.data, cursor);
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}

bool gc_cursor_decode(const uint8_t key[GC_FLEET_KEY_LEN], gc_str_t text,
		      gc_cursor_t *cursor, GError **err)
{
	uint8_t bytes[CURSOR_MAX_BYTES];
	uint8_t mac[MAC_LEN];
	size_t len = 0;

	memset(cursor, 0, sizeof(*cursor));
	if (text.len >= ENCODED_MAX_CHARS ||
	    sodium_base642bin(bytes, sizeof(bytes), text.data, text.len, NULL,
			      &len, NULL, BASE64_VARIANT) != 0 ||
	    len <= MAC_LEN) {
		gc_error_set(err, GC_ERR_INVALID, "cursor", NULL,
			     "malformed cursor");
		return false;
	}
	len -= MAC_LEN;
	compute_mac(key, bytes, len, mac);
	if (sodium_memcmp(mac, bytes + len, MAC_LEN) != 0) {
		gc_error_set(err, GC_ERR_INVALID, "cursor", NULL,
			     "cursor not signed with the fleet key");
		return false;
	}
	if (!decode_body(bytes, len, cursor)) {
		gc_error_set(err, GC_ERR_INVALID, "cursor", NULL,
			     "unknown cursor version or fields");
		return false;
	}
	return true;
}

/* Checks addresses that other programs have written. */
#include <arpa/inet.h>
#include <stdint.h>

#include <glib.h>

#include "core/address.h"

/* "255.255.255.255:65535" */
#define MAX_ADDRESS_BYTES 21
/* In host byte order. */
#define FIRST_MULTICAST 0xe0000000U

bool gc_address_is_host_port(gc_str_t address)
{
	char text[MAX_ADDRESS_BYTES + 1];
	char *colon;
	struct in_addr ip;

	if (address.len > MAX_ADDRESS_BYTES ||
	    (address.len > 0 && memchr(address.data, '\0', address.len)))
		return false;
	memcpy(text, address.data, address.len);
	text[address.len] = '\0';
	colon = strchr(text, ':');
	if (!colon || !g_ascii_isdigit(colon[1]) || colon[1] == '0')
		return false;
	*colon = '\0';
	/* Addresses from FIRST_MULTICAST on, and 0.0.0.0, name no single host. */
	return g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX, NULL,
					  NULL) &&
	       inet_pton(AF_INET, text, &ip) == 1 && ip.s_addr != INADDR_ANY &&
	       ntohl(ip.s_addr) < FIRST_MULTICAST;
}

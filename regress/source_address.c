/*
 * Preloaded library: opens connections from the address in SOURCE_ADDRESS, for
 * builds that have no setting for it.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>

#define IP_BIND_ADDRESS_NO_PORT 24

int connect(int fd, const struct sockaddr *address, socklen_t len)
{
	int (*next)(int, const struct sockaddr *, socklen_t) =
		dlsym(RTLD_NEXT, "connect");
	const char *text = getenv("SOURCE_ADDRESS");
	struct sockaddr_in source = {.sin_family = AF_INET};
	int on = 1;

	if (text && address->sa_family == AF_INET &&
	    inet_pton(AF_INET, text, &source.sin_addr) == 1) {
		setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on,
			   sizeof(on));
		if (bind(fd, (const struct sockaddr *)&source,
			 sizeof(source)) != 0)
			return -1;
	}
	return next(fd, address, len);
}

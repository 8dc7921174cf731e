/*
 * Verifies the tokens of the stand-in engine on standard input, one per line:
 * each must end in the hash of all before it, starting with the prompt, which
 * is the only argument. Prints "whole N" for N tokens, or the first wrong one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

int main(int argc, char **argv)
{
	char *line = NULL;
	size_t size = 0;
	size_t n = 0;
	ssize_t len;
	uint64_t hash;

	if (argc != 2)
		return EXIT_FAILURE;
	hash = XXH64(argv[1], strlen(argv[1]), 0);
	while ((len = getline(&line, &size, stdin)) > 0) {
		char expected[16];

		if (line[len - 1] == '\n')
			line[--len] = '\0';
		snprintf(expected, sizeof(expected), ":%08x ", (uint32_t)hash);
		if (len < 10 || strcmp(line + len - 10, expected) != 0) {
			printf("wrong hash at token %zu: %s\n", n, line);
			free(line);
			return EXIT_FAILURE;
		}
		hash = XXH64(line, len, hash);
		n++;
	}
	printf("whole %zu\n", n);
	free(line);
	return EXIT_SUCCESS;
}

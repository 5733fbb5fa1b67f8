/* Sends a process's connections to linked endpoints through the relay; preloaded (ld.so(8)) by tools/soak.
 *
 * CAIRNHOLLOW_LINKS lists loopback endpoints, ADDRESS:PORT separated by commas. A connection to one of them goes to
 * the port LINK_PORT_OFFSET above it, where the relay listens, and comes from CAIRNHOLLOW_LINK_ADDRESS, which tells the
 * relay who connects. Everything else is left as it is.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LINK_PORT_OFFSET 10000
#define LONGEST_ENDPOINT 32

static int is_linked(const struct sockaddr_in *to) {
  char address[INET_ADDRSTRLEN];
  char wanted[LONGEST_ENDPOINT];
  const char *links = getenv("CAIRNHOLLOW_LINKS");
  if (links == NULL || inet_ntop(AF_INET, &to->sin_addr, address, sizeof address) == NULL) return 0;
  const size_t length = (size_t)snprintf(wanted, sizeof wanted, "%s:%u", address, ntohs(to->sin_port));
  for (const char *at = strstr(links, wanted); at != NULL; at = strstr(at + 1, wanted)) {
    const int begins = at == links || at[-1] == ',';
    const int ends = at[length] == ',' || at[length] == '\0';
    if (begins && ends) return 1;
  }
  return 0;
}

static void bind_own_address(int descriptor) {
  struct sockaddr_in own;
  const int on = 1;
  const char *address = getenv("CAIRNHOLLOW_LINK_ADDRESS");
  memset(&own, 0, sizeof own);
  own.sin_family = AF_INET;
  if (address == NULL || inet_pton(AF_INET, address, &own.sin_addr) != 1) return;
  setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
  bind(descriptor, (struct sockaddr *)&own, sizeof own);
}

int connect(int descriptor, const struct sockaddr *to, socklen_t length) {
  static int (*next)(int, const struct sockaddr *, socklen_t);
  struct sockaddr_in linked;
  if (next == NULL) *(void **)&next = dlsym(RTLD_NEXT, "connect");
  if (to == NULL || to->sa_family != AF_INET || length < sizeof linked) return next(descriptor, to, length);
  memcpy(&linked, to, sizeof linked);
  if (!is_linked(&linked)) return next(descriptor, to, length);
  bind_own_address(descriptor);
  linked.sin_port = htons((unsigned short)(ntohs(linked.sin_port) + LINK_PORT_OFFSET));
  return next(descriptor, (struct sockaddr *)&linked, sizeof linked);
}

/* Library that is preloaded into a proxy to step its wall clock, make its system calls fail and limit the
 * size of its transfers.
 *
 * The test harness writes a control block into a shared file (FAULT_CONTROL), in the layout that
 * faults/shim.py describes. Only the process that loads this library is affected. The monotonic clock never
 * changes.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#ifndef SO_TIMESTAMPNS
#define SO_TIMESTAMPNS 35
#endif

#define NS_PER_S 1000000000LL
#define ENGINE_NETWORK 0x7f0001u /* 127.0.1.0/24, where the stub engines listen */

enum call {
    CALL_ACCEPT,
    CALL_SOCKET,
    CALL_CONNECT,
    CALL_RECEIVE,
    CALL_SEND,
    CALL_WAIT,
    CALL_SHORT, /* limits the size of transfers instead of making them fail */
    CALL_COUNT
};

struct fault {
    int32_t value;     /* errno, or for CALL_SHORT the largest size of a transfer in bytes */
    int32_t remaining; /* number of calls still to be affected */
    int64_t injected;  /* number of calls affected so far */
};

struct control {
    int64_t wall_offset_ns;
    int64_t previous_offset_ns;
    int64_t stepped_at_ns; /* true wall time of the latest step */
    struct fault faults[CALL_COUNT];
};

static struct control *control;

__attribute__((constructor)) static void map_control(void)
{
    const char *path = getenv("FAULT_CONTROL");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0)
        return;
    void *mapped = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED)
        control = mapped;
}

/* The function of the C library that this library's function of the same name replaces. */
#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

/* Consumes one pending fault of a kind. Returns its value, or 0 if none is pending. */
static int consume_fault(enum call call)
{
    if (!control)
        return 0;
    struct fault *fault = &control->faults[call];
    if (__atomic_load_n(&fault->remaining, __ATOMIC_RELAXED) <= 0)
        return 0;
    if (__atomic_fetch_sub(&fault->remaining, 1, __ATOMIC_RELAXED) <= 0)
        return 0;
    __atomic_fetch_add(&fault->injected, 1, __ATOMIC_RELAXED);
    return fault->value;
}

static int64_t read_wall_offset_ns(void)
{
    return control ? __atomic_load_n(&control->wall_offset_ns, __ATOMIC_RELAXED) : 0;
}

static void add_offset(struct timespec *time, int64_t offset_ns)
{
    int64_t ns = (int64_t)time->tv_sec * NS_PER_S + time->tv_nsec + offset_ns;
    time->tv_sec = ns / NS_PER_S;
    time->tv_nsec = ns % NS_PER_S;
}

static int is_engine_connection(int fd)
{
    struct sockaddr_in peer;
    socklen_t size = sizeof peer;
    if (getpeername(fd, (struct sockaddr *)&peer, &size) != 0 || peer.sin_family != AF_INET)
        return 0;
    return ntohl(peer.sin_addr.s_addr) >> 8 == ENGINE_NETWORK;
}

int clock_gettime(clockid_t id, struct timespec *time)
{
    int result = REAL(clock_gettime)(id, time);
    if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE))
        add_offset(time, read_wall_offset_ns());
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone)
{
    (void)zone;
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *result)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result)
        *result = now.tv_sec;
    return now.tv_sec;
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags)
{
    int error_number = consume_fault(CALL_ACCEPT);
    if (error_number) {
        errno = error_number;
        return -1;
    }
    return REAL(accept4)(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *size)
{
    return accept4(fd, address, size, 0);
}

int socket(int domain, int type, int protocol)
{
    int error_number = domain == AF_INET ? consume_fault(CALL_SOCKET) : 0;
    if (error_number) {
        errno = error_number;
        return -1;
    }
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    int error_number = address->sa_family == AF_INET ? consume_fault(CALL_CONNECT) : 0;
    if (error_number) {
        errno = error_number;
        return -1;
    }
    return REAL(connect)(fd, address, size);
}

/* If a fault is pending and fd is a connection to an engine, shuts the connection down and sets errno to the
 * fault's value, as if the kernel had given the connection up, and returns 1. Otherwise returns 0. */
static int break_connection(int fd, enum call call)
{
    if (!control || control->faults[call].remaining <= 0 || !is_engine_connection(fd))
        return 0;
    int error_number = consume_fault(call);
    if (!error_number)
        return 0;
    shutdown(fd, SHUT_RDWR);
    errno = error_number;
    return 1;
}

/* Consumes a pending limit on the size of a transfer; a transfer of one byte cannot be shortened. */
static size_t limit_transfer_size(size_t size)
{
    int max_size = size > 1 ? consume_fault(CALL_SHORT) : 0;
    return max_size > 0 && (size_t)max_size < size ? (size_t)max_size : size;
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    if (break_connection(fd, CALL_RECEIVE))
        return -1;
    return REAL(recv)(fd, data, limit_transfer_size(size), flags);
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    if (break_connection(fd, CALL_SEND))
        return -1;
    return REAL(send)(fd, data, limit_transfer_size(size), flags);
}

/* Also adds the wall clock offset to the kernel's receive timestamps. Data that arrived before the latest
 * step gets the offset from before that step. */
ssize_t recvmsg(int fd, struct msghdr *message, int flags)
{
    size_t size = message->msg_iovlen == 1 ? message->msg_iov[0].iov_len : 0;
    if (size)
        message->msg_iov[0].iov_len = limit_transfer_size(size);
    ssize_t result = REAL(recvmsg)(fd, message, flags);
    if (size)
        message->msg_iov[0].iov_len = size;
    if (result < 0 || !control)
        return result;
    for (struct cmsghdr *header = CMSG_FIRSTHDR(message); header; header = CMSG_NXTHDR(message, header)) {
        if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SO_TIMESTAMPNS)
            continue;
        struct timespec timestamp;
        memcpy(&timestamp, CMSG_DATA(header), sizeof timestamp);
        int64_t true_ns = (int64_t)timestamp.tv_sec * NS_PER_S + timestamp.tv_nsec;
        add_offset(&timestamp,
                   true_ns < control->stepped_at_ns ? control->previous_offset_ns : control->wall_offset_ns);
        memcpy(CMSG_DATA(header), &timestamp, sizeof timestamp);
    }
    return result;
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout)
{
    int error_number = consume_fault(CALL_WAIT);
    if (error_number) {
        errno = error_number;
        return -1;
    }
    return REAL(epoll_wait)(fd, events, max_events, timeout);
}

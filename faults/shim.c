/* Preloaded into a proxy: steps its wall clock and makes its system calls fail or come up short.
 *
 * The driver writes a control block into a shared file (FAULT_CONTROL); the layout is that of faults/shim.py.
 * Only the process that loads this library is affected. The monotonic clock is never touched.
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
#define SERVER_NETWORK 0x7f0001u /* 127.0.1.0/24: where stand-in servers listen */

enum call { CALL_ACCEPT, CALL_SOCKET, CALL_CONNECT, CALL_RECEIVE, CALL_SEND, CALL_WAIT, CALL_SHORT, CALLS };

struct fault {
    int32_t value;     /* errno, or for CALL_SHORT the most bytes of a transfer */
    int32_t remaining; /* calls still to be affected */
    int64_t injected;  /* calls affected so far */
};

struct control {
    int64_t wall_offset_ns;
    int64_t previous_offset_ns;
    int64_t stepped_at_ns; /* true wall time of the newest step */
    struct fault faults[CALLS];
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

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

/* Uses up one failure of a kind; returns its value, or 0 where none is due. */
static int take_fault(enum call call)
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

static int64_t wall_offset(void)
{
    return control ? __atomic_load_n(&control->wall_offset_ns, __ATOMIC_RELAXED) : 0;
}

static void shift(struct timespec *time, int64_t offset_ns)
{
    int64_t ns = (int64_t)time->tv_sec * NS_PER_S + time->tv_nsec + offset_ns;
    time->tv_sec = ns / NS_PER_S;
    time->tv_nsec = ns % NS_PER_S;
}

static int leads_to_server(int fd)
{
    struct sockaddr_in peer;
    socklen_t size = sizeof peer;
    if (getpeername(fd, (struct sockaddr *)&peer, &size) != 0 || peer.sin_family != AF_INET)
        return 0;
    return ntohl(peer.sin_addr.s_addr) >> 8 == SERVER_NETWORK;
}

int clock_gettime(clockid_t id, struct timespec *time)
{
    int result = REAL(clock_gettime)(id, time);
    if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE))
        shift(time, wall_offset());
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
    int failure = take_fault(CALL_ACCEPT);
    if (failure) {
        errno = failure;
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
    int failure = domain == AF_INET ? take_fault(CALL_SOCKET) : 0;
    if (failure) {
        errno = failure;
        return -1;
    }
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    int failure = address->sa_family == AF_INET ? take_fault(CALL_CONNECT) : 0;
    if (failure) {
        errno = failure;
        return -1;
    }
    return REAL(connect)(fd, address, size);
}

/* A connection that the kernel gave up: it is really broken, and says so with the errno asked for. */
static int broken(int fd, enum call call)
{
    if (!control || control->faults[call].remaining <= 0 || !leads_to_server(fd))
        return 0;
    int failure = take_fault(call);
    if (!failure)
        return 0;
    shutdown(fd, SHUT_RDWR);
    errno = failure;
    return 1;
}

static size_t shortened(size_t size)
{
    int most = size > 1 ? take_fault(CALL_SHORT) : 0;
    return most > 0 && (size_t)most < size ? (size_t)most : size;
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    if (broken(fd, CALL_RECEIVE))
        return -1;
    return REAL(recv)(fd, data, shortened(size), flags);
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    if (broken(fd, CALL_SEND))
        return -1;
    return REAL(send)(fd, data, shortened(size), flags);
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags)
{
    size_t size = message->msg_iovlen == 1 ? message->msg_iov[0].iov_len : 0;
    if (size)
        message->msg_iov[0].iov_len = shortened(size);
    ssize_t result = REAL(recvmsg)(fd, message, flags);
    if (size)
        message->msg_iov[0].iov_len = size;
    if (result < 0 || !control)
        return result;
    for (struct cmsghdr *part = CMSG_FIRSTHDR(message); part; part = CMSG_NXTHDR(message, part)) {
        if (part->cmsg_level != SOL_SOCKET || part->cmsg_type != SO_TIMESTAMPNS)
            continue;
        struct timespec stamp;
        memcpy(&stamp, CMSG_DATA(part), sizeof stamp);
        int64_t true_ns = (int64_t)stamp.tv_sec * NS_PER_S + stamp.tv_nsec;
        shift(&stamp, true_ns < control->stepped_at_ns ? control->previous_offset_ns : control->wall_offset_ns);
        memcpy(CMSG_DATA(part), &stamp, sizeof stamp);
    }
    return result;
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout)
{
    int failure = take_fault(CALL_WAIT);
    if (failure) {
        errno = failure;
        return -1;
    }
    return REAL(epoll_wait)(fd, events, most, timeout);
}

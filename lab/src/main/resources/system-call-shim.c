/*
 * Makes system calls of one process fail, transfer fewer bytes or take long, in ways that the Linux manual pages
 * document. The library is loaded by LD_PRELOAD. SHIM_CONTROL names a file of 64-bit words, which the controlling
 * process maps too: it writes which calls are to fail and how often, in thousandths of the calls, and the library
 * counts the failed calls. Random numbers are derived from the seed in the file, so that they do not depend on time;
 * all threads share one sequence.
 *
 * Only calls on TCP sockets, epoll_wait and readings of the wall clock are affected.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The order is that of SystemCallShim.Field. */
enum field {
    SEED,
    ACCEPT_ERRNO, ACCEPT_RATE, ACCEPT_DONE,
    SOCKET_ERRNO, SOCKET_RATE, SOCKET_DONE,
    CONNECT_ERRNO, CONNECT_RATE, CONNECT_DONE,
    TRANSFER_ERRNO, TRANSFER_RATE, TRANSFER_DONE,
    SHORT_RATE, SHORT_DONE,
    INTERRUPT_RATE, INTERRUPT_DONE,
    HOLD_MICROSECONDS, HOLD_RATE, HOLD_DONE,
    WALL_CLOCK_MICROSECONDS,
    FIELDS
};

static _Atomic int64_t *control;
static _Atomic uint64_t draws;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("SHIM_CONTROL");
    int file = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
    if (file < 0) {
        return;
    }
    void *mapped = mmap(NULL, FIELDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED) {
        control = mapped;
    }
}

/* Returns the next random number: splitmix64 of the seed and the count of the numbers before. */
static uint64_t draw(void) {
    uint64_t z = (uint64_t) atomic_load(&control[SEED]) + atomic_fetch_add(&draws, 1) * 0x9e3779b97f4a7c15ULL;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

/*
 * Returns whether this call is to fail, and counts it in DONE if so. RATE is in thousandths of the calls. If it is
 * negative, that many calls in a row fail, and then none.
 */
static int fails(enum field rate, enum field done) {
    if (control == NULL) {
        return 0;
    }
    int64_t thousandths = atomic_load(&control[rate]);
    while (thousandths < 0) {
        if (atomic_compare_exchange_weak(&control[rate], &thousandths, thousandths + 1)) {
            atomic_fetch_add(&control[done], 1);
            return 1;
        }
    }
    if (thousandths <= 0 || (int64_t) (draw() % 1000) >= thousandths) {
        return 0;
    }
    atomic_fetch_add(&control[done], 1);
    return 1;
}

static int is_tcp(int descriptor) {
    int type = 0;
    socklen_t length = sizeof type;
    return control != NULL && getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
}

static int refuse(enum field number) {
    errno = (int) atomic_load(&control[number]);
    return -1;
}

#define REAL(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))

int accept(int descriptor, struct sockaddr *address, socklen_t *length) {
    if (fails(ACCEPT_RATE, ACCEPT_DONE)) {
        return refuse(ACCEPT_ERRNO);
    }
    return REAL(accept)(descriptor, address, length);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
    if (fails(ACCEPT_RATE, ACCEPT_DONE)) {
        return refuse(ACCEPT_ERRNO);
    }
    return REAL(accept4)(descriptor, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    if ((domain == AF_INET || domain == AF_INET6) && (type & SOCK_STREAM) && fails(SOCKET_RATE, SOCKET_DONE)) {
        return refuse(SOCKET_ERRNO);
    }
    return REAL(socket)(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    if (address->sa_family != AF_UNIX && fails(CONNECT_RATE, CONNECT_DONE)) {
        return refuse(CONNECT_ERRNO);
    }
    return REAL(connect)(descriptor, address, length);
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout) {
    if (timeout != 0 && fails(INTERRUPT_RATE, INTERRUPT_DONE)) {
        errno = EINTR;
        return -1;
    }
    return REAL(epoll_wait)(descriptor, events, most, timeout);
}

/* Common to all reads and writes: returns 0 if the call is to be made, or -1 with errno set if it is to fail. */
static int disturb(int descriptor, int *shortened) {
    *shortened = 0;
    if (!is_tcp(descriptor)) {
        return 0;
    }
    if (fails(INTERRUPT_RATE, INTERRUPT_DONE)) {
        errno = EINTR;
        return -1;
    }
    if (fails(TRANSFER_RATE, TRANSFER_DONE)) {
        return refuse(TRANSFER_ERRNO);
    }
    *shortened = fails(SHORT_RATE, SHORT_DONE);
    return 0;
}

static void hold(int descriptor) {
    if (is_tcp(descriptor) && fails(HOLD_RATE, HOLD_DONE)) {
        int64_t microseconds = atomic_load(&control[HOLD_MICROSECONDS]);
        struct timespec time = {microseconds / 1000000, microseconds % 1000000 * 1000};
        nanosleep(&time, NULL);
    }
}

ssize_t read(int descriptor, void *bytes, size_t count) {
    int shortened;
    if (disturb(descriptor, &shortened) < 0) {
        return -1;
    }
    return REAL(read)(descriptor, bytes, shortened && count > 1 ? 1 : count);
}

ssize_t write(int descriptor, const void *bytes, size_t count) {
    int shortened;
    hold(descriptor);
    if (disturb(descriptor, &shortened) < 0) {
        return -1;
    }
    return REAL(write)(descriptor, bytes, shortened && count > 1 ? 1 : count);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    int shortened;
    hold(descriptor);
    if (disturb(descriptor, &shortened) < 0) {
        return -1;
    }
    if (!shortened || parts[0].iov_len == 0) {
        return REAL(writev)(descriptor, parts, count);
    }
    return REAL(write)(descriptor, parts[0].iov_base, 1);
}

static int64_t wall_clock_step(void) {
    return control == NULL ? 0 : atomic_load(&control[WALL_CLOCK_MICROSECONDS]);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL(clock_gettime)(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && wall_clock_step() != 0) {
        int64_t nanoseconds = time->tv_nsec + wall_clock_step() % 1000000 * 1000;
        time->tv_sec += wall_clock_step() / 1000000 + nanoseconds / 1000000000;
        time->tv_nsec = nanoseconds % 1000000000;
        if (time->tv_nsec < 0) {
            time->tv_nsec += 1000000000;
            time->tv_sec--;
        }
    }
    return result;
}

int gettimeofday(struct timeval *time, void *zone) {
    int result = REAL(gettimeofday)(time, zone);
    time->tv_sec += wall_clock_step() / 1000000;
    return result;
}

/* Makes system calls of one process fail with errors that Linux documents for them, and shifts its wall clock.
 *
 * Preloaded into a relay by `gannetweir lab soak`. GANNETWEIR_SHIM names a file with the failure rates, which the
 * soak maps and changes while the relay runs. GANNETWEIR_SHIM_SEED seeds the sequence of failures. A failing call
 * has no effect, except that short reads and writes transfer some of the bytes.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, SEND, RECV, SHORT, WAIT, DISK, WATCH, BROKEN, CALLS };

struct control {
    int64_t wall_offset_ns;
    uint32_t per_mille[CALLS];
    uint32_t failed[CALLS]; /* incremented here, read by the soak */
};

static struct control *control;
static uint64_t state;

__attribute__((constructor)) static void start(void) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); /* no relay outlives a soak that is killed */
    const char *path = getenv("GANNETWEIR_SHIM"), *seed = getenv("GANNETWEIR_SHIM_SEED");
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int fd = path ? real_open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0) return;
    void *at = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (at == MAP_FAILED) return;
    state = (seed ? strtoull(seed, NULL, 10) : 1) * 0x9E3779B97F4A7C15u | 1;
    control = at;
}

static uint32_t draw(uint32_t below) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (uint32_t)(state >> 32) % below;
}

static int hit(enum call call) {
    if (!control || !control->per_mille[call] || draw(1000) >= control->per_mille[call]) return 0;
    control->failed[call]++;
    return 1;
}

#define FAIL_WITH(...)                                               \
    do {                                                             \
        static const int errors[] = {__VA_ARGS__};                   \
        errno = errors[draw(sizeof errors / sizeof errors[0])];      \
        return -1;                                                   \
    } while (0)

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static __typeof__(&accept4) real;
    if (!real) real = REAL(accept4);
    if (hit(ACCEPT)) FAIL_WITH(ECONNABORTED, ENFILE, ENOBUFS, EPROTO, ENOMEM, EINTR);
    return real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static __typeof__(&socket) real;
    if (!real) real = REAL(socket);
    if (hit(SOCKET)) FAIL_WITH(ENFILE, ENOBUFS, ENOMEM);
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static __typeof__(&connect) real;
    if (!real) real = REAL(connect);
    if (hit(CONNECT)) FAIL_WITH(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS);
    return real(fd, address, length);
}

ssize_t send(int fd, const void *data, size_t size, int flags) {
    static __typeof__(&send) real;
    if (!real) real = REAL(send);
    if (hit(SEND)) FAIL_WITH(ENOBUFS, ENOMEM, EAGAIN, EINTR);
    if (size > 1 && hit(SHORT)) size = 1 + draw((uint32_t)size - 1);
    return real(fd, data, size, flags);
}

/* Returns whether the relay opened this connection: the kernel then chose the local port, from 32768 on. */
static int to_backend(int fd) {
    struct sockaddr_in own;
    socklen_t length = sizeof own;
    if (!control || !control->per_mille[BROKEN] || getsockname(fd, (struct sockaddr *)&own, &length)) return 0;
    return own.sin_family == AF_INET && ntohs(own.sin_port) >= 32768;
}

/* Ends a connection as a failing network does: this read returns an error, and the peer sees a reset. */
static int break_connection(int fd) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    struct sockaddr nothing = {.sa_family = AF_UNSPEC};
    __typeof__(&connect) real = REAL(connect);
    real(fd, &nothing, sizeof nothing);
    errno = errors[draw(3)];
    return -1;
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    static __typeof__(&recv) real;
    if (!real) real = REAL(recv);
    if (hit(RECV)) FAIL_WITH(EAGAIN, ENOMEM, EINTR);
    if (to_backend(fd) && hit(BROKEN)) return break_connection(fd);
    if (size > 1 && !(flags & MSG_PEEK) && hit(SHORT)) size = 1 + draw(size < 64 ? (uint32_t)size - 1 : 63);
    return real(fd, data, size, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    static __typeof__(&epoll_wait) real;
    if (!real) real = REAL(epoll_wait);
    if (hit(WAIT)) FAIL_WITH(EINTR);
    return real(fd, events, most, timeout);
}

int epoll_ctl(int fd, int operation, int target, struct epoll_event *event) {
    static __typeof__(&epoll_ctl) real;
    if (!real) real = REAL(epoll_ctl);
    if (operation == EPOLL_CTL_ADD && hit(WATCH)) FAIL_WITH(ENOMEM, ENOSPC);
    return real(fd, operation, target, event);
}

int flock(int fd, int operation) {
    static __typeof__(&flock) real;
    if (!real) real = REAL(flock);
    if (hit(DISK)) FAIL_WITH(ENOLCK);
    return real(fd, operation);
}

static int is_file(int fd) {
    struct stat about;
    return !fstat(fd, &about) && S_ISREG(about.st_mode);
}

ssize_t write(int fd, const void *data, size_t size) {
    static __typeof__(&write) real;
    if (!real) real = REAL(write);
    if (control && control->per_mille[DISK] && is_file(fd) && hit(DISK)) FAIL_WITH(ENOSPC, EIO);
    return real(fd, data, size);
}

int fsync(int fd) {
    static __typeof__(&fsync) real;
    if (!real) real = REAL(fsync);
    if (hit(DISK)) FAIL_WITH(ENOSPC, EIO);
    return real(fd);
}

int rename(const char *from, const char *to) {
    static __typeof__(&rename) real;
    if (!real) real = REAL(rename);
    if (hit(DISK)) FAIL_WITH(ENOSPC, EIO);
    return real(from, to);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static __typeof__(&clock_gettime) real;
    if (!real) real = REAL(clock_gettime);
    int result = real(clock, now);
    if (!result && control && clock == CLOCK_REALTIME && control->wall_offset_ns) {
        int64_t all = (int64_t)now->tv_sec * 1000000000 + now->tv_nsec + control->wall_offset_ns;
        now->tv_sec = all / 1000000000;
        now->tv_nsec = all % 1000000000;
    }
    return result;
}

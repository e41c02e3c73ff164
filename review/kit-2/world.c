/* Time, the record, the settings, the controllers' processes and the users. */
#define _GNU_SOURCE
#include "internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Values of the operators' pages, "Pine Bluff" and "Sapporo" of the brief and their site files. */
const site PINEBLUFF = {
    .site = "pinebluff-simlib",
    .area = "memphis-hall",
    .nodes = 3,
    .report_s = 3,
    .lease_s = 32,
    .cancel_s = 62,
    .rps = 150,
    .write_rps = 30,
    .value_kb = 16,
    .txn_ops = 24,
    .cloud_rps = 10,
    .list_lag_s = 6,
    .cpu = 0.064,
    .ram_mb = 136,
    .max_connections = 3000,
    .restart_s = 6,
    .team_count = 6,
    .teams = {{"polymer-lab", 80, 192},
              {"catalysis-lab", 96, 360},
              {"solvent-lab", 64, 192},
              {"library-curation", 120, 240},
              {"client-services", 48, 144},
              {"reliability-desk", 72, 144}},
    .type_count = 2,
    .types = {{"bench-node", 16, 32, 0.96, 0.29, 50, 0.2, 3, 14, 0}, {"hall-node", 32, 256, 2.65, 0.87, 25, 1.0, 4, 7, 0}},
};
const site SAPPORO = {
    .site = "sapporo-quotes",
    .area = "sapporo-east",
    .nodes = 3,
    .report_s = 3,
    .lease_s = 27,
    .cancel_s = 47,
    .rps = 120,
    .write_rps = 25,
    .value_kb = 8,
    .txn_ops = 12,
    .cloud_rps = 5,
    .list_lag_s = 8,
    .cpu = 0.08,
    .ram_mb = 200,
    .max_connections = 3000,
    .restart_s = 3,
    .team_count = 3,
    .teams = {{"pricing", 0, 0}, {"sales-ops", 0, 0}, {"platform", 0, 0}},
    .type_count = 2,
    .types = {{"kita-box", 32, 64, 1.18, 0.26, 30, 0.8, 2, 18, 2}, {"yuki-box", 64, 256, 2.58, 0.62, 50, 0.6, 1, 7, 1}},
};

/* --- time, record --- */

static struct timespec began;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

double now_s(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    if (!began.tv_sec)
        began = t;
    return (double)(t.tv_sec - began.tv_sec) + (double)(t.tv_nsec - began.tv_nsec) / 1e9;
}

void sleep_s(double seconds)
{
    if (seconds > 0)
        usleep((useconds_t)(seconds * 1e6));
}

void rec(const char *format, ...)
{
    va_list args;
    pthread_mutex_lock(&record_lock);
    if (!record) {
        const char *path = getenv("RECORD");
        record = fopen(path ? path : "record.txt", "w");
        if (!record) {
            perror("record.txt");
            exit(2);
        }
        setvbuf(record, NULL, _IOLBF, 0);
    }
    fprintf(record, "%8.3f ", now_s());
    va_start(args, format);
    vfprintf(record, format, args);
    va_end(args);
    fputc('\n', record);
    pthread_mutex_unlock(&record_lock);
}

bool trouble_on(void)
{
    const char *text = getenv("TROUBLE");
    return !text || strcmp(text, "0") != 0;
}

/* --- controllers --- */

static site settings;
static char folder[64];
static struct {
    int listen, back;
    pid_t pid;
} nodes[NODES_MAX];

const site *world_site(void)
{
    return &settings;
}

/* A port below those that the system gives to outgoing connections, so that none of them takes it before the controller. */
static int free_port(void)
{
    static unsigned next;
    if (!next)
        next = (unsigned)getpid() * 37 + (unsigned)time(NULL);
    for (int i = 0; i < 1000; i++) {
        int port = 12000 + (int)(next++ * 7 % 18000), one = 1;
        struct sockaddr_in at = {
            .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK), .sin_port = htons((uint16_t)port)};
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        bool is_free = fd >= 0 && bind(fd, (struct sockaddr *)&at, sizeof at) == 0 && listen(fd, 1) == 0;
        close(fd);
        if (is_free)
            return port;
    }
    fprintf(stderr, "no free port\n");
    exit(2);
}

static void write_settings(unsigned node, int state_port, int cloud_port)
{
    char path[128];
    snprintf(path, sizeof path, "%s/node-%u.toml", folder, node);
    FILE *f = fopen(path, "w");
    if (!f) {
        perror(path);
        exit(2);
    }
    fprintf(f, "node_name = \"valvehost-%u\"\narea = \"%s\"\nlisten = \"127.0.0.1:%d\"\nback = \"127.0.0.1:%d\"\n", node,
            settings.area, nodes[node].listen, nodes[node].back);
    for (unsigned i = 0; i < settings.nodes; i++)
        if (i != node)
            fprintf(f, "\n[[siblings]]\nnode_name = \"valvehost-%u\"\narea = \"%s\"\naddress = \"127.0.0.1:%d\"\n", i,
                    settings.area, nodes[i].back);
    fprintf(f, "\n[outside]\ncloud = \"127.0.0.1:%d\"\nstate = \"127.0.0.1:%d\"\n", cloud_port, state_port);
    fprintf(f, "\n[settings]\ncount = %u\nzones = [\"%s\"]\nclock_off_ms = 1000.0\n", settings.nodes, settings.area);
    for (unsigned i = 0; i < settings.team_count; i++)
        fprintf(f, "\n[[settings.teams]]\nname = \"%s\"\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n",
                settings.teams[i].name, settings.teams[i].cpus, settings.teams[i].cpus_max);
    fprintf(f, "\n[[settings.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.94\n");
    fprintf(f,
            "\n[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = %.1f\n",
            settings.report_s, settings.lease_s, settings.cancel_s);
    fprintf(f, "\n[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %u\n", settings.rps,
            settings.write_rps, settings.value_kb, settings.txn_ops);
    fprintf(f, "\n[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", settings.cloud_rps, settings.list_lag_s);
    fprintf(f, "\n[settings.machine_limits]\ncpu = %.3f\nram_mb = %.1f\nmax_connections = %u\n", settings.cpu,
            settings.ram_mb, settings.max_connections);
    fclose(f);
}

/* A case that cannot run, or that `timeout` ends, leaves nothing behind either. */
static void on_signal(int number)
{
    (void)number;
    world_end();
    _exit(2);
}

void world_start(const site *chosen)
{
    int state_ports[NODES_MAX] = {0};
    settings = *chosen;
    now_s();
    signal(SIGPIPE, SIG_IGN);
    srand((unsigned)getpid());
    snprintf(folder, sizeof folder, "/tmp/review-case-XXXXXX");
    if (!mkdtemp(folder)) {
        perror("mkdtemp");
        exit(2);
    }
    atexit(world_end);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGHUP, on_signal);
    for (unsigned i = 0; i < settings.nodes; i++) {
        nodes[i].listen = free_port();
        nodes[i].back = free_port();
    }
    state_start(state_ports, settings.nodes);
    int cloud_port = cloud_start();
    for (unsigned i = 0; i < settings.nodes; i++)
        write_settings(i, state_ports[i], cloud_port);
    rec("settings of %s, %u controllers, trouble %s", settings.site, settings.nodes, trouble_on() ? "on" : "off");
}

/* Starts the controller with the `run` command of the deploy file, which the script passes in RUN. */
void ctl_start(unsigned node)
{
    char config[128], log[128], command[512];
    char *words[32];
    unsigned count = 0;
    const char *run = getenv("RUN");
    if (!run) {
        fprintf(stderr, "RUN is not set\n");
        exit(2);
    }
    snprintf(config, sizeof config, "%s/node-%u.toml", folder, node);
    snprintf(log, sizeof log, "%s/node-%u.log", getenv("LOGS") ? getenv("LOGS") : folder, node);
    snprintf(command, sizeof command, "%s", run);
    for (char *word = strtok(command, " "); word && count < 30; word = strtok(NULL, " "))
        words[count++] = word;
    words[count++] = config;
    words[count] = NULL;
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, 2);
        execv(words[0], words);
        _exit(127);
    }
    nodes[node].pid = pid;
    rec("valvehost-%u starts", node);
}

void ctl_kill(unsigned node)
{
    if (!nodes[node].pid)
        return;
    kill(nodes[node].pid, SIGKILL);
    waitpid(nodes[node].pid, NULL, 0);
    nodes[node].pid = 0;
    rec("valvehost-%u is killed", node);
}

void ctl_signal(unsigned node, int number)
{
    if (nodes[node].pid)
        kill(nodes[node].pid, number);
    rec("valvehost-%u gets signal %d", node, number);
}

bool ctl_running(unsigned node)
{
    int status;
    if (!nodes[node].pid)
        return false;
    if (waitpid(nodes[node].pid, &status, WNOHANG) != nodes[node].pid)
        return true;
    rec("valvehost-%u has ended by itself, wait status %d", node, status);
    nodes[node].pid = 0;
    return false;
}

pid_t ctl_pid(unsigned node)
{
    return nodes[node].pid;
}

int ctl_port(unsigned node)
{
    return nodes[node].listen;
}

double ctl_memory_mb(unsigned node)
{
    char path[64], line[128];
    double kb = 0;
    snprintf(path, sizeof path, "/proc/%d/status", (int)nodes[node].pid);
    FILE *f = nodes[node].pid ? fopen(path, "r") : NULL;
    while (f && fgets(line, sizeof line, f))
        if (sscanf(line, "RssAnon: %lf", &kb) == 1)
            break;
    if (f)
        fclose(f);
    return kb / 1024;
}

bool ctl_wait_healthy(double timeout_s)
{
    double until = now_s() + timeout_s;
    while (now_s() < until) {
        bool all = true;
        for (unsigned i = 0; i < settings.nodes; i++)
            if (nodes[i].pid && http_call(nodes[i].listen, "GET", "/healthz", NULL, 1.0, NULL) != 200)
                all = false;
        if (all)
            return true;
        sleep_s(0.2);
    }
    return false;
}

int ctl_leader(void)
{
    uint8_t data[512];
    size_t len = state_read("v/leader", data, sizeof data);
    val *v = len ? mp_parse(data, len) : NULL;
    int node = -1;
    if (v)
        sscanf(val_str(v, "node"), "valvehost-%d", &node);
    val_free(v);
    return node;
}

void world_end(void)
{
    char path[160];
    for (unsigned i = 0; i < settings.nodes; i++) {
        if (nodes[i].pid) {
            kill(nodes[i].pid, SIGKILL);
            waitpid(nodes[i].pid, NULL, 0);
            nodes[i].pid = 0;
        }
        snprintf(path, sizeof path, "%s/node-%u.toml", folder, i);
        unlink(path);
        snprintf(path, sizeof path, "%s/node-%u.log", folder, i);
        unlink(path);
    }
    rmdir(folder);
}

void state_key_changed(const char *key, const uint8_t *data, size_t len)
{
    (void)key;
    (void)data;
    (void)len;
}

/* --- users --- */

void write_job(buf *b, const job *j)
{
    mp_map(b, 20);
    mp_str(b, "id");
    mp_str(b, j->id);
    mp_str(b, "lane");
    mp_str(b, j->lane);
    mp_str(b, "crew");
    mp_str(b, j->crew);
    mp_str(b, "shape");
    mp_str(b, "batch");
    mp_str(b, "urgency");
    mp_str(b, j->urgency);
    mp_str(b, "pieces");
    mp_uint(b, j->pieces);
    mp_str(b, "cores");
    mp_num(b, j->cores);
    mp_str(b, "cards");
    mp_num(b, 0);
    mp_str(b, "ram_gb");
    mp_num(b, j->ram_gb);
    mp_str(b, "bundle");
    mp_str(b, j->bundle);
    mp_str(b, "pull_gb");
    mp_num(b, j->pull_gb);
    mp_str(b, "hulls");
    if (j->hull_count) {
        mp_list(b, j->hull_count);
        for (unsigned i = 0; i < j->hull_count; i++)
            mp_str(b, j->hulls[i]);
    } else {
        mp_nil(b);
    }
    mp_str(b, "yard");
    mp_nil(b);
    mp_str(b, "together");
    mp_bool(b, false);
    mp_str(b, "apart");
    mp_bool(b, false);
    mp_str(b, "loaners");
    mp_bool(b, j->loaners);
    mp_str(b, "guess_s");
    mp_num(b, j->guess_s);
    mp_str(b, "mark_every_s");
    mp_num(b, 0);
    mp_str(b, "mark_cost_s");
    mp_num(b, 0);
    mp_str(b, "due_s");
    mp_nil(b);
}

static int user_call(unsigned node, const char *method, const char *path, const buf *body, double timeout_s, char status[32],
                     unsigned *done)
{
    buf answer = {0};
    int code = http_call(nodes[node].listen, method, path, body, timeout_s, &answer);
    val *v = code ? mp_parse(answer.data, answer.len) : NULL;
    char text[32];
    snprintf(text, sizeof text, "%.31s", code == 200 || code == 201 ? val_str(v, "status") : val_str(v, "error"));
    if (done)
        *done = (unsigned)val_uint(v, "done");
    if (status)
        snprintf(status, 32, "%s", text);
    rec("user -> valvehost-%u %s %s: %d %s", node, method, path, code, text);
    val_free(v);
    buf_free(&answer);
    return code;
}

int user_submit(unsigned node, const job *j, char status[32])
{
    buf body = {0};
    char path[64];
    job_register(j);
    write_job(&body, j);
    snprintf(path, sizeof path, "/v2/runs");
    rec("user submits %s, %u pieces", j->id, j->pieces);
    int code = user_call(node, "POST", path, &body, 5, status, NULL);
    buf_free(&body);
    return code;
}

int user_poll(unsigned node, const char *id, char status[32], unsigned *done)
{
    char path[96];
    snprintf(path, sizeof path, "/v2/runs/%s", id);
    return user_call(node, "GET", path, NULL, 2, status, done);
}

int user_abort(unsigned node, const char *id, char status[32])
{
    char path[96], text[32];
    snprintf(path, sizeof path, "/v2/runs/%s/abort", id);
    int code = user_call(node, "POST", path, NULL, 5, text, NULL);
    if (code == 200 && strcmp(text, "withdrawn") == 0)
        job_cancel_told(id);
    if (status)
        snprintf(status, 32, "%s", text);
    return code;
}

static bool is_final(int code)
{
    return code == 200 || code == 201 || code == 400 || code == 422 || code == 404;
}

int user_submit_until(const job *j, char status[32])
{
    double until = now_s() + 60;
    int code = 0;
    for (unsigned node = 0; now_s() < until; node = (node + 1) % settings.nodes) {
        code = user_submit(node, j, status);
        if (is_final(code))
            break;
        sleep_s(1);
    }
    return code;
}

int user_abort_until(const char *id, char status[32])
{
    double until = now_s() + 60;
    int code = 0;
    for (unsigned node = 0; now_s() < until; node = (node + 1) % settings.nodes) {
        code = user_abort(node, id, status);
        if (is_final(code))
            break;
        sleep_s(1);
    }
    return code;
}

bool user_wait_final(const char *id, double timeout_s, double every_s, char status[32])
{
    double until = now_s() + timeout_s;
    for (unsigned node = 0; now_s() < until; node = (node + 1) % settings.nodes) {
        if (user_poll(node, id, status, NULL) == 200 && (strcmp(status, "done") == 0 || strcmp(status, "withdrawn") == 0))
            return true;
        sleep_s(every_s);
    }
    return false;
}

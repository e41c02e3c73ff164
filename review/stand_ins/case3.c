/*
 * Case 3: while the state service is down, a request to cancel a job whose body is within the limit
 * of the page, but longer than 65,536 bytes in MessagePack, ends the controller that gets it.
 */
#include "stand_ins.h"

#include "protocol/writer.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#define JOB "j-000412"
/* In JSON a number such as 1.0 takes 4 bytes with its comma, in MessagePack 9 bytes. */
#define NUMBERS 8000
#define JSON_BYTES (12 + 4 * NUMBERS)

static const char TEAMS[] = "\n[[settings.teams]]\nname = \"red\"\ncpus = 80.0\ncpus_max = 192.0\n"
                            "gpus = 0.0\ngpus_max = 0.0\n";

static const machine_type TYPES[] = {{"large", 32, 256, 60, 1.0, 2.65, 0.87, 25}};

static GBytes *body_with_unknown_field(void)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 1);
    mv_write_text(writer, "notes");
    mv_write_list(writer, NUMBERS);
    for (unsigned i = 0; i < NUMBERS; i++)
        mv_write_number(writer, 1.0);
    return mv_writer_finish(writer);
}

int main(int argc, char **argv)
{
    const deployment site_settings = {.report_s = 3,
                                      .lease_s = 32,
                                      .cancel_s = 62,
                                      .state_rps = 150,
                                      .state_write_rps = 30,
                                      .value_kb = 16,
                                      .txn_ops = 24,
                                      .cloud_rps = 10,
                                      .list_lag_s = 6,
                                      .area = "zone-a",
                                      .more = TEAMS};
    char status[40] = "";
    run_begin(argc, argv, &site_settings);
    cloud_set_types(TYPES, 1);
    machine_add("vm-000001", "large", false);
    for (unsigned i = 0; i < NODES; i++)
        node_start(i);
    for (unsigned i = 0; i < NODES; i++)
        if (!node_wait_healthy(i, 15))
            run_end(2, "a controller did not become healthy");
    job long_job = {JOB, "sweep", "red", "standard", NULL, "img-1", 1, 16, 26, 0.4, 100, 100, true};
    if (!user_submit(0, &long_job, 20))
        run_end(2, "the job was not accepted");
    sleep_until(8);
    g_autoptr(GBytes) body = body_with_unknown_field();
    record("the body of the cancellation: %zu bytes in MessagePack, %d bytes as JSON",
           (size_t)g_bytes_get_size(body), JSON_BYTES);
    if (trouble())
        state_outage(true);
    sleep_until(12);
    /* The user repeats the request at the next node after 1 s, until it gets an answer. The
     * platform starts a process that has ended again after 6 s. */
    unsigned crashes = 0, requests = 0;
    double start_at[NODES] = {0};
    const double until = since_start_s() + 20;
    for (unsigned i = 0; since_start_s() < until; i = (i + 1) % NODES) {
        requests++;
        if (user_abort_with_body(i, JOB, body, status) == 200)
            break;
        g_usleep(1000000);
        for (unsigned k = 0; k < NODES; k++) {
            int how = 0;
            if (start_at[k] > 0 && now_s() >= start_at[k]) {
                start_at[k] = 0;
                node_start(k);
            } else if (start_at[k] == 0 && node_has_ended(k, &how)) {
                start_at[k] = now_s() + 5;
                crashes++;
                record("platform: n%u has ended by itself: %s", k,
                       WIFSIGNALED(how) ? strsignal(WTERMSIG(how)) : "exit");
            }
        }
    }
    if (trouble())
        state_outage(false);
    if (crashes)
        run_end(1, "%u times a controller crashed; the user repeated one request %u times", crashes,
                requests);
    run_end(0, "no controller ended");
}

/**
 * Tests properties of the connectivity module and of whole deployments with generated cases.
 * RapidCheck shrinks a failing case to the smallest case that still fails. CMakeLists.txt sets a
 * fixed seed.
 *
 * Rules of the protocol page: "Outages and cuts" and "Delayed messages" (messages between
 * controllers may arrive late, twice or never), and, for whole deployments, all of "Rules".
 */
#include <glib.h>
#include <msgpack.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "connectivity/connectivity.h"
#include "connectivity/completions.h"
#include "safety_checks.h"
#include "sim.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;
}

namespace
{

/* --- the launch gate --- */

struct gate_step {
    mv_link_class links;
    double pause_s, no_response_s;
    bool watch_answered;
};

rc::Gen<gate_step> any_gate_step()
{
    auto links = rc::gen::map(rc::gen::inRange(1, int(MV_LINK_CLASSES)),
                              [](int count) { return mv_link_class(count); });
    auto pause = rc::gen::map(rc::gen::inRange(1, 3000), [](int ms) { return ms / 1000.0; });
    return rc::gen::build<gate_step>(
        rc::gen::set(&gate_step::links, links), rc::gen::set(&gate_step::pause_s, pause),
        rc::gen::set(&gate_step::no_response_s, pause), rc::gen::set(&gate_step::watch_answered));
}

bool is_cut(const gate_step &step)
{
    return step.links == MV_LINKS_ISOLATED ||
           (step.links == MV_LINKS_SUSPECTED && step.no_response_s >= MV_SUSPECT_GRACE_S);
}

/* After a cut the gate holds all launches until the links have been stable for at least the initial
 * hold-down time and a watch that was sent after the cut has been answered. */
void gate_opens_after_hold_down()
{
    const auto steps = *rc::gen::container<std::vector<gate_step>>(any_gate_step());
    mv_launch_gate gate{};
    double now = 100, caught_up_to = 99, cut_at = 0;
    for (const gate_step &step : steps) {
        now += step.pause_s;
        if (step.watch_answered)
            caught_up_to = now;
        mv_gate_input input{step.links, step.no_response_s, caught_up_to, false,
                            MV_LAUNCH_WHILE_LEASED};
        mv_launch_gate_update(&gate, now, &input);
        if (is_cut(step))
            cut_at = now;
        if (step.links == MV_LINKS_OUTAGE)
            cut_at = 0;
        RC_ASSERT(gate.hold_down_s <= MV_HOLD_DOWN_MAX_S);
        if (is_cut(step))
            RC_ASSERT(gate.scope == MV_LAUNCH_SCOPE_NONE);
        if (gate.scope == MV_LAUNCH_SCOPE_ALL && cut_at > 0) {
            RC_ASSERT(now >= cut_at + MV_HOLD_DOWN_INITIAL_S);
            RC_ASSERT(caught_up_to > cut_at);
        }
    }
}

/* Each cut that soon follows another doubles the hold-down time, up to MV_HOLD_DOWN_MAX_S. */
void each_cut_doubles_hold_down()
{
    const int cuts = *rc::gen::inRange(1, 12);
    mv_launch_gate gate{};
    double now = 100, expected = MV_HOLD_DOWN_INITIAL_S;
    for (int i = 0; i < cuts; i++) {
        mv_gate_input cut{MV_LINKS_ISOLATED, 9, now, false, MV_LAUNCH_WHILE_LEASED};
        mv_launch_gate_update(&gate, now, &cut);
        RC_ASSERT(gate.hold_down_s == std::min(expected, double(MV_HOLD_DOWN_MAX_S)));
        expected *= 2;
        now += 1;
        mv_gate_input healed{MV_LINKS_CONNECTED, 0, now, false, MV_LAUNCH_WHILE_LEASED};
        mv_launch_gate_update(&gate, now, &healed);
        now += 1;
    }
}

/* --- unrecorded completions --- */

enum class completion_event { OBSERVED, RECORDED, JOB_ENDED };

struct completion_step {
    completion_event event;
    int job;
    uint32_t task;
};

/* Maps a number from 0 to 6 to an event: four of the numbers observe a completion, two record a
 * completion and one ends a job. */
completion_event completion_event_of(int number)
{
    return number < 4   ? completion_event::OBSERVED
           : number < 6 ? completion_event::RECORDED
                        : completion_event::JOB_ENDED;
}

/* Maps a number to a task of a job. Six of seven numbers map to one of the first twenty tasks, so
 * these tasks occur repeatedly; the other numbers map to any task of the job. */
uint32_t task_of(int number)
{
    return uint32_t(number % 7 ? number % 20 : number);
}

using completion_model = std::map<std::string, std::set<uint32_t>>;

bool any_job(void *, const char *)
{
    return true;
}

/* Publishes the unrecorded completions in a link report and returns the tasks that a peer reads
 * from the report. */
completion_model published(mv_unrecorded_completions *completions)
{
    completion_model found;
    mv_link_report *report = mv_link_report_new();
    GPtrArray *packed = report->completions;
    mv_completions_pack(completions, any_job, nullptr, 1 << 20, packed);
    for (guint i = 0; i < packed->len; i++) {
        const mv_completion_set *set =
            static_cast<mv_completion_set *>(g_ptr_array_index(packed, i));
        GArray *tasks = mv_completion_set_read(set, MV_JOB_TASKS_MAX);
        RC_ASSERT(tasks != nullptr);
        for (guint k = 0; k < tasks->len; k++)
            found[set->job_id].insert(g_array_index(tasks, uint32_t, k));
        g_array_unref(tasks);
    }
    mv_link_report_free(report);
    return found;
}

unsigned count_tasks(const completion_model &model)
{
    unsigned count = 0;
    for (const auto &entry : model)
        count += unsigned(entry.second.size());
    return count;
}

/* Applies the step to the completions and to the model. */
void apply_step(mv_unrecorded_completions *completions, completion_model &model,
                const completion_step &step)
{
    const std::string job_id = "j-00000" + std::to_string(step.job);
    switch (step.event) {
    case completion_event::OBSERVED:
        RC_ASSERT(mv_completions_add(completions, job_id.c_str(), step.task));
        model[job_id].insert(step.task);
        break;
    case completion_event::RECORDED:
        mv_completions_remove_task(completions, job_id.c_str(), step.task);
        if (model.count(job_id))
            model[job_id].erase(step.task);
        break;
    case completion_event::JOB_ENDED:
        mv_completions_remove_job(completions, job_id.c_str());
        model.erase(job_id);
        break;
    }
    for (auto it = model.begin(); it != model.end();)
        it = it->second.empty() ? model.erase(it) : std::next(it);
}

/* The collection holds exactly the completions that were observed, that are not recorded and whose
 * job has not ended. Peers read exactly these completions from the link report. */
void completions_are_held_until_recorded()
{
    const auto event = rc::gen::map(rc::gen::inRange(0, 7), completion_event_of);
    const auto task = rc::gen::map(rc::gen::inRange(0, MV_JOB_TASKS_MAX), task_of);
    const auto steps = *rc::gen::container<std::vector<completion_step>>(
        rc::gen::build<completion_step>(rc::gen::set(&completion_step::event, event),
                                        rc::gen::set(&completion_step::job, rc::gen::inRange(0, 4)),
                                        rc::gen::set(&completion_step::task, task)));
    mv_unrecorded_completions *completions = mv_completions_new(1 << 20);
    completion_model model;
    for (const completion_step &step : steps) {
        apply_step(completions, model, step);
        RC_ASSERT(mv_completions_count(completions) == count_tasks(model));
    }
    RC_ASSERT(published(completions) == model);
    mv_completions_free(completions);
}

/* Random bytes either are refused or give only tasks within the limit of 100, and the parser does
 * not read beyond the bytes. */
void malformed_sets_are_refused()
{
    const auto bytes = *rc::gen::container<std::vector<uint8_t>>(rc::gen::arbitrary<uint8_t>());
    mv_completion_set set{};
    set.tasks = g_bytes_new(bytes.data(), bytes.size());
    GArray *tasks = mv_completion_set_read(&set, 100);
    for (guint i = 0; tasks && i < tasks->len; i++)
        RC_ASSERT(g_array_index(tasks, uint32_t, i) < 100u);
    if (tasks)
        g_array_unref(tasks);
    g_bytes_unref(set.tasks);
}

/* --- link reports that arrive late or twice, or come from a former process --- */

struct report_in_transit {
    mv_link_report *report;
    double published_at;
};

mv_settings settings_of(const char *name, mv_peer_settings *peer, const char *peer_name)
{
    mv_settings settings{};
    g_strlcpy(settings.node_name, name, sizeof settings.node_name);
    g_strlcpy(peer->name, peer_name, sizeof peer->name);
    settings.peers = peer;
    settings.peer_count = 1;
    settings.controller_count = 2;
    settings.report_s = 1;
    return settings;
}

enum class report_event { TO_B, TO_A, ARRIVES_AT_B, ARRIVES_AT_A, B_RESTARTS };

struct report_step {
    report_event event;
    unsigned report_index; /* index of a report in transit, modulo the number of reports */
};

/* Maps a number from 0 to 9 to an event: three of the numbers publish a report to b, two publish a
 * report to a, two deliver a report to b, two deliver a report to a, and one restarts b. */
report_event report_event_of(int number)
{
    return number < 3   ? report_event::TO_B
           : number < 5 ? report_event::TO_A
           : number < 7 ? report_event::ARRIVES_AT_B
           : number < 9 ? report_event::ARRIVES_AT_A
                        : report_event::B_RESTARTS;
}

/* Two controllers, a and b, and the reports in transit between them. Controller b may restart, and
 * reports may arrive in any order, twice or never. */
struct two_controllers {
    mv_peer_settings peer_of_a{}, peer_of_b{};
    const mv_settings settings_a = settings_of("a", &peer_of_a, "b");
    const mv_settings settings_b = settings_of("b", &peer_of_b, "a");
    mv_connectivity *a = mv_connectivity_new(&settings_a);
    mv_connectivity *b = mv_connectivity_new(&settings_b);
    uint64_t boot_of_b = 7;
    std::vector<report_in_transit> to_a, to_b;
    double now = 100;
    double newest_accepted = 0; /* a's estimate of when its newest accepted report was published */

    two_controllers() = default;
    two_controllers(const two_controllers &) = delete;
    two_controllers &operator=(const two_controllers &) = delete;
    ~two_controllers()
    {
        for (const report_in_transit &transit : to_a)
            mv_link_report_free(transit.report);
        for (const report_in_transit &transit : to_b)
            mv_link_report_free(transit.report);
        mv_connectivity_free(a);
        mv_connectivity_free(b);
    }

    void restart_b()
    {
        mv_connectivity_free(b);
        b = mv_connectivity_new(&settings_b);
        boot_of_b++;
    }

    /* Delivers a report to a. If a accepts the report, then a's estimate of the time of publication
     * must not be later than the true time, and it must not be earlier than a's estimate for the
     * newest report that a accepted before. */
    void deliver_to_a(const report_in_transit &transit)
    {
        if (mv_connectivity_receive(a, now, transit.report) != MV_LINK_REPORT_ACCEPTED)
            return;
        const double estimated_published_at = now - mv_connectivity_peer(a, now, 0).report_age_s;
        RC_ASSERT(estimated_published_at <= transit.published_at + 1e-9);
        RC_ASSERT(estimated_published_at >= newest_accepted - 1e-9);
        newest_accepted = estimated_published_at;
    }

    void apply_step(const report_step &step)
    {
        now += 0.1;
        switch (step.event) {
        case report_event::TO_B:
            to_b.push_back({mv_connectivity_publish(a, now, 5), now});
            break;
        case report_event::TO_A:
            to_a.push_back({mv_connectivity_publish(b, now, boot_of_b), now});
            break;
        case report_event::ARRIVES_AT_B:
            if (!to_b.empty())
                mv_connectivity_receive(b, now, to_b[step.report_index % to_b.size()].report);
            break;
        case report_event::ARRIVES_AT_A:
            if (!to_a.empty())
                deliver_to_a(to_a[step.report_index % to_a.size()]);
            break;
        case report_event::B_RESTARTS:
            restart_b();
            break;
        }
    }
};

/* A controller never takes an accepted report for newer than the report is. */
void reports_are_never_taken_for_newer()
{
    const auto event = rc::gen::map(rc::gen::inRange(0, 10), report_event_of);
    const auto steps = *rc::gen::container<std::vector<report_step>>(rc::gen::build<report_step>(
        rc::gen::set(&report_step::event, event),
        rc::gen::set(&report_step::report_index, rc::gen::inRange(0u, 1000u))));
    two_controllers controllers;
    for (const report_step &step : steps)
        controllers.apply_step(step);
}

/* --- whole deployments under any schedule of cuts --- */

std::string describe(const std::vector<sim_cut> &cuts)
{
    std::string text;
    for (const sim_cut &cut : cuts) {
        char line[80];
        std::snprintf(line, sizeof line, "node %u link %d at %.1f for %.1f\n", cut.node,
                      int(cut.link), cut.at, cut.for_s);
        text += line;
    }
    return text;
}

rc::Gen<sim_cut> any_cut()
{
    const auto seconds = [](int from_tenths, int to_tenths) {
        return rc::gen::map(rc::gen::inRange(from_tenths, to_tenths),
                            [](int count) { return count / 10.0; });
    };
    const auto link = rc::gen::map(rc::gen::inRange(0, int(SIM_LINKS)),
                                   [](int count) { return sim_link(count); });
    return rc::gen::build<sim_cut>(rc::gen::set(&sim_cut::node, rc::gen::inRange(0u, 3u)),
                                   rc::gen::set(&sim_cut::link, link),
                                   rc::gen::set(&sim_cut::at, seconds(50, 900)),
                                   rc::gen::set(&sim_cut::for_s, seconds(2, 300)));
}

void rules_hold_under_any_schedule()
{
    const auto cuts = *rc::gen::container<std::vector<sim_cut>>(any_cut());
    const unsigned seed = *rc::gen::inRange(1u, 1000000u);
    sim_plan plan{};
    plan.launch_gate = seed % 5 != 0; /* the rules must hold without the launch gate too */
    plan.cancel = 0.2;
    plan.faults_end_at = 110;
    plan.deadline_at = 600;
    plan.shards = seed % 2 ? 1 : 3;
    plan.jobs = 18;
    plan.cuts = cuts.data();
    plan.cut_count = unsigned(cuts.size());
    char *violation = sim_run(seed, &plan);
    const std::string why = violation ? violation : "";
    g_free(violation);
    if (!why.empty())
        RC_FAIL(why + "\nlaunch gate " + (plan.launch_gate ? "on" : "off") + ", seed " +
                std::to_string(seed) + "\n" + describe(cuts));
}

} // namespace

/* The argument "parts" runs the properties of the connectivity module alone, and "schedules" runs
 * the property of whole deployments. Without an argument the program runs both. */
int main(int argc, char **argv)
{
    const std::string which = argc > 1 ? argv[1] : "all";
    bool ok = true;
    if (which != "schedules") {
        ok = rc::check("the gate opens only after the hold-down", gate_opens_after_hold_down) && ok;
        ok = rc::check("each cut in a row doubles the hold-down", each_cut_doubles_hold_down) && ok;
        ok = rc::check("completions are held until they are recorded",
                       completions_are_held_until_recorded) &&
             ok;
        ok = rc::check("sets from peers are checked", malformed_sets_are_refused) && ok;
        ok = rc::check("link reports are never taken for newer than they are",
                       reports_are_never_taken_for_newer) &&
             ok;
    }
    if (which != "parts")
        ok = rc::check("every rule holds under any schedule of cuts",
                       rules_hold_under_any_schedule) &&
             ok;
    return ok ? 0 : 1;
}

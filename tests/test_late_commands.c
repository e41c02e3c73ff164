/**
 * Seeded simulations in which machines get copies of direct commands that they executed and
 * answered before: at random times up to minutes later, and right after the events at which a copy
 * does most harm. All rules are checked after each step.
 */
#include "sim_assert.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define SEEDS 8
/* Seeds of which one must break a rule while the launch fence is off. */
#define EVENT_MUTATION_SEEDS 60

static const sim_plan COPIES = {.command_copies = 0.3,
                                .copies_after_events = 0.7,
                                .cancel = 0.4,
                                .latency_sensitive = 0.3,
                                .acknowledged_cancellations = true,
                                .faults_end_at = 150,
                                .deadline_at = 600,
                                .shards = SIM_SHARDS_BY_SEED,
                                .jobs = 50};

/* Checks that all rules hold, and that copies arrived of launches whose attempts were forgotten. */
static void assert_rules_hold(sim_plan plan, guint32 first_seed)
{
    unsigned copies = 0;
    plan.combination = SIM_COPIES_OF_FORGOTTEN_LAUNCHES;
    plan.combination_count = &copies;
    sim_assert_rules_hold(&plan, first_seed, SEEDS);
    g_assert_cmpuint(copies, >, 0);
}

/* A task failed, was cleared and placed elsewhere; then a copy of its first launch started it again
 * on the first machine. */
static void cleared_tasks_do_not_start_again(void)
{
    assert_rules_hold(COPIES, 1);
}

static void controllers_return_within_a_second(void)
{
    sim_plan plan = COPIES;
    plan.quick_restart = 6;
    assert_rules_hold(plan, 101);
}

static void machines_restart_and_hang(void)
{
    sim_plan plan = COPIES;
    plan.machine_quick_restart = 8;
    plan.machine_hang = 6;
    assert_rules_hold(plan, 201);
}

static void commands_are_lost_or_slow(void)
{
    sim_plan plan = COPIES;
    plan.slow_commands = 0.1;
    plan.message_loss = plan.message_delay = 0.03;
    assert_rules_hold(plan, 301);
}

static void services(void)
{
    sim_plan plan = COPIES;
    plan.services = 0.3;
    plan.crash = 20;
    assert_rules_hold(plan, 401);
}

static void two_zones(void)
{
    sim_plan plan = COPIES;
    plan.small_zone = 5;
    plan.crash = 15;
    assert_rules_hold(plan, 501);
}

static void rolling_upgrades(void)
{
    sim_plan plan = COPIES;
    plan.rolling_upgrade = 20;
    assert_rules_hold(plan, 601);
}

static void all_faults(void)
{
    sim_plan plan = COPIES;
    plan.crash = 40;
    plan.quick_restart = 30;
    plan.state_cut = 50;
    plan.outage = 80;
    plan.worker_cut = 60;
    plan.machine_crash = 40;
    plan.machine_cut = 20;
    plan.machine_hang = 30;
    plan.machine_quick_restart = 40;
    plan.freeze = 60;
    plan.duplicate_heartbeats = 0.1;
    plan.slow_commands = 0.05;
    plan.message_loss = plan.message_delay = 0.02;
    plan.image_fetch_s = 1;
    plan.deadline_at = 1200;
    assert_rules_hold(plan, 701);
}

/* --- one event at a time --- */

/* Copies arrive only right after one kind of event. */
static sim_plan copies_after(sim_copy_event event)
{
    sim_plan plan = COPIES;
    plan.command_copies = 0;
    plan.copies_after_events = 1;
    plan.copy_event = event;
    return plan;
}

/* Checks that copies after the event break no rule, and that without the launch fence they break
 * `rule`. */
static void assert_event_is_harmless(sim_plan plan, const char *rule, guint32 first_seed)
{
    assert_rules_hold(plan, first_seed);
    sim_assert_rule_breaks(MV_CHECK_LAUNCH_FENCE, &plan, rule, first_seed,
                           first_seed + EVENT_MUTATION_SEEDS);
}

static void copy_after_task_was_moved(void)
{
    assert_event_is_harmless(copies_after(SIM_COPY_AFTER_ELSEWHERE), "ran_twice", 801);
}

static void copy_after_cancellation(void)
{
    assert_event_is_harmless(copies_after(SIM_COPY_AFTER_CANCELLED), "started after cancellation",
                             821);
}

static void copy_after_cancel_s(void)
{
    sim_plan plan = copies_after(SIM_COPY_AFTER_CANCEL_S);
    plan.acknowledged_cancellations = false;
    assert_event_is_harmless(plan, "ran_cancelled", 841);
}

/* A task whose result is kept exits as soon as its machine has the image, so its copies break no
 * rule even without the fence. */
static void copy_after_completion(void)
{
    assert_rules_hold(copies_after(SIM_COPY_AFTER_DONE), 861);
}

static void copy_as_controller_returns(void)
{
    sim_plan plan = copies_after(SIM_COPY_AFTER_CONTROLLER);
    plan.quick_restart = 4;
    assert_event_is_harmless(plan, "started after cancellation", 881);
}

/* The machine has seen a higher term by then, so it refuses the copies even without the fence. */
static void copy_after_owner_change(void)
{
    sim_plan plan = copies_after(SIM_COPY_AFTER_NEW_TERM);
    plan.quick_restart = 10;
    plan.shards = 3;
    assert_rules_hold(plan, 901);
}

static void copy_as_hung_machine_continues(void)
{
    sim_plan plan = copies_after(SIM_COPY_AFTER_HANG);
    plan.machine_hang = 2;
    assert_event_is_harmless(plan, "started after cancellation", 921);
}

static void machine_returns_in_new_epoch(void)
{
    sim_plan plan = COPIES;
    plan.machine_quick_restart = 3;
    assert_rules_hold(plan, 941);
}

/* The rules rest on machines that keep their exited tasks and their token as long as the agent
 * epoch (docs/questions.md). An exited task may be placed elsewhere before its attempt is fenced
 * off, and a machine without its token executes commands that were fenced off. The following two
 * tests show that both assumptions are needed. */

static void machine_that_forgets_exited_tasks_breaks_rules(void)
{
    sim_plan plan = COPIES;
    plan.machine_restart_in_epoch = 3;
    sim_assert_rule_breaks(MV_CHECK_NONE, &plan, "ran_twice", 961, 961 + EVENT_MUTATION_SEEDS);
}

static void machine_that_forgets_its_token_breaks_rules(void)
{
    sim_plan plan = COPIES;
    plan.machine_restart_anew = 3;
    sim_assert_rule_breaks(MV_CHECK_NONE, &plan, "started after cancellation", 981,
                           981 + EVENT_MUTATION_SEEDS);
}

/* --- the safety check is needed --- */

static void assert_check_is_needed(const sim_plan *plan, const char *rule)
{
    sim_assert_rule_breaks(MV_CHECK_LAUNCH_FENCE, plan, rule, 1, 1 + EVENT_MUTATION_SEEDS);
}

static void launch_fence_check_is_needed(void)
{
    sim_plan plan = COPIES;
    assert_check_is_needed(&plan, "ran_twice");
    assert_check_is_needed(&plan, "started after cancellation");
    plan.acknowledged_cancellations = false;
    assert_check_is_needed(&plan, "quota");
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/late-commands/cleared-tasks", cleared_tasks_do_not_start_again);
    g_test_add_func("/late-commands/quick-restarts", controllers_return_within_a_second);
    g_test_add_func("/late-commands/machines", machines_restart_and_hang);
    g_test_add_func("/late-commands/lost-and-slow", commands_are_lost_or_slow);
    g_test_add_func("/late-commands/services", services);
    g_test_add_func("/late-commands/two-zones", two_zones);
    g_test_add_func("/late-commands/rolling-upgrades", rolling_upgrades);
    g_test_add_func("/late-commands/all-faults", all_faults);
    g_test_add_func("/late-commands/after-move", copy_after_task_was_moved);
    g_test_add_func("/late-commands/after-cancellation", copy_after_cancellation);
    g_test_add_func("/late-commands/after-cancel-s", copy_after_cancel_s);
    g_test_add_func("/late-commands/after-completion", copy_after_completion);
    g_test_add_func("/late-commands/controller-returns", copy_as_controller_returns);
    g_test_add_func("/late-commands/owner-changes", copy_after_owner_change);
    g_test_add_func("/late-commands/hung-machine-continues", copy_as_hung_machine_continues);
    g_test_add_func("/late-commands/machine-returns-in-new-epoch", machine_returns_in_new_epoch);
    g_test_add_func("/late-commands/machine-forgets-exited-tasks",
                    machine_that_forgets_exited_tasks_breaks_rules);
    g_test_add_func("/late-commands/machine-forgets-token",
                    machine_that_forgets_its_token_breaks_rules);
    g_test_add_func("/late-commands/check-launch-fence", launch_fence_check_is_needed);
    return g_test_run();
}

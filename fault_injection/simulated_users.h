/**
 * The simulated users of a run: threads that submit the jobs of a script, cancel some of the jobs,
 * and poll each job until the job has a final state. The users record the responses in the history.
 *
 * Each thread works on its own part of the jobs. The threads run from mv_simulated_users_start to
 * mv_simulated_users_stop.
 */
#ifndef MV_SIMULATED_USERS_H
#define MV_SIMULATED_USERS_H
#include "controller_cluster.h"
#include "history.h"

/** The options of the users. The caller owns everything the fields point to, which must outlive the
 * users. */
typedef struct {
    const GArray *steps; /**< mv_step elements: the times at which users submit and cancel jobs */
    unsigned jobs;       /**< number of jobs that the steps submit */
    double estimated_runtime_s; /**< estimated runtime of a task, which each submission states */
    bool repeat_requests; /**< once a job has a final state, its user polls, submits and, if the
                             user cancelled the job, cancels it again at every controller at once,
                             and asks for a job that nobody submitted */
    const mv_controller_cluster *cluster;
    mv_history *history; /**< receives the responses; its clock is also the clock of the steps */
} mv_users_options;

typedef struct mv_simulated_users mv_simulated_users;

/** Starts the users' threads and aborts if one cannot be started. The caller ends the users with
 * mv_simulated_users_stop. */
mv_simulated_users *mv_simulated_users_start(const mv_users_options *options);

/** Returns whether the users have received a final state of every job. Thread-safe. */
bool mv_simulated_users_are_finished(const mv_simulated_users *users);

/** Asks the users' threads to end, waits until they have finished their requests in flight, and
 * frees the users. */
void mv_simulated_users_stop(mv_simulated_users *users);
#endif

/**
 * Renewal of agents' leases: what an answer of 200 to a heartbeat has to carry.
 *
 * The answer lets every task of the machine run on for lease_s. So whatever the heartbeat proves,
 * the answer stops each listed task whose job has ended or is being cancelled. An owner may end
 * before the machine's next heartbeat, and so may each of its successors: a stop that is left to
 * the next answer may never be sent.
 */
#ifndef MV_LEASE_RENEWAL_H
#define MV_LEASE_RENEWAL_H
#include "coordination/agents/agents.h"

/**
 * Returns whether the tasks of a job must be stopped wherever they run: the job has ended or is
 * being cancelled. NULL stands for a job without a live record.
 */
bool mv_job_tasks_must_end(const mv_job *job);
/**
 * Appends to `commands` (mv_command) the stops that an answer to the heartbeat must carry and that
 * `commands` does not have yet.
 */
void mv_lease_renewal_append_stops(const mv_agents *agents, const mv_heartbeat *heartbeat,
                                   GArray *commands);
/**
 * Returns whether an answer with these commands may renew the lease. If it may not, counts and logs
 * the violation; the caller must then not answer 200.
 */
bool mv_lease_renewal_is_safe(mv_agents *agents, const mv_machine *machine,
                              const mv_heartbeat *heartbeat, const GArray *commands);
#endif

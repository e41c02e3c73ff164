#include "sim_sites.h"

/* Limits of a site with few machines and with a fleet. The heartbeat interval is set separately,
 * because it depends on the number of machines. */
#define PINE_BLUFF_LIMITS                                                                          \
    .lease_s = 32, .cancel_s = 62, .state_store_rps = 150, .state_store_write_rps = 30,            \
    .value_kb = 16, .transaction_writes = 24, .cloud_rps = 10, .machine_list_lag_s = 6,            \
    .checkpoint_interval_s = 10, .checkpoint_cost_s = 3
#define SAPPORO_LIMITS                                                                             \
    .lease_s = 27, .cancel_s = 47, .state_store_rps = 120, .state_store_write_rps = 25,            \
    .value_kb = 8, .transaction_writes = 12, .cloud_rps = 5, .machine_list_lag_s = 8,              \
    .checkpoint_interval_s = 10, .checkpoint_cost_s = 3

const sim_site_profile SIM_TUPELO = {.report_s = 1.5,
                                     .lease_s = 10,
                                     .cancel_s = 30,
                                     .state_store_rps = 100,
                                     .state_store_write_rps = 15,
                                     .value_kb = 8,
                                     .transaction_writes = 8,
                                     .cloud_rps = 8,
                                     .machine_list_lag_s = 3,
                                     .checkpoint_interval_s = 20,
                                     .checkpoint_cost_s = 5};
const sim_site_profile SIM_PINE_BLUFF = {.report_s = 3, PINE_BLUFF_LIMITS};
const sim_site_profile SIM_PINE_BLUFF_FLEET = {.report_s = 6, PINE_BLUFF_LIMITS};
const sim_site_profile SIM_SAPPORO = {.report_s = 3, SAPPORO_LIMITS};
const sim_site_profile SIM_SAPPORO_FLEET = {.report_s = 5, SAPPORO_LIMITS};

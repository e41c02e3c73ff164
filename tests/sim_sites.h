/**
 * Times and limits of the sites at which the service is deployed, for simulations. A fleet is the
 * same site with more machines, and its longer heartbeat interval follows from its size.
 */
#ifndef MV_SIM_SITES_H
#define MV_SIM_SITES_H
#include "sim.h"

/** Tupelo: a site with short leases, small transactions, and jobs that save checkpoints. */
extern const sim_site_profile SIM_TUPELO;
/** Pine Bluff: the site with few machines, and the site as a fleet. */
extern const sim_site_profile SIM_PINE_BLUFF, SIM_PINE_BLUFF_FLEET;
/** Sapporo: the site with few machines, and the site as a fleet. */
extern const sim_site_profile SIM_SAPPORO, SIM_SAPPORO_FLEET;
#endif

/**
 * The reference definition of the scheduler: it binds one task at a time and scores one machine
 * after another. The scheduling rounds bind tasks in batches and must choose the same machines. The
 * tests compare each binding of the controller under test with the choice of the reference
 * definition.
 */
#ifndef MV_REFERENCE_SCHEDULER_H
#define MV_REFERENCE_SCHEDULER_H

/** Returns the number of bindings since the start of the process that differ from the choice of the
 * reference definition. */
unsigned reference_mismatches(void);
#endif

/* Names of the conditions on which the rules rest. */
#ifndef MV_GUARDS_H
#define MV_GUARDS_H

/* The main guards have names, so that the tests can show that each is needed: in their build of
 * the core one may be switched off. In the service itself a guard is just its condition. */
typedef enum {
    MV_GUARD_NONE,
    MV_GUARD_REBUILD,        /* no relaunch while a silent machine may hold the task */
    MV_GUARD_UNKNOWN,        /* silent machines count against a team's limit */
    MV_GUARD_LIMIT,          /* a team's limit */
    MV_GUARD_RELEASED,       /* a silent machine's tasks wait until it is gone for certain */
    MV_GUARD_ZONE,           /* one zone, or at most half in one */
    MV_GUARD_KIND,           /* spot machines only for jobs that allow them */
    MV_GUARD_CANCELLED,      /* tasks of cancelled jobs are stopped */
    MV_GUARD_ALL_DONE,       /* a job ends only with its last task */
    MV_GUARD_NEWER,          /* reports that are not newer prove nothing */
    MV_GUARD_OWN_TOKEN,      /* reports under an older token do not tell what is on a machine */
    MV_GUARD_DEAF,           /* a machine that nothing reaches is given back though it reports */
    MV_GUARD_STILL_VALID,    /* nothing decided under a lease that is over is carried out */
    MV_GUARD_STARVED,        /* age overtakes size */
    MV_GUARD_IN_FLIGHT,      /* no clear of an attempt whose launch is still under way */
    MV_GUARD_LEASE,          /* a holder without word from the state service stops answering */
    MV_GUARD_PROGRESS,       /* a late write of progress does nothing */
    MV_GUARD_MUTE,           /* no new work where reports reach nobody */
    MV_GUARD_FORMAT,         /* no service before every controller can read it */
    MV_GUARD_VALUE,          /* values stay within the limit */
    MV_GUARD_LATE_START,     /* no lease where a cancelled task may yet start */
    MV_GUARD_WAITS_LONG,     /* what is kept for others gives way to what has waited long */
    MV_GUARD_FIRST_LIST,     /* the first blocks wait for the cloud's first list */
    MV_GUARD_FAULTY_REBUILT, /* no faulty machine is returned before its tasks are known */
    MV_GUARD_QUEUED,         /* a transaction is not made anew while it waits in our own queue */
    MV_GUARD_WINDOW,         /* fewer commands are under way while our own processor is short */
    MV_GUARD_LISTENING,      /* machines are not given up for a time in which we could not hear */
    MV_GUARD_REPEATED,       /* a record that is read twice is no news */
    MV_GUARD_LISTING,        /* no machine leaves on the strength of a list alone */
    MV_GUARD_OWN_CUT,        /* no machine is deaf for what it missed while we heard nobody */
    MV_GUARD_JUST_HEARD,     /* no machine that is heard is returned for not having booted */
    MV_GUARD_LAUNCH_GATE,    /* a controller that is cut off starts nothing */
    MV_GUARD_HOLD_DOWN,      /* launches resume only once the links are steady */
    MV_GUARD_FINAL,          /* a job's final record is written once */
    MV_GUARD_OUTCOMES        /* ends that cannot be recorded are told to peers */
} mv_guard;

#ifdef MV_BREAKABLE
extern mv_guard mv_broken_guard;
#define GUARD(which, condition) (mv_broken_guard == MV_GUARD_##which || (condition))
#else
#define GUARD(which, condition) (condition)
#endif
#endif

/**
 * The history of a fault injection run: one ordered list of job acceptances, task starts and exits,
 * final records, responses to users, and injected faults. The history holds each event in memory
 * and writes the event to a file at the same time.
 *
 * The functions are thread-safe: the history's mutex puts the events of all threads in one order.
 * The caller must call mv_history_close last.
 */
#ifndef MV_HISTORY_H
#define MV_HISTORY_H
#include "constants.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The kinds of events. */
typedef enum {
    MV_EVENT_ACCEPTED,  /**< a user received the response that the job is accepted */
    MV_EVENT_STARTED,   /**< a task started on a machine */
    MV_EVENT_DONE,      /**< a task completed on a machine */
    MV_EVENT_LOST,      /**< a task exited or vanished from a machine without completing */
    MV_EVENT_RECORDED,  /**< a controller wrote a final record; `text` is the recorded state */
    MV_EVENT_RESPONDED, /**< a user received `text` as the state of the job */
    MV_EVENT_UNKNOWN,   /**< a user received the response that the job is unknown */
    MV_EVENT_FAULT,     /**< the runner began or ended a fault of the script; `text` describes it */
    MV_EVENT_INVENTED,  /**< a user received the state of a job that nobody submitted */
    MV_EVENT_ENDED,     /**< a controller's process ended by itself; `subject` is the controller */
    MV_EVENT_INVARIANT, /**< a controller logged a violated invariant; `text` is its rule */
    MV_EVENT_KINDS      /**< the number of kinds */
} mv_event_kind;

/** One event. Fields that do not apply to the kind of event are empty. */
typedef struct {
    double at; /**< seconds since the history was opened */
    mv_event_kind kind;
    char subject[MV_NAME_SIZE]; /**< id of the machine on which a task started or ended */
    char job_id[MV_ID_SIZE];
    uint32_t task;          /**< number of the task within the job; MV_EVENT_ACCEPTED: the number of
                               tasks of the job, 0 if it is not known */
    uint64_t attempt;       /**< number of the attempt to run the task */
    uint64_t fencing_token; /**< fencing token that the machine held at the time of the event */
    char text[80];
} mv_event;

typedef struct mv_history mv_history;

/** Opens an empty history. If `path` is not NULL, each event is also written to that file. Returns
 * NULL if the file cannot be written. The caller frees the history with mv_history_close. */
mv_history *mv_history_open(const char *path);

/** Closes the history's file and frees the history; NULL is allowed. */
void mv_history_close(mv_history *history);

/** Returns the seconds since the history was opened. */
double mv_history_now(const mv_history *history);

/** Appends an event to the history and sets `at` to the current time. */
void mv_history_add(mv_history *history, mv_event event);

/** Returns a copy of all events so far, as an array of mv_event that the caller frees. */
GArray *mv_history_events(mv_history *history);
#endif

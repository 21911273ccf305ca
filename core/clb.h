/**
 * DOC: Basic types shared by every module: resource vectors, error numbers,
 * task states and reasons of decisions.  Nothing here does input or output.
 */
#ifndef CLB_H
#define CLB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

enum
{
  /* Size of a task, request or instance id, in bytes including the NUL. */
  CLB_ID_MAX = 96,
  /* Size of a team, queue or domain name, in bytes including the NUL. */
  CLB_NAME_MAX = 48,
  /* Size of an "ip:port" address, in bytes including the NUL. */
  CLB_ADDR_MAX = 64,
  /* Retry delay that is suggested to a refused caller. */
  RETRY_HINT_MS = 1000,
  /* Largest number of failure domains in one fleet. */
  CLB_DOMAINS_MAX = 8,
};

/* Marks a pointer variable whose target is freed when the scope ends. */
#define clb_auto __attribute__ ((cleanup (clb_free_at)))

/**
 * clb_free_at() - Free the target of a pointer variable; used by clb_auto.
 * @pointer: address of the variable
 */
static inline void
clb_free_at (void *pointer)
{
  free (*(void **)pointer);
}

/* Number of elements of an array. */
#define CLB_COUNT(array) (sizeof (array) / sizeof ((array)[0]))

/**
 * enum clb_err - error numbers
 *
 * Functions return 0 or one of these negative numbers.  clb_err_name() gives
 * the stable name that callers see, clb_err_outcome() tells whether a request
 * that got the error may have run, and clb_err_http() gives the HTTP status.
 */
enum clb_err
{
  CLB_OK = 0,
  CLB_EPARSE = -1, /* the text is not JSON, or the msgpack is damaged */
  CLB_EFIELD = -2, /* a field is unknown, missing, duplicate or mistyped */
  CLB_ERANGE = -3, /* a value is outside its range */
  CLB_EREF = -4,   /* the named team or queue does not exist */
  /* Two entries of a manifest have the same name, or two different requests
     have the same id. */
  CLB_EDUP = -5,
  CLB_ENOMEM = -6,
  CLB_ECONFLICT = -7, /* another writer changed the row first */
  /* The platform refused the operation or was not reached. */
  CLB_EUNAVAIL = -8,
  /* The request was sent, but its outcome is not known. */
  CLB_EOUTCOME = -9,
  CLB_EKEY = -10,      /* the key is missing, unknown or wrong */
  CLB_EDENIED = -11,   /* the key does not permit this request */
  CLB_ESTALE = -12,    /* the configuration is not verified as current */
  CLB_EFULL = -13,     /* a queue or the journal's backlog is full */
  CLB_ENOHOLDER = -14, /* no instance holds the domain's lease */
  CLB_ENOTFOUND = -15, /* the task, row or path does not exist */
  /* No capacity became free before the deadline. */
  CLB_ETIMEOUT = -16,
  /* The need exceeds every worker's capacity or the team's limit. */
  CLB_ENOFIT = -17,
  CLB_ESTOPPING = -18, /* this instance is shutting down */
  CLB_ETOOBIG = -19,   /* a body or header exceeds its size limit */
  /* A non-idempotent request with this id is already recorded. */
  CLB_ERECORDED = -20,
  CLB_ELEASE = -21, /* the lease expired before the work could start */
  CLB_ECANCELLED = -22,
  CLB_EREACH = -23,  /* no backend server could be reached */
  CLB_ERR_LAST = -24 /* one less than the last error number */
};

/** enum clb_outcome - whether a request has run, as told to its caller */
enum clb_outcome
{
  CLB_NOT_RUN,      /* the request has not run and will not run */
  CLB_MAY_HAVE_RUN, /* the request may have run */
  CLB_RAN,          /* the request has run */
};

/** enum clb_res_kind - the dimensions of a resource vector */
enum clb_res_kind
{
  RES_CORES,
  RES_MEM_MB,
  RES_ACCELS,
  RES_SLOTS, /* request slots of a service executor */
  RES_N
};

/** struct clb_res - resource vector: an amount in each dimension */
struct clb_res
{
  int64_t cores;
  int64_t mem_mb;
  int64_t accels;
  int64_t slots;
};

/** enum task_state - state of a task; task_state_names[] has the names */
enum task_state
{
  TASK_PENDING,  /* waiting for capacity */
  TASK_STARTING, /* placed, but not yet reported as running by its workers */
  TASK_RUNNING,
  /* Members are being stopped on their workers; the task will be cancelled or
     retried. */
  TASK_STOPPING,
  TASK_DONE,
  TASK_FAILED,
  TASK_CANCELLED,
  TASK_UNKNOWN, /* the task may have run; its outcome is not known */
  TASK_STATE_N
};

/** enum task_class - priority class, highest first */
enum task_class
{
  CLASS_URGENT,  /* may preempt idempotent tasks of lower classes */
  CLASS_WATCHED, /* a person is waiting for the result */
  CLASS_NORMAL,
  CLASS_PATIENT, /* may wait longer than the other classes */
  CLASS_N
};

/**
 * enum clb_reason - why a decision was taken
 *
 * Each reason has a counter.  clb_reason_name() gives its stable code,
 * clb_reason_text() an explanation for people.  Journal records hold the
 * number, so new reasons are added at the end.
 */
enum clb_reason
{
  WHY_NONE,
  WHY_ACCEPTED,
  WHY_DUPLICATE, /* a request with the same id exists */
  WHY_BEST_FIT,  /* placed on the worker with the least capacity left over */
  WHY_SPREAD,    /* placed with its members on different racks */
  WHY_NO_ROOM,   /* no worker has enough free capacity */
  WHY_TEAM_LIMIT,
  WHY_NO_WORKER_FITS, /* the need exceeds every worker's whole capacity */
  WHY_STARTED,
  WHY_ENDED_OK,
  WHY_ENDED_FAILED,
  WHY_WORKER_REFUSED,
  /* There was no contact with the worker until the task's lease expired. */
  WHY_WORKER_LOST,
  WHY_WORKER_REBOOTED,
  WHY_WORKER_QUARANTINED,
  /* The worker is reachable again, or released from quarantine. */
  WHY_WORKER_BACK,
  WHY_START_UNSEEN, /* the worker confirmed that it never got the start */
  WHY_TOO_MANY_FAILURES,
  WHY_CANCELLED,
  WHY_LEASE_ACQUIRED, /* this instance acquired the domain's lease */
  WHY_LEASE_LOST,     /* another instance holds the domain's lease now */
  WHY_LEASE_RELEASED, /* this instance released the domain's lease */
  WHY_STORE_DOWN,     /* the table service became unreachable */
  WHY_STORE_BACK,     /* the table service is reachable again */
  WHY_LEASE_EXTENDED, /* the lease was extended by the peers' promises */
  WHY_CONFIG,         /* a newer configuration is in force */
  WHY_GRANT_RAISED,
  WHY_GRANT_LOWERED,
  WHY_DEADLINE,
  WHY_ENTRY_LOST, /* the entry instance of a service request is gone */
  WHY_GANG_MEMBER_FAILED,
  WHY_PREEMPTED,  /* the task was preempted by urgent work */
  WHY_PREEMPTING, /* other tasks are being preempted for this urgent task */
  WHY_N
};

/**
 * clb_err_name() - Stable name of an error.
 * @err: enum clb_err; any other number is named as %CLB_EOUTCOME
 */
const char *clb_err_name (int err);
/** clb_err_outcome() - Whether a request that got @err may have run. */
enum clb_outcome clb_err_outcome (int err);
/** clb_outcome_name() - Stable name of @outcome in answers. */
const char *clb_outcome_name (enum clb_outcome outcome);
/** clb_err_http() - HTTP status of an answer with @err. */
int clb_err_http (int err);
/** clb_reason_name() - Stable code of @reason, "none" if out of range. */
const char *clb_reason_name (int64_t reason);
/** clb_reason_text() - Explanation of @reason for people. */
const char *clb_reason_text (int64_t reason);

/* Stable names of task states and classes, indexed by enum task_state and enum
   task_class; each array ends with NULL. */
extern const char *const task_state_names[TASK_STATE_N + 1];
extern const char *const task_class_names[CLASS_N + 1];

/** task_state_final() - Whether @state is an end state. */
bool task_state_final (int state);

/** clb_res_get() - Get the amount of resource @kind in @r. */
int64_t clb_res_get (const struct clb_res *r, enum clb_res_kind kind);
/** clb_res_set() - Set the amount of resource @kind in @r. */
void clb_res_set (struct clb_res *r, enum clb_res_kind kind, int64_t amount);
/** clb_res_add() - Add @factor * @r to @to; a negative @factor subtracts. */
void clb_res_add (struct clb_res *to, const struct clb_res *r, int64_t factor);
/** clb_res_fits() - Whether @need is at most @available in each dimension. */
bool clb_res_fits (const struct clb_res *need,
                   const struct clb_res *available);

/**
 * clb_copy() - Copy a string, truncated if it is too long.
 * @size: size of @dst in bytes, including the NUL
 */
void clb_copy (char *dst, const char *src, size_t size);
/**
 * clb_word_ok() - Return whether @text is not empty and consists of printable
 * ASCII characters other than blanks, so that it can stand in a record of
 * several words and in a header.
 */
bool clb_word_ok (const char *text);

#endif

/**
 * DOC: Basic types shared by every module: resource vectors, error numbers,
 * task states and reasons.  Nothing here does input or output.
 */
#ifndef CLB_H
#define CLB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

enum
{
  CLB_ID_MAX = 96,      /* bytes of a task, request or instance id with NUL */
  CLB_NAME_MAX = 48,    /* bytes of a team, queue or domain name with NUL */
  CLB_ADDR_MAX = 64,    /* bytes of "ip:port" with NUL */
  RETRY_HINT_MS = 1000, /* when a refused caller may come back */
  CLB_DOMAINS_MAX = 8,  /* failure domains in one cell */
};

/* A pointer declared with it is freed when its scope ends. */
#define clb_auto __attribute__ ((cleanup (clb_free_at)))

static inline void
clb_free_at (void *pointer)
{
  free (*(void **)pointer);
}

#define CLB_COUNT(array) (sizeof (array) / sizeof ((array)[0]))

/**
 * enum clb_err - every failure has one of these numbers
 *
 * Functions return 0 or one of these.  clb_err_name() gives the stable word
 * that callers see, clb_err_outcome() what became of the request.
 */
enum clb_err
{
  CLB_OK = 0,
  CLB_EPARSE = -1, /* text is not JSON, or msgpack is damaged */
  CLB_EFIELD = -2, /* unknown, missing, doubled or mistyped field */
  CLB_ERANGE = -3, /* value outside its range */
  CLB_EREF = -4,   /* names a team or queue that does not exist */
  CLB_EDUP = -5,   /* two entries with one name */
  CLB_ENOMEM = -6,
  CLB_ECONFLICT = -7,  /* another writer was first */
  CLB_EUNAVAIL = -8,   /* the platform refused or was not reached */
  CLB_EUNKNOWN = -9,   /* sent, but the outcome cannot be learned */
  CLB_EKEY = -10,      /* no key, or one that is not granted */
  CLB_EDENIED = -11,   /* the key may not do this */
  CLB_ESTALE = -12,    /* configuration not proved fresh */
  CLB_EFULL = -13,     /* queue or journal backlog is full */
  CLB_ENOHOLDER = -14, /* no scheduler holds the domain */
  CLB_ENOTFOUND = -15,
  CLB_ETIMEOUT = -16,  /* no room before the deadline */
  CLB_ENOFIT = -17,    /* larger than any worker or limit */
  CLB_ESTOPPING = -18, /* this instance is shutting down */
  CLB_ETOOBIG = -19,   /* body or header over its limit */
  CLB_EDONE = -20,     /* a non-idempotent request with this id exists */
  CLB_ELEASE = -21,    /* lease lapsed before the work could start */
  CLB_ECANCELLED = -22,
  CLB_EREACH = -23, /* no backend server could be reached */
  CLB_ERR_LAST = -24
};

/** enum clb_outcome - what a refusal says about the request */
enum clb_outcome
{
  CLB_NOT_RUN, /* nothing ran and nothing will */
  CLB_UNKNOWN, /* it may have run */
  CLB_RAN,     /* it ran */
};

/** enum clb_res_kind - the dimensions in which instances are filled */
enum clb_res_kind
{
  RES_CORES,
  RES_MEM_MB,
  RES_ACCELS,
  RES_SLOTS, /* of a service executor */
  RES_N
};

/** struct clb_res - an amount in each dimension */
struct clb_res
{
  int64_t cores;
  int64_t mem_mb;
  int64_t accels;
  int64_t slots;
};

enum task_state
{
  TASK_PENDING,  /* recorded, waiting for room */
  TASK_STARTING, /* intent recorded, not yet seen at the worker */
  TASK_RUNNING,
  TASK_STOPPING, /* cancelled or retried, workers not yet clear of it */
  TASK_DONE,
  TASK_FAILED,
  TASK_CANCELLED,
  TASK_UNKNOWN, /* may have run, cannot be learned */
  TASK_STATE_N
};

enum task_class
{
  CLASS_URGENT,
  CLASS_WATCHED, /* somebody sits waiting */
  CLASS_NORMAL,
  CLASS_PATIENT,
  CLASS_N
};

/** enum clb_reason - why a decision was taken, one counter each */
enum clb_reason
{
  WHY_NONE,
  WHY_ACCEPTED,
  WHY_DUPLICATE,
  WHY_BEST_FIT, /* placed on the tightest worker that holds it */
  WHY_SPREAD,
  WHY_NO_ROOM,
  WHY_TEAM_LIMIT,
  WHY_NO_WORKER_FITS,
  WHY_STARTED,
  WHY_ENDED_OK,
  WHY_ENDED_FAILED,
  WHY_WORKER_REFUSED,
  WHY_WORKER_LOST,
  WHY_WORKER_REBOOTED,
  WHY_WORKER_QUARANTINED,
  WHY_WORKER_BACK,
  WHY_START_UNSEEN, /* start sent, worker proved never to have had it */
  WHY_TOO_MANY_FAILURES,
  WHY_CANCELLED,
  WHY_TOOK_OVER,
  WHY_LEASE_LOST,
  WHY_HANDED_OVER,
  WHY_STORE_DOWN,
  WHY_STORE_BACK,
  WHY_EXTENDED, /* holder went on under its peers' promises */
  WHY_CONFIG,
  WHY_GRANT_RAISED,
  WHY_GRANT_LOWERED,
  WHY_DEADLINE,
  WHY_ENTRY_LOST,
  WHY_GANG_MEMBER_FAILED,
  WHY_PREEMPTED,  /* stopped to make room for urgent work */
  WHY_PREEMPTING, /* urgent work has others stopped */
  WHY_N
};

const char *clb_err_name (int err);
enum clb_outcome clb_err_outcome (int err);
const char *clb_outcome_name (enum clb_outcome outcome);
int clb_err_http (int err);
const char *clb_reason_name (int64_t reason);
const char *clb_reason_text (int64_t reason);

extern const char *const task_state_names[TASK_STATE_N + 1];
extern const char *const task_class_names[CLASS_N + 1];

/** task_state_final() - Whether a task in @state never changes again. */
bool task_state_final (int state);

int64_t clb_res_get (const struct clb_res *r, enum clb_res_kind kind);
void clb_res_set (struct clb_res *r, enum clb_res_kind kind, int64_t amount);
void clb_res_add (struct clb_res *to, const struct clb_res *r, int64_t times);
/** clb_res_fits() - Whether @need is within @room in every dimension. */
bool clb_res_fits (const struct clb_res *need, const struct clb_res *room);

/** clb_copy() - Copies @src to @dst of @size bytes, cut at the end. */
void clb_copy (char *dst, const char *src, size_t size);

#endif

/**
 * DOC: Jobs: steps of tasks that depend on each other.  The specification as
 * accepted, its progress as recorded, and the codec of both.
 */
#ifndef JOB_H
#define JOB_H

#include "codec.h"

enum
{
  JOB_ID_SIZE = 17,           /* 16 hexadecimal digits with NUL */
  JOB_TEXT_MAX = 4000,        /* bytes of the text handed to each task */
  JOB_STEPS_MAX = 64,         /* a set of steps is one 64-bit word */
  JOB_STEP_TASKS_MAX = 1024,  /* tasks of one step */
  JOB_TOTAL_TASKS_MAX = 4096, /* tasks of one job */
  JOB_LABEL_SIZE = 48,
  JOB_FAILURES_MAX = 64,    /* of one task; a queue allows no more attempts */
  JOB_CHECKPOINT_SIZE = 64, /* a checkpoint's name with NUL */
};

/** struct job_need - what one task takes of an executor */
struct job_need
{
  int64_t millicores;
  int64_t mem_mb;
  int64_t accels;
};

/** struct job_step - tasks that are alike */
struct job_step
{
  int64_t tasks;
  struct job_need need;
  int64_t estimate_ms; /* the submitter's guess of one task's run time */
  uint64_t after;      /* set of earlier steps that must be done first */
  bool gang;           /* all tasks run together or none */
  bool same_rack;      /* slower when spread over racks */
  bool checkpoints;
  bool duplicates;      /* copies may run at once; the first to end counts */
  bool best_effort_cpu; /* runs on what others leave; its cores aren't counted
                         */
  bool persistent;      /* restarted until cancelled */
  int64_t max_per_exec;
  int64_t target_ms;          /* tail latency that a serving task must keep */
  int64_t max_unavailable;    /* serving tasks that may be stopped at once */
  char label[JOB_LABEL_SIZE]; /* that the executor must carry */
  char data_rack[JOB_LABEL_SIZE]; /* where its input lies */
  char image[JOB_LABEL_SIZE];     /* tasks of one image behave alike */
};

/** struct job_advice - what asking for permitted executors costs */
struct job_advice
{
  double base_ms;     /* of one call; 0: the queue needs no advice */
  double per_exec_ms; /* for each executor named */
  int64_t valid_ms;   /* a permission lasts this long */
};

/**
 * struct job_spec - a job as it was accepted
 *
 * The queue's terms are those in force then; a later configuration changes
 * them for later jobs only.
 */
struct job_spec
{
  char id[JOB_ID_SIZE];
  char queue[CLB_NAME_MAX];
  char tenant[CLB_NAME_MAX];  /* client account that it is charged to */
  char service[CLB_NAME_MAX]; /* whose executors run it */
  int64_t priority;           /* 0 goes first */
  int64_t attempts;           /* failures of one task before the job fails */
  double slack;               /* of the objective: times the longest chain */
  int64_t target_ms;          /* of the objective: added to that */
  struct job_advice advice;
  int64_t accepted_ms; /* wall clock of the accepting instance */
  char *text;
  struct job_step *steps;
  size_t n_steps;
  /* Occurrences by time; refused at hand-in as yet. */
  int64_t repeat;
  int64_t start_ms;
  int64_t interval_ms;
};

enum job_state
{
  JOB_PENDING,
  JOB_RUNNING,
  JOB_COMPLETED,
  JOB_FAILED,
  JOB_CANCELLED,
  JOB_STATE_N
};

/** struct job_run - the number of one run of a task */
struct job_run
{
  int64_t id;
};

/** struct job_mark - what is recorded of one task, or of a gang by its first
 */
struct job_mark
{
  int64_t index; /* of the task in its step */
  bool done;
  struct job_run *failed; /* runs that have failed, in any order */
  size_t n_failed;
};

/** struct job_step_marks - recorded tasks of one step */
struct job_step_marks
{
  int64_t step;
  struct job_mark *marks;
  size_t n_marks;
};

/** struct job_progress - a job's record beside its specification */
struct job_progress
{
  int state; /* enum job_state */
  struct job_step_marks *steps;
  size_t n_steps;
};

extern const struct desc job_spec_desc;
extern const struct desc job_step_desc;
extern const struct desc job_progress_desc;
extern const char *const job_state_names[JOB_STATE_N + 1];

static inline bool
job_state_final (int state)
{
  return state >= JOB_COMPLETED;
}

/** job_id_ok() - Whether @id is 16 hexadecimal digits. */
bool job_id_ok (const char *id);

/**
 * job_check() - Whether this scheduler can run @spec as it says.
 * @ce: names the field that it cannot
 *
 * Return: 0, %CLB_ERANGE, %CLB_EREF, %CLB_ETOOBIG or %CLB_EFIELD.
 */
int job_check (const struct job_spec *spec, struct codec_err *ce);

/** job_critical_path_ms() - The longest chain of estimates. */
int64_t job_critical_path_ms (const struct job_spec *spec);

#endif

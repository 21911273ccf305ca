/**
 * DOC: Jobs of the fleet.  A job consists of steps that depend on each other;
 * each step has a number of tasks that are alike.  This module defines a job's
 * specification as it was accepted, the progress that is recorded of it, and
 * the codec of both.
 */
#ifndef JOB_H
#define JOB_H

#include "codec.h"

enum
{
  JOB_ID_SIZE = 17,           /* 16 hexadecimal digits with NUL */
  JOB_TEXT_MAX = 4000,        /* bytes of the text handed to each task */
  JOB_STEPS_MAX = 64,         /* of one job: a set of steps is a 64-bit word */
  JOB_STEP_TASKS_MAX = 1024,  /* tasks of one step */
  JOB_TOTAL_TASKS_MAX = 4096, /* tasks of one job */
  JOB_LABEL_SIZE = 48,        /* a label, rack or image with NUL */
  /* Failed runs kept of one task; no queue allows more attempts. */
  JOB_FAILURES_MAX = 64,
  JOB_CHECKPOINT_SIZE = 64, /* a checkpoint's name with NUL */
};

/** struct job_need - resources that one task takes, or an executor offers */
struct job_need
{
  int64_t millicores;
  int64_t mem_mb;
  int64_t accels; /* accelerators, such as GPUs */
};

/** struct job_step - a step: a number of tasks that are alike */
struct job_step
{
  int64_t tasks; /* number of tasks */
  struct job_need need;
  int64_t estimate_ms; /* the submitter's estimate of one task's run time */
  uint64_t after;      /* bit set of earlier steps that must be done first */
  bool gang;           /* all tasks must run at the same time */
  bool same_rack;      /* the tasks are slower when spread over racks */
  bool checkpoints;    /* the tasks write checkpoints */
  /* Copies of a task may run at the same time; the first to end counts. */
  bool duplicates;
  /* The tasks run on cores that others leave; their cores are not counted. */
  bool best_effort_cpu;
  bool persistent; /* the tasks are restarted until the job is cancelled */
  int64_t max_per_exec; /* tasks on one executor; 0: no limit */
  int64_t target_ms;    /* tail latency that a serving task must keep */
  /* Serving tasks that may be stopped at the same time. */
  int64_t max_unavailable;
  char label[JOB_LABEL_SIZE];     /* the executor must have it; empty: none */
  char data_rack[JOB_LABEL_SIZE]; /* rack that holds the input, or empty */
  char image[JOB_LABEL_SIZE];     /* tasks of the same image behave alike */
};

/** struct job_advice - what an advice query costs */
struct job_advice
{
  double base_ms;     /* duration of a query; 0: the queue needs no advice */
  double per_exec_ms; /* additional duration for each executor named */
  int64_t valid_ms;   /* how long a ticket is valid */
};

/**
 * struct job_spec - a job as it was accepted
 *
 * The queue's settings are those at the time of acceptance.  A later
 * configuration changes them only for later jobs.
 */
struct job_spec
{
  char id[JOB_ID_SIZE];
  char queue[CLB_NAME_MAX];
  char tenant[CLB_NAME_MAX];  /* client account that is charged for the job */
  char service[CLB_NAME_MAX]; /* service whose executors run the job */
  int64_t priority;           /* 0 is the most urgent */
  int64_t attempts;           /* failures of one task before the job fails */
  /* The latency objective is slack times the critical path, plus target_ms. */
  double slack;
  int64_t target_ms; /* constant part of the latency objective */
  struct job_advice advice;
  int64_t accepted_ms;    /* wall clock of the accepting instance */
  char *text;             /* handed to each task; owned */
  struct job_step *steps; /* owned */
  size_t n_steps;
  int64_t repeat;      /* number of timed occurrences; not supported yet */
  int64_t start_ms;    /* of timed occurrences; not supported yet */
  int64_t interval_ms; /* of timed occurrences; not supported yet */
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

/** struct job_run - the id of one run of a task */
struct job_run
{
  int64_t id;
};

/**
 * struct job_mark - recorded progress of one task
 *
 * The failed runs of a gang are recorded with its first task.
 */
struct job_mark
{
  int64_t index; /* of the task in its step */
  bool done;
  struct job_run *failed; /* failed runs, in no particular order */
  size_t n_failed;
};

/** struct job_step_marks - recorded progress of one step */
struct job_step_marks
{
  int64_t step; /* index of the step */
  struct job_mark *marks;
  size_t n_marks;
};

/** struct job_progress - recorded progress of a job */
struct job_progress
{
  int state;                    /* enum job_state */
  struct job_step_marks *steps; /* steps that have progress; none once final */
  size_t n_steps;
};

extern const struct desc job_spec_desc;
extern const struct desc job_step_desc;
extern const struct desc job_progress_desc;
extern const char *const job_state_names[JOB_STATE_N + 1];

/** job_state_final() - Whether a job in this state has ended. */
static inline bool
job_state_final (int state)
{
  return state >= JOB_COMPLETED;
}

/** job_id_ok() - Whether @id is 16 hexadecimal digits. */
bool job_id_ok (const char *id);

/**
 * job_check() - Check that the scheduler supports a specification.
 * @ce: set to the offending field on failure
 *
 * Return: 0, %CLB_ERANGE, %CLB_EREF, %CLB_ETOOBIG or %CLB_EFIELD.
 */
int job_check (const struct job_spec *spec, struct codec_err *ce);

/** job_critical_path_ms() - Sum of estimates along the critical path: the
    longest chain of steps that depend on each other. */
int64_t job_critical_path_ms (const struct job_spec *spec);

#endif

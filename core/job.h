/**
 * DOC: Jobs of the fleet.  A job consists of steps; a step may depend on
 * earlier ones and has a number of identical tasks.  This module defines the
 * specification of an accepted job, the recorded progress of a job, and the
 * codecs of both.
 */
#ifndef JOB_H
#define JOB_H

#include "codec.h"

enum
{
  /* Size in bytes of a job id: 16 hexadecimal digits and a NUL. */
  JOB_ID_SIZE = 17,
  /* Maximum size of job_spec::payload in bytes. */
  JOB_PAYLOAD_MAX = 4000,
  /* Maximum number of steps of one job; a set of steps is a 64-bit word. */
  JOB_STEPS_MAX = 64,
  JOB_STEP_TASKS_MAX = 1024,  /* maximum number of tasks of one step */
  JOB_TOTAL_TASKS_MAX = 4096, /* maximum number of tasks of one job */
  /* Size in bytes of the name of a label, rack or image, with the NUL. */
  JOB_LABEL_SIZE = 48,
  /* Maximum number of failed runs stored of one task; no queue allows more
     attempts. */
  JOB_FAILURES_MAX = 64,
  /* Number of confirmed crashes of executors under one task after which the
     task is not started again and its job fails. */
  JOB_CRASHES_MAX = 3,
  /* Number of crashes under one task, confirmed or not, after which its job
     fails in any case. */
  JOB_CRASHES_ANY_MAX = 4,
};

/** struct job_need - resources that tasks take, or an executor offers */
struct job_need
{
  int64_t millicores; /* CPU, in thousandths of a core */
  int64_t mem_mb;
  int64_t accels; /* accelerators, such as GPUs */
};

/** struct job_step - a step: a number of identical tasks */
struct job_step
{
  int64_t tasks; /* number of tasks */
  struct job_need need;
  int64_t estimate_ms; /* the submitter's estimate of one task's run time */
  uint64_t after; /* bit set of the earlier steps that this step depends on */
  bool gang;      /* all tasks must run at the same time */
  bool same_rack; /* the tasks run faster when they are all in one rack */
  bool checkpoints; /* the tasks write checkpoints */
  /* Several runs of a task may exist at the same time; the first run to end
     counts. */
  bool duplicates;
  /* The tasks run on cores that other tasks leave idle; their need of cores is
     not counted as used. */
  bool best_effort_cpu;
  bool persistent; /* the tasks are restarted until the job is cancelled */
  /* Maximum number of tasks on one executor; 0: no limit. */
  int64_t max_per_exec;
  int64_t target_ms; /* objective for the tail latency of a serving task */
  /* Maximum number of serving tasks that may be stopped at the same time. */
  int64_t max_unavailable;
  char label[JOB_LABEL_SIZE]; /* label that executors must have; empty: none */
  char data_rack[JOB_LABEL_SIZE]; /* rack that holds the input; empty: none */
  /* Name of the tasks' image; tasks of the same image behave similarly. */
  char image[JOB_LABEL_SIZE];
};

/**
 * struct job_advice - how long an advice query about the job takes, and how
 * long the tickets from the answer are valid
 */
struct job_advice
{
  double base_ms; /* base duration of a query; 0: the queue needs no advice */
  double per_exec_ms; /* additional duration for each executor that is named */
  int64_t valid_ms;   /* how long a ticket is valid */
};

/**
 * struct job_spec - a job as it was accepted
 *
 * The specification contains the settings that the queue had when the job was
 * accepted.  A later change of the configuration applies only to later jobs.
 */
struct job_spec
{
  char id[JOB_ID_SIZE];
  char queue[CLB_NAME_MAX];
  /* Client account whose limits and share apply to the job. */
  char tenant[CLB_NAME_MAX];
  char service[CLB_NAME_MAX]; /* service whose executors run the job */
  int64_t priority;           /* 0 is the most urgent */
  int64_t attempts; /* number of failures of one task that fails the job */
  /* The latency objective is slack times the critical path, plus target_ms. */
  double slack;
  int64_t target_ms; /* constant part of the latency objective */
  struct job_advice advice;
  /* When the job was accepted, by the wall clock of the accepting instance. */
  int64_t accepted_ms;
  char *payload; /* text that is passed to each task unchanged; owned */
  struct job_step *steps; /* owned */
  size_t n_steps;
  int64_t repeat;      /* number of timed occurrences; not supported yet */
  int64_t start_ms;    /* start of the timed occurrences; not supported yet */
  int64_t interval_ms; /* time between timed occurrences; not supported yet */
};

/** enum job_state - state of a job */
enum job_state
{
  JOB_PENDING,   /* no task has been started */
  JOB_RUNNING,   /* a task has been started */
  JOB_COMPLETED, /* all tasks have succeeded */
  /* A task has used up its attempts, or executors crash under it. */
  JOB_FAILED,
  JOB_CANCELLED, /* cancelled on request */
  JOB_STATE_N
};

/* Largest id of a run that is accepted from records and executors; the next
   one still fits in jtask::next_run_id. */
#define JOB_RUN_ID_MAX (INT32_MAX - 1)

/** struct job_run - a failed run of a task */
struct job_run
{
  int64_t id; /* id of the run */
};

/** struct job_crash - a run of a task under which its executor crashed */
struct job_crash
{
  int64_t run_id;
  /* Address of the executor, which may have a new id in its next boot. */
  char addr[CLB_ADDR_MAX];
  /* The leader that counted the crash has not seen the run on the boot that
     crashed, which may have done so before. */
  bool unconfirmed;
};

/** struct job_end - the end of a run; all earlier runs of its task have ended,
 * but for job_task_progress::stopping_run_id */
struct job_end
{
  int64_t run_id;
  int how; /* enum run_end */
};

/**
 * struct job_task_progress - recorded progress of one task
 *
 * The failed runs of a gang are recorded with its first task.
 */
struct job_task_progress
{
  int64_t index; /* index of the task in its step */
  bool done;     /* a run of the task has succeeded */
  /* Id of a run that may not have ended yet, although the task is done or the
     end of this or a later run is recorded; 0: there is none. */
  int64_t stopping_run_id;
  struct job_run *failed; /* failed runs, in no particular order */
  size_t n_failed;
  struct job_crash *crashes; /* crashes of executors under the task */
  size_t n_crashes;
  /* At most one: the last run that has ended, if runs of the task were lost
     with their executors.  Only this, a task that is done and a failed run say
     that a run has ended: a crash does not. */
  struct job_end *lost;
  size_t n_lost;
};

/** struct job_step_progress - recorded progress of one step */
struct job_step_progress
{
  int64_t step; /* index of the step */
  /* Tasks that are done, or have failed runs, crashes or runs that were lost
     with their executors. */
  struct job_task_progress *tasks;
  size_t n_tasks;
};

/** struct job_progress - recorded progress of a job */
struct job_progress
{
  int state; /* enum job_state */
  /* The state is final, but runs of the job's tasks may still be going on. */
  bool runs_left;
  /* Steps that have progress; none if the state is final and no runs are
     left. */
  struct job_step_progress *steps;
  size_t n_steps;
};

extern const struct desc job_spec_desc;
extern const struct desc job_step_desc;
extern const struct desc job_progress_desc;
extern const char *const job_state_names[JOB_STATE_N + 1];

/** job_state_final() - Return whether a job in this state has ended. */
static inline bool
job_state_final (int state)
{
  return state >= JOB_COMPLETED;
}

/** job_id_ok() - Return whether @id consists of 16 hexadecimal digits. */
bool job_id_ok (const char *id);

/**
 * job_check() - Check that the scheduler supports a specification.
 * @ce: set to the error and the offending field on failure
 *
 * Return: 0, %CLB_ERANGE, %CLB_EREF, %CLB_ETOOBIG or %CLB_EFIELD.
 */
int job_check (const struct job_spec *spec, struct codec_err *ce);

/**
 * job_tasks_per_row() - Return how many tasks have progress that fits into a
 * row of @row_bytes, however often they fail or crash executors; 0 if that of
 * one task may not fit.
 */
int job_tasks_per_row (const struct job_spec *spec, int64_t row_bytes);

/**
 * job_critical_path_ms() - Compute the length of the critical path.
 * @step_ms: duration of each step, in milliseconds
 *
 * Return: the largest sum of durations over a chain of steps each of which
 * depends on the one before.
 */
int64_t job_critical_path_ms (const struct job_spec *spec,
                              const int64_t *step_ms);

#endif

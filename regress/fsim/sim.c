/* The simulation's events, instances, messages between instances, and callers'
   requests. */
#include "fsim.h"

#include <limits.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Interval between two calls of fleet_tick() for an instance. */
  INSTANCE_TICK_MS = 10,
  /* Time of the wall clock when the simulated time is 0. */
  WALL_CLOCK_START_MS = 1000000,
  /* Size of the values in one call, without the names and in plain text, that
     certainly fits into FSIM_CALL_BYTES_MAX. */
  CALL_VALUE_BYTES = 700000,
};

int
fjob_cmp (const struct fjob *a, const struct fjob *b)
{
  return strcmp (a->id, b->id);
}

RB_GENERATE (fjob_tree, fjob, by_id, fjob_cmp)

double
fsim_random (struct fsim *s)
{
  s->rng_state ^= s->rng_state << 13;
  s->rng_state ^= s->rng_state >> 7;
  s->rng_state ^= s->rng_state << 17;
  return (double)(s->rng_state >> 11) / (double)(1ULL << 53);
}

/* Sets @kind to the kind of a violation: the first word of its text, and for
   TWICE also the reason, which stands after ": ", up to ", late". */
static void
violation_kind (const char *text, char *kind, size_t size)
{
  const char *reason = strstr (text, ": ");
  const char *late = strstr (text, ", late");
  int len = (int)strcspn (text, " ");

  if (!reason || strncmp (text, "TWICE ", 6) != 0)
    snprintf (kind, size, "%.*s", len, text);
  else
    snprintf (kind, size, "TWICE %.*s",
              late ? (int)(late + strlen (", late") - reason - 2) : INT_MAX,
              reason + 2);
}

/* Return: the entry of the violations of @kind. */
static struct fviolations *
violations_of (struct fsim *s, const char *kind)
{
  int i = 0;

  while (i < s->n_violation_kinds && i < FSIM_VIOLATION_KINDS_MAX - 1
         && strcmp (s->violations[i].kind, kind) != 0)
    i++;
  if (i == s->n_violation_kinds)
    {
      s->n_violation_kinds++;
      clb_copy (s->violations[i].kind, kind, sizeof s->violations[i].kind);
    }
  return &s->violations[i];
}

void
fsim_violation (struct fsim *s, const char *fmt, ...)
{
  char text[200];
  char kind[64];
  struct fviolations *v;
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (text, sizeof text, fmt, ap);
  va_end (ap);
  violation_kind (text, kind, sizeof kind);
  v = violations_of (s, kind);
  if (v->n++ == 0)
    snprintf (v->first, sizeof v->first, "at %lld: %s", (long long)s->now_ms,
              text);
  if (s->n_violations++ == 0)
    clb_copy (s->first_violation, v->first, sizeof s->first_violation);
}

/* fsim::events is a binary heap with the earliest event first. */

static bool
event_before (const struct fsim_event *a, const struct fsim_event *b)
{
  return a->due_ms < b->due_ms || (a->due_ms == b->due_ms && a->seq < b->seq);
}

static void
event_swap (struct fsim_event *a, struct fsim_event *b)
{
  struct fsim_event t = *a;

  *a = *b;
  *b = t;
}

void
fsim_schedule (struct fsim *s, int64_t after_ms,
               void (*fn) (struct fsim *s, void *arg), void *arg)
{
  size_t i = s->n_events++;

  if (s->n_events > s->cap_events)
    {
      s->cap_events = 2 * s->cap_events + 256;
      s->events = realloc (s->events, s->cap_events * sizeof *s->events);
    }
  s->events[i]
      = (struct fsim_event){ s->now_ms + (after_ms > 0 ? after_ms : 0),
                             ++s->last_event_seq, fn, arg };
  for (; i > 0 && event_before (&s->events[i], &s->events[(i - 1) / 2]);
       i = (i - 1) / 2)
    event_swap (&s->events[i], &s->events[(i - 1) / 2]);
}

static struct fsim_event
pop_event (struct fsim *s)
{
  struct fsim_event top = s->events[0];
  size_t i = 0;

  s->events[0] = s->events[--s->n_events];
  for (;;)
    {
      size_t least = i;
      for (size_t k = 2 * i + 1; k <= 2 * i + 2 && k < s->n_events; k++)
        if (event_before (&s->events[k], &s->events[least]))
          least = k;
      if (least == i)
        return top;
      event_swap (&s->events[i], &s->events[least]);
      i = least;
    }
}

void
fsim_run (struct fsim *s, int64_t for_ms)
{
  int64_t until = s->now_ms + for_ms;

  while (s->n_events && s->events[0].due_ms <= until)
    {
      struct fsim_event e = pop_event (s);
      s->now_ms = e.due_ms;
      e.fn (s, e.arg);
    }
  s->now_ms = until;
}

struct fjob *
fsim_find_job (struct fsim *s, const char *id)
{
  struct fjob key;

  clb_copy (key.id, id, sizeof key.id);
  return RB_FIND (fjob_tree, &s->jobs, &key);
}

bool
fsim_can_reach (const struct fsim *s, int i, const struct fexec *e)
{
  return s->inst[i]->partitioned_until_ms <= s->now_ms
         && e->partitioned_until_ms <= s->now_ms;
}

int64_t
fsim_busy_ms (const struct fsim *s, int i)
{
  int64_t us = s->inst[i]->busy_until_us - 1000 * s->now_ms;

  return us > 0 ? (us + 999) / 1000 : 0;
}

void
fsim_charge_io (struct fsim *s, int i)
{
  struct fsim_instance *in = s->inst[i];

  if (in->busy_until_us < 1000 * s->now_ms)
    in->busy_until_us = 1000 * s->now_ms;
  in->busy_until_us += in->io_cost_us;
}

/* Lets the placing passes since the last call use CPU time. */
static void
charge_passes (struct fsim *s, int i)
{
  struct fsim_instance *in = s->inst[i];
  uint64_t n = in->fleet.stats.fsched.jobs_considered;

  if (in->busy_until_us < 1000 * s->now_ms)
    in->busy_until_us = 1000 * s->now_ms;
  in->busy_until_us += (int64_t)(n - in->n_jobs_charged) * in->pass_cost_us;
  in->n_jobs_charged = n;
}

int64_t
fsim_hold_input (const struct fsim *s, int i)
{
  const struct fsim_instance *in = s->inst[i];

  if (in->frozen_until_ms > s->now_ms)
    return in->frozen_until_ms - s->now_ms + 1;
  return fsim_busy_ms (s, i);
}

/* Functions for struct fleet_codec, which read and write documents.  In the
   simulation, documents are lines of words instead of the platform's JSON. */

static int
read_discovery_entry (const char *id, const char *text,
                      struct exec_report *out)
{
  int draining;
  long long millicores, mem, boot_start_ms;

  memset (out, 0, sizeof *out);
  if (sscanf (text, "%95s %d %lld %lld %lld", out->addr, &draining,
              &millicores, &mem, &boot_start_ms)
      != 5)
    return CLB_EPARSE;
  clb_copy (out->id, id, sizeof out->id);
  snprintf (out->zone, sizeof out->zone, "zone%d", fsim_zone (out->addr));
  clb_copy (out->service, "svc", sizeof out->service);
  out->capacity.millicores = millicores;
  out->capacity.mem_mb = mem;
  out->draining = draining;
  out->boot_start_ms = boot_start_ms;
  return 0;
}

static int
read_job (const char *text, size_t len, struct job_spec *out,
          struct codec_err *ce)
{
  return codec_parse (&job_spec_desc, text, len, CODEC_STRICT, out, ce);
}

/* Reads a configuration, which consists of lines of these forms:
     version N
     queue NAME PRIORITY ATTEMPTS SLACK TARGET BASE PER_EXEC [VALID]
     tenant NAME WEIGHT MILLICORES [KEY]
     unusable
     unusable-item
   TARGET, BASE and PER_EXEC are in ms; BASE is the cost of a query for
   advice, PER_EXEC the additional cost for each executor in the query; its
   tickets are valid for VALID (FSIM_TICKET_MS).  A
   configuration with the line "unusable" is refused; in one with the line
   "unusable-item", a queue or client account could not be used. */
static int
read_conf (const char *text, struct fconf **out, struct codec_err *ce)
{
  struct fconf *c = calloc (1, sizeof *c);
  char *copy = strdup (text);
  char *save = NULL;

  ce->err = 0;
  if (strstr (text, "unusable\n"))
    {
      free (copy);
      free (c);
      ce->err = CLB_EFIELD;
      clb_copy (ce->path, "unusable", sizeof ce->path);
      return CLB_EFIELD;
    }
  for (char *line = strtok_r (copy, "\n", &save); line;
       line = strtok_r (NULL, "\n", &save))
    {
      struct fconf_queue q = { .timeout_ms = 3000 };
      struct fconf_tenant t = { 0 };
      char key[64] = "";
      long long n, priority, attempts, target, millicores;
      long long valid = FSIM_TICKET_MS;
      if (sscanf (line, "version %lld", &n) == 1)
        c->version = n;
      else if (strcmp (line, "unusable-item") == 0)
        c->n_unusable++;
      else if (sscanf (line, "queue %47s %lld %lld %lf %lld %lf %lf %lld",
                       q.name, &priority, &attempts, &q.slack, &target,
                       &q.advice.base_ms, &q.advice.per_exec_ms, &valid)
               >= 7)
        {
          q.priority = priority;
          q.attempts = attempts;
          q.target_ms = target;
          q.advice.valid_ms = valid;
          snprintf (q.prefix, sizeof q.prefix, "/%.60s/", q.name);
          clb_copy (q.host, "h", sizeof q.host);
          clb_copy (q.service, "svc", sizeof q.service);
          /* The array is doubled whenever the number of queues is a power of
             two. */
          if ((c->n_queues & (c->n_queues - 1)) == 0)
            c->queues = realloc (c->queues, (2 * c->n_queues + 1) * sizeof q);
          c->queues[c->n_queues++] = q;
        }
      else if (sscanf (line, "tenant %47s %lf %lld %63s", t.name, &t.weight,
                       &millicores, key)
               >= 3)
        {
          t.limit.millicores = millicores;
          t.keys = calloc (1, sizeof *t.keys);
          if (*key)
            clb_copy (t.keys[t.n_keys++].key, key, sizeof t.keys->key);
          c->tenants = realloc (c->tenants, (c->n_tenants + 1) * sizeof t);
          c->tenants[c->n_tenants++] = t;
        }
    }
  free (copy);
  fconf_sort_queues (c);
  *out = c;
  return 0;
}

/* Writes the configuration @arg, which it frees.  While the table is down, the
   operator waits. */
static void
write_conf (struct fsim *s, void *arg)
{
  char *text = arg;
  struct fconf *conf;
  struct codec_err ce;

  if (s->table.down_until_ms > s->now_ms && !s->shutting_down)
    {
      fsim_schedule (s, s->table.down_until_ms - s->now_ms, write_conf, text);
      return;
    }
  if (!read_conf (text, &conf, &ce))
    {
      fquota_set_conf (s, conf);
      fconf_free (conf);
    }
  ftable_put (s, "op/config", text);
  free (text);
}

int
fsim_zone (const char *addr)
{
  return (addr[strlen (addr) - 1] - '0') % FSIM_ZONES;
}

void
fsim_evacuate (struct fsim *s, int zone, bool evacuated)
{
  char key[64];

  s->evacuated_ms[zone] = evacuated ? s->now_ms : 0;
  snprintf (key, sizeof key, "op/evacuate/zone%d", zone);
  ftable_put (s, key, evacuated ? "{}" : NULL);
}

void
fsim_set_conf (struct fsim *s, const char *text)
{
  write_conf (s, strdup (text));
}

static char *
state_body (int state)
{
  return strdup (job_state_names[state]);
}

static char *
error_body (const char *error, const char *detail)
{
  char *text;

  if (asprintf (&text, "%s %s", error, detail) < 0)
    abort ();
  return text;
}

/* Makes the body of an answer with the number of waiting jobs.  The caller
   frees the body. */
static char *
count_body (int64_t n_waiting)
{
  char *text;

  if (asprintf (&text, "%lld", (long long)n_waiting) < 0)
    abort ();
  return text;
}

/* Instances and the messages between them. */

/* struct mesh_delivery - a message from one instance to another */
struct mesh_delivery
{
  /* Index of the receiving instance. */
  int receiver;
  /* Incarnation of the receiver when the message was sent.  A receiver with
     another incarnation does not get the message. */
  uint64_t incarnation;
  struct mesh_msg *msg;
};

/* Return: index of the instance with this address, -1 if there is
   none. */
static int
find_instance (const struct fsim *s, const char *addr)
{
  for (int i = 0; i < s->n_inst; i++)
    if (strcmp (s->inst[i]->fleet.settings.mesh_addr, addr) == 0)
      return i;
  return -1;
}

/* Passes a message to its receiver and frees the delivery.  A frozen or busy
   receiver gets the message afterwards. */
static void
deliver_mesh_msg (struct fsim *s, void *arg)
{
  struct mesh_delivery *d = arg;
  struct fsim_instance *in = s->inst[d->receiver];

  if (in->up && in->incarnation == d->incarnation
      && fsim_hold_input (s, d->receiver) > 0)
    {
      fsim_schedule (s, fsim_hold_input (s, d->receiver), deliver_mesh_msg, d);
      return;
    }
  if (in->up && in->incarnation == d->incarnation
      && in->partitioned_until_ms <= s->now_ms)
    {
      fsim_charge_io (s, d->receiver);
      fleet_mesh_msg (&in->fleet, s->now_ms, d->msg);
      fsim_process_outputs (s, d->receiver);
    }
  mesh_free (d->msg);
  free (d);
}

/* Sends @m to the instance with the address @addr.  The function takes
   ownership of @m. */
static void
send_mesh_msg (struct fsim *s, int from, const char *addr, struct mesh_msg *m)
{
  int receiver = find_instance (s, addr);
  struct mesh_delivery *d;

  if (receiver < 0 || s->inst[from]->partitioned_until_ms > s->now_ms)
    {
      mesh_free (m);
      return;
    }
  d = calloc (1, sizeof *d);
  d->receiver = receiver;
  d->incarnation = s->inst[receiver]->incarnation;
  d->msg = m;
  fsim_schedule (s, fsim_busy_ms (s, from) + FSIM_LINK_MS, deliver_mesh_msg,
                 d);
}

/* Notes what the answer to submission @c says of its job.  A caller who
   submits a job after cancelling it wants it to run. */
static void
note_submit_answer (struct fsim *s, struct fjob *j, const struct fsim_call *c)
{
  if (c->status == 200)
    {
      j->accepted = true;
      if (c->sent_ms > j->cancel_acked_ms)
        j->cancel_acked_ms = 0;
    }
  if (c->status != 429 && c->status != 503 && c->status != 410)
    return;
  j->n_refused++;
  for (int i = 0; i < j->n_stats && j->n_refused == j->n_submitted; i++)
    if (j->stats[i].n_starts)
      {
        fsim_violation (s, "REFUSED %s: refused although started", j->id);
        return;
      }
}

/* Stores the answer to a caller's request in fsim::calls. */
static void
record_answer (struct fsim *s, const struct out *o)
{
  struct fsim_call *c = &s->calls[o->u.answer.call - 1];
  struct fjob *j = fsim_find_job (s, c->id);

  c->status = o->u.answer.status;
  c->retry_ms = o->u.answer.retry_ms;
  c->answered_ms = s->now_ms;
  c->body = o->u.answer.body ? strdup (o->u.answer.body) : NULL;
  if (j && c->verb == FLEET_VERB_SUBMIT)
    note_submit_answer (s, j, c);
  if (j && c->verb == FLEET_VERB_CANCEL
      && (c->status == 200 || c->status == 410) && !j->cancel_acked_ms)
    j->cancel_acked_ms = s->now_ms;
  if (j && c->verb == FLEET_VERB_STATE && c->status == 200 && c->body)
    j->shown_failed |= strcmp (c->body, job_state_names[JOB_FAILED]) == 0;
}

void
fsim_process_outputs (struct fsim *s, int i)
{
  struct fsim_instance *in = s->inst[i];
  struct out *o;

  charge_passes (s, i);
  while ((o = fleet_next_out (&in->fleet)))
    {
      if (o->kind != OUT_LOG_LINE)
        fsim_charge_io (s, i);
      switch (o->kind)
        {
        case OUT_ANSWER:
          record_answer (s, o);
          break;
        case OUT_STORE:
          ftable_send (s, i, o->u.store.token, &o->u.store.op);
          break;
        case OUT_FLEET_MSG:
          send_mesh_msg (s, i, o->u.mesh.addr, o->u.mesh.msg);
          o->u.mesh.msg = NULL;
          break;
        case OUT_ORDER:
          if (o->u.order->kind == ORDER_ADVISE)
            fadvice_send_query (s, i, o->u.order);
          else
            fexec_send_order (s, i, o->u.order);
          break;
        case OUT_LOG_LINE:
          if (s->verbose)
            printf ("%8lld %d %s\n", (long long)s->now_ms, i, o->u.line);
          break;
        default:
          break;
        }
      out_free (o);
    }
}

/* struct instance_timer - argument of the timer of an instance; the timer ends
   with the incarnation that started it */
struct instance_timer
{
  int inst; /* index of the instance */
  uint64_t incarnation;
};

static void
on_instance_timer (struct fsim *s, void *arg)
{
  struct instance_timer *t = arg;
  struct fsim_instance *in = s->inst[t->inst];

  if (!in->up || in->incarnation != t->incarnation)
    {
      free (t);
      return;
    }
  if (in->frozen && s->now_ms >= in->frozen_until_ms)
    in->frozen = false;
  if (!in->frozen && fsim_busy_ms (s, t->inst) > 0)
    {
      fsim_schedule (s, fsim_busy_ms (s, t->inst), on_instance_timer, t);
      return;
    }
  if (!in->frozen)
    {
      fleet_tick (&in->fleet, s->now_ms,
                  s->wall_start_ms + s->now_ms + in->clock_offset_ms);
      fsim_process_outputs (s, t->inst);
    }
  fsim_schedule (s, INSTANCE_TICK_MS, on_instance_timer, t);
}

void
fsim_start_instance (struct fsim *s, int i)
{
  struct fsim_instance *in = s->inst[i];
  struct instance_timer *t = calloc (1, sizeof *t);
  struct fleet_settings settings
      = { .boot = s->wall_start_ms + s->now_ms,
          .revoke_ms = 5000,
          .conf_apply_ms = 3000,
          .lease_max_ms = s->lease_max_ms,
          .evacuate_ms = s->evacuate_ms,
          .millicores = in->millicores,
          .limits = { .row_bytes = s->row_bytes_setting,
                      .call_bytes = CALL_VALUE_BYTES },
          .codec = { .decode_conf = read_conf,
                     .decode_exec = read_discovery_entry,
                     .decode_job = read_job,
                     .state_body = state_body,
                     .count_body = count_body,
                     .error_body = error_body,
                     .conf_table = "op",
                     .conf_key = "op/config",
                     .exec_table = "servers",
                     .evac_prefix = "op/evacuate/" } };

  snprintf (settings.id, sizeof settings.id, "n%d", i);
  snprintf (settings.mesh_addr, sizeof settings.mesh_addr, "n%d", i);
  fleet_init (&in->fleet, &settings, s->now_ms);
  in->up = true;
  in->frozen = false;
  in->busy_until_us = 0;
  in->n_jobs_charged = 0;
  in->incarnation++;
  t->inst = i;
  t->incarnation = in->incarnation;
  fsim_schedule (s, 1 + i, on_instance_timer, t);
}

void
fsim_kill_instance (struct fsim *s, int i)
{
  if (!s->inst[i]->up)
    return;
  for (int cause = 0; cause < UNUSED_N; cause++)
    s->answers_unused[cause]
        += s->inst[i]->fleet.stats.fsched.answers_unused[cause];
  s->inst[i]->up = false;
  s->inst[i]->incarnation++;
  fleet_fini (&s->inst[i]->fleet);
}

static void
on_exec_timer (struct fsim *s, void *arg)
{
  (void)arg;
  if (s->shutting_down)
    return;
  fexec_tick (s);
  fsim_schedule (s, 5, on_exec_timer, NULL);
}

struct fsim *
fsim_new (uint64_t seed, int instances, int execs,
          const struct job_need *capacity)
{
  struct fsim *s = calloc (1, sizeof *s);

  s->wall_start_ms = WALL_CLOCK_START_MS;
  s->rng_state = seed * 2654435761u + 88172645463325252ULL;
  s->permitted_share = 0.5;
  s->ticket_ms = FSIM_TICKET_MS;
  s->ticket_bytes = FSIM_TICKET_BYTES;
  s->advice.slow_factor = 1;
  s->table.row_bytes_max = FSIM_ROW_BYTES_MAX;
  s->row_bytes_setting = FSIM_ROW_BYTES_MAX;
  s->lease_max_ms = FSCHED_LEASE_MS;
  RB_INIT (&s->jobs);
  RB_INIT (&s->table.rows);
  s->n_exec = execs;
  s->last_crash_ms = -FSTANDING_CALM_MS;
  for (int i = 0; i < execs; i++)
    {
      struct fexec *e = s->exec[i] = calloc (1, sizeof *e);
      snprintf (e->id, sizeof e->id, "e%03d", i);
      clb_copy (e->addr, e->id, sizeof e->addr);
      e->index = i;
      e->listed = true;
      e->capacity = *capacity;
      e->shrunk_ms = -FSIM_SHRUNK_AFTER_MS;
      e->boot_delay_ms = FSIM_BOOT_DELAY_MS;
      e->lost_start = e->dropped_start = e->late_start = -1;
      fexec_reboot (s, e);
      e->next_boot_clock_ms = FSIM_CLOCK_DRAWN;
    }
  s->n_inst = instances;
  for (int i = 0; i < instances; i++)
    {
      s->inst[i] = calloc (1, sizeof *s->inst[i]);
      fsim_start_instance (s, i);
    }
  fsim_schedule (s, 5, on_exec_timer, NULL);
  fsim_schedule (s, 5, fheld_check, NULL);
  return s;
}

void
fsim_set_row_bytes (struct fsim *s, int64_t n_bytes)
{
  s->table.row_bytes_max = (size_t)n_bytes;
  s->row_bytes_setting = n_bytes;
  for (int i = 0; i < s->n_inst; i++)
    s->inst[i]->fleet.settings.limits.row_bytes = n_bytes;
}

void
fsim_set_lease_max (struct fsim *s, int64_t ms)
{
  s->lease_max_ms = ms;
  for (int i = 0; i < s->n_inst; i++)
    s->inst[i]->fleet.settings.lease_max_ms = ms;
}

void
fsim_set_evacuate (struct fsim *s, int64_t ms)
{
  s->evacuate_ms = ms;
  for (int i = 0; i < s->n_inst; i++)
    s->inst[i]->fleet.settings.evacuate_ms = ms;
}

int
fsim_leader (const struct fsim *s)
{
  for (int i = 0; i < s->n_inst; i++)
    if (s->inst[i]->up && !s->inst[i]->frozen && s->inst[i]->fleet.fsched
        && s->inst[i]->fleet.fsched->loaded
        && leader_lease_valid (&s->inst[i]->fleet.leader, s->now_ms))
      return i;
  return -1;
}

/* struct held_request - a caller's request that waits in the socket of a
   frozen process */
struct held_request
{
  int inst; /* index of the instance */
  uint64_t incarnation;
  struct fleet_request rq; /* owns its path, body and key */
};

static void
pass_request (struct fsim *s, int i, const struct fleet_request *rq)
{
  fleet_request (&s->inst[i]->fleet, s->now_ms,
                 s->wall_start_ms + s->now_ms + s->inst[i]->clock_offset_ms,
                 rq);
  fsim_process_outputs (s, i);
}

static void
deliver_held_request (struct fsim *s, void *arg)
{
  struct held_request *h = arg;

  if (s->inst[h->inst]->up && s->inst[h->inst]->incarnation == h->incarnation)
    pass_request (s, h->inst, &h->rq);
  free ((char *)h->rq.path);
  free ((char *)h->rq.body);
  free ((char *)h->rq.key);
  free (h);
}

/* Passes a copy of @rq to instance @i once its process is no longer frozen. */
static void
hold_request (struct fsim *s, int i, const struct fleet_request *rq)
{
  struct held_request *h = calloc (1, sizeof *h);

  if (!h)
    abort ();
  h->inst = i;
  h->incarnation = s->inst[i]->incarnation;
  h->rq = *rq;
  h->rq.path = strdup (rq->path);
  h->rq.body = rq->body ? strdup (rq->body) : NULL;
  h->rq.key = rq->key ? strdup (rq->key) : NULL;
  fsim_schedule (s, fsim_hold_input (s, i), deliver_held_request, h);
}

size_t
fsim_request (struct fsim *s, int instance, int verb, const char *path,
              const char *body, const char *key)
{
  struct fleet_request rq = { 0 };
  struct fsim_call *c;

  s->calls = realloc (s->calls, (s->n_calls + 1) * sizeof *s->calls);
  c = &s->calls[s->n_calls++];
  memset (c, 0, sizeof *c);
  c->call_id = s->n_calls;
  c->sent_ms = s->now_ms;
  c->instance = instance;
  c->verb = verb;
  clb_copy (c->id, strrchr (path, '/') + 1, sizeof c->id);
  rq.request_id = c->call_id;
  rq.verb = verb;
  rq.host = "h";
  rq.path = path;
  rq.key = key;
  rq.timeout_ms = 3000;
  rq.body = body;
  rq.body_len = body ? strlen (body) : 0;
  if (!s->inst[instance]->up)
    return s->n_calls - 1;
  if (s->inst[instance]->frozen)
    hold_request (s, instance, &rq);
  else
    pass_request (s, instance, &rq);
  return s->n_calls - 1;
}

void
fsim_free (struct fsim *s)
{
  struct fjob *j, *next;

  for (int i = 0; i < s->n_inst; i++)
    fsim_kill_instance (s, i);
  /* Executing the remaining events frees the outstanding messages: none is
     delivered, as no instance is up. */
  s->shutting_down = true;
  while (s->n_events)
    {
      struct fsim_event e = pop_event (s);
      s->now_ms = e.due_ms;
      e.fn (s, e.arg);
    }
  for (int i = 0; i < s->n_inst; i++)
    free (s->inst[i]);
  for (size_t i = 0; i < s->n_calls; i++)
    free (s->calls[i].body);
  free (s->calls);
  RB_FOREACH_SAFE (j, fjob_tree, &s->jobs, next)
    {
      RB_REMOVE (fjob_tree, &s->jobs, j);
      codec_free (&job_spec_desc, &j->spec);
      fcheckpoint_free (j);
      free (j->stats);
      free (j);
    }
  for (int i = 0; i < s->n_exec; i++)
    {
      free (s->exec[i]->past_runs);
      free (s->exec[i]->runs);
      free (s->exec[i]->ends);
      free (s->exec[i]);
    }
  ftable_free (&s->table);
  free (s->limits);
  free (s->events);
  free (s);
}

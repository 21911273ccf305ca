#include "estim.h"

#include "ablate.h"

#include <math.h>

/* Factor by which the weight of a run falls with each later run. */
static const double DECAY = 1 - 1 / 256.0;
/* Sum of weights from which on the prediction differs from the estimate. */
static const double WEIGHT_MIN = 12;
/* Largest spread. */
static const double SPREAD_MAX = 3;

static double
log_ms (int64_t ms)
{
  return log (ms > 1 ? (double)ms : 1);
}

void
estim_add (struct estim *e, int64_t estimate_ms, int64_t run_ms)
{
  double estimate = log_ms (estimate_ms);
  double run = log_ms (run_ms);
  double from_estimate, from_run, share;

  e->weight = e->weight * DECAY + 1;
  share = 1 / e->weight;
  from_estimate = estimate - e->mean_estimate;
  from_run = run - e->mean_run;
  e->mean_estimate += share * from_estimate;
  e->mean_run += share * from_run;
  e->sum_ee
      = DECAY * e->sum_ee + from_estimate * (estimate - e->mean_estimate);
  e->sum_er = DECAY * e->sum_er + from_estimate * (run - e->mean_run);
  e->sum_rr = DECAY * e->sum_rr + from_run * (run - e->mean_run);
}

/* Returns the slope of the regression: 0 if the estimates tell nothing, 1 if
   the run times are proportional to them. */
static double
slope (const struct estim *e)
{
  if (e->sum_ee <= 0 || e->sum_er <= 0)
    return 0;
  return e->sum_er < e->sum_ee ? e->sum_er / e->sum_ee : 1;
}

int64_t
estim_predict (const struct estim *e, int64_t estimate_ms)
{
  if (e->weight < WEIGHT_MIN || ABLATED (PREDICTIONS))
    return estimate_ms;
  return (int64_t)exp (
      e->mean_run + slope (e) * (log_ms (estimate_ms) - e->mean_estimate));
}

double
estim_spread (const struct estim *e)
{
  double b = slope (e);
  double variance, spread;

  if (e->weight < WEIGHT_MIN || ABLATED (UNCERTAINTY))
    return 1;
  variance = (e->sum_rr - 2 * b * e->sum_er + b * b * e->sum_ee) / e->weight;
  spread = variance > 0 ? exp (sqrt (variance)) : 1;
  return spread < SPREAD_MAX ? spread : SPREAD_MAX;
}

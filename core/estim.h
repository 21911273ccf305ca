/**
 * DOC: Prediction of run times.  Submitters' estimates are rough: within a
 * queue, run times differ less than the estimates do, and are longer or
 * shorter than these on average.  A predictor learns from steps that have
 * ended how the run time depends on the estimate.
 *
 * The predictor is a linear regression of the logarithm of the run time on the
 * logarithm of the estimate, in which the weight of a run falls with each
 * later one.
 */
#ifndef ESTIM_H
#define ESTIM_H

#include <stdint.h>

/** struct estim - a predictor of run times; an empty one is all zero */
struct estim
{
  double weight; /* sum of the weights of all runs */
  /* Weighted means of the logarithms of estimate and run time. */
  double mean_estimate;
  double mean_run;
  /* Weighted sums of the products of deviations from the means. */
  double sum_ee; /* estimate with itself */
  double sum_er; /* estimate with run time */
  double sum_rr; /* run time with itself */
};

/**
 * estim_add() - Add the run time of a step that has ended.
 * @estimate_ms: the submitter's estimate
 * @run_ms: the run time
 *
 * Times below 1 ms count as 1 ms.
 */
void estim_add (struct estim *e, int64_t estimate_ms, int64_t run_ms);
/**
 * estim_predict() - Predict a run time in milliseconds.
 *
 * Until enough runs were added, the prediction is the estimate.
 */
int64_t estim_predict (const struct estim *e, int64_t estimate_ms);
/**
 * estim_spread() - Return the factor, at least 1, by which a run time exceeds
 * its prediction if it is one standard deviation longer; 1 until enough runs
 * were added.
 */
double estim_spread (const struct estim *e);

#endif

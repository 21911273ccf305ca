/* Tests of the withdrawals that the leader knows, and of their removal. */
#include "withdraw.h"
#include "unit.h"

#include <stdlib.h>
#include <string.h>

enum
{
  TABLE_MS = 5000000, /* the table's clock at time 0 of the leader's */
};

/* struct fixture - withdrawals, and the calls that they make */
struct fixture
{
  struct outq out;
  uint64_t last_token;
  struct withdrawals w;
};

static void
begin (struct fixture *x)
{
  memset (x, 0, sizeof *x);
  TAILQ_INIT (&x->out);
  withdrawals_init (&x->w, &x->out, &x->last_token);
}

static void
end (struct fixture *x)
{
  struct out *o;

  withdrawals_clear (&x->w);
  while ((o = out_take (&x->out)))
    out_free (o);
}

/* Formats the id of job @n, in the part @part. */
static const char *
job_id (int n, int part)
{
  static char id[32];

  snprintf (id, sizeof id, "%014x%02x", n, part);
  return id;
}

/* Passes the row of a withdrawal that was made at @withdrawn_ms on the table's
   clock and read at @now_ms. */
static void
add (struct fixture *x, int64_t now_ms, const char *id, int64_t ver,
     int64_t withdrawn_ms)
{
  clb_auto char *text = withdrawal_text (withdrawn_ms);

  CU_ASSERT_TRUE (withdrawals_row (&x->w, now_ms, id, ver, text));
}

/* Runs all ticks from @from_ms to @to_ms.  Return: the number of rows that are
   removed by then; *@token is set to the token of the last removal. */
static int
tick (struct fixture *x, int64_t from_ms, int64_t to_ms, bool clock_known,
      uint64_t *token)
{
  struct out *o;
  int n = 0;

  for (int64_t ms = from_ms; ms <= to_ms; ms += 50)
    {
      withdrawals_tick (&x->w, ms, clock_known ? TABLE_MS + ms : 0);
      while ((o = out_take (&x->out)))
        {
          if (o->kind == OUT_STORE)
            {
              CU_ASSERT_EQUAL (o->u.store.op.n_conds, o->u.store.op.n_puts);
              CU_ASSERT (o->u.store.op.n_puts <= WITHDRAWAL_REMOVALS_MAX);
              CU_ASSERT_PTR_NULL (o->u.store.op.puts[0].value);
              n += (int)o->u.store.op.n_puts;
              *token = o->u.store.token;
            }
          out_free (o);
        }
    }
  return n;
}

/* Guards against jobs that are taken for withdrawals, and the other way
   round. */
static void
test_only_withdrawals_are_taken_for_such (void)
{
  clb_auto char *text = withdrawal_text (1234);
  int64_t ms = 0;

  CU_ASSERT_TRUE (withdrawal_parse (text, &ms));
  CU_ASSERT_EQUAL (ms, 1234);
  CU_ASSERT_FALSE (withdrawal_parse (NULL, &ms));
  CU_ASSERT_FALSE (withdrawal_parse ("", &ms));
  CU_ASSERT_FALSE (withdrawal_parse (FSCHED_TRIMMED, &ms));
  CU_ASSERT_FALSE (withdrawal_parse ("{\"id\":\"0000000000000001\"}", &ms));
}

/* Guards against a removal while a submission may still arrive. */
static void
test_withdrawal_stands_for_its_time (void)
{
  struct fixture x;
  uint64_t token = 0;

  begin (&x);
  add (&x, 0, job_id (1, 7), 10, TABLE_MS);
  CU_ASSERT_EQUAL (tick (&x, 0, WITHDRAWAL_HOLD_MS - 50, true, &token), 0);
  CU_ASSERT_EQUAL (
      tick (&x, WITHDRAWAL_HOLD_MS, WITHDRAWAL_HOLD_MS + 20000, true, &token),
      1);
  end (&x);
}

/* Guards against withdrawals that stay for ever as each leader begins to count
   anew. */
static void
test_age_counts_from_before_the_term (void)
{
  struct fixture x;
  uint64_t token = 0;

  begin (&x);
  add (&x, 0, job_id (1, 7), 10, TABLE_MS - WITHDRAWAL_HOLD_MS);
  CU_ASSERT_EQUAL (tick (&x, 0, 20000, true, &token), 1);
  end (&x);
}

/* Guards against withdrawals that stay for ever as the table's clock is not
   known, or began anew. */
static void
test_leaders_clock_counts_too (void)
{
  struct fixture x;
  uint64_t token = 0;

  begin (&x);
  add (&x, 0, job_id (1, 7), 10, 9 * TABLE_MS);
  add (&x, 0, job_id (2, 8), 10, 0);
  CU_ASSERT_EQUAL (tick (&x, 0, WITHDRAWAL_HOLD_MS - 50, false, &token), 0);
  CU_ASSERT_EQUAL (
      tick (&x, WITHDRAWAL_HOLD_MS, WITHDRAWAL_HOLD_MS + 20000, true, &token),
      2);
  end (&x);
}

/* Guards against the removal of a withdrawal that was made anew. */
static void
test_renewed_withdrawal_stands_longer (void)
{
  struct fixture x;
  uint64_t token = 0;

  begin (&x);
  add (&x, 0, job_id (1, 7), 10, TABLE_MS);
  add (&x, 30000, job_id (1, 7), 20, TABLE_MS + 30000);
  CU_ASSERT_EQUAL (x.w.n, 1);
  CU_ASSERT_EQUAL (tick (&x, 30000, WITHDRAWAL_HOLD_MS + 20000, true, &token),
                   0);
  CU_ASSERT_EQUAL (tick (&x, WITHDRAWAL_HOLD_MS + 30000,
                         WITHDRAWAL_HOLD_MS + 50000, true, &token),
                   1);
  end (&x);
}

/* Guards against withdrawals that accumulate faster than they are removed. */
static void
test_many_withdrawals_of_a_part_are_removed (void)
{
  struct fixture x;
  struct store_rep done = { 0 };
  int64_t ms = WITHDRAWAL_HOLD_MS;
  uint64_t token = 0;

  begin (&x);
  for (int i = 0; i < 3 * WITHDRAWAL_REMOVALS_MAX; i++)
    add (&x, 0, job_id (i, 7), 10 + i, TABLE_MS);
  for (int i = 0; i < 3; i++)
    {
      int n = tick (&x, ms, ms + 20000, true, &token);
      CU_ASSERT_EQUAL (n, WITHDRAWAL_REMOVALS_MAX);
      ms += 20050;
      CU_ASSERT_TRUE (withdrawals_store_reply (&x.w, ms, token, &done));
    }
  CU_ASSERT_EQUAL (x.w.n, 0);
  CU_ASSERT_EQUAL (x.w.n_removed, 3 * WITHDRAWAL_REMOVALS_MAX);
  end (&x);
}

/* Guards against removals that fail for ever as one row has changed. */
static void
test_removal_goes_on_after_a_conflict (void)
{
  struct fixture x;
  int64_t ms = WITHDRAWAL_HOLD_MS;
  clb_auto char *renewed = withdrawal_text (TABLE_MS + ms);
  struct row rows[] = { { "job:7/0000000000000107", 10, NULL },
                        { "job:7/0000000000000207", 99, NULL } };
  struct store_rep conflict
      = { .err = CLB_ECONFLICT, .rows = rows, .n_rows = 2 };
  struct store_rep done = { 0 };
  clb_auto char *text = withdrawal_text (TABLE_MS);
  uint64_t token = 0;

  begin (&x);
  for (int i = 1; i <= 3; i++)
    add (&x, 0, job_id (i, 7), 10, TABLE_MS);
  CU_ASSERT_EQUAL (tick (&x, ms, ms + 20000, true, &token), 3);
  rows[0].value = text;
  rows[1].value = renewed;
  CU_ASSERT_TRUE (
      withdrawals_store_reply (&x.w, ms + 20000, token, &conflict));
  CU_ASSERT_EQUAL (x.w.n, 2);
  CU_ASSERT_EQUAL (tick (&x, ms + 20050, ms + 40000, true, &token), 1);
  CU_ASSERT_TRUE (withdrawals_store_reply (&x.w, ms + 40000, token, &done));
  CU_ASSERT_EQUAL (x.w.n, 1);
  end (&x);
}

/* Guards against removals that are not repeated after a lost answer, and
   against memory that keeps rows which are gone. */
static void
test_lost_answer_and_deleted_row (void)
{
  struct fixture x;
  struct store_rep lost = { .err = CLB_EOUTCOME };
  int64_t ms = WITHDRAWAL_HOLD_MS;
  uint64_t token = 0;

  begin (&x);
  add (&x, 0, job_id (1, 7), 10, TABLE_MS);
  CU_ASSERT_EQUAL (tick (&x, ms, ms + 20000, true, &token), 1);
  CU_ASSERT_TRUE (withdrawals_store_reply (&x.w, ms + 20000, token, &lost));
  CU_ASSERT_EQUAL (tick (&x, ms + 20050, ms + 45000, true, &token), 1);
  CU_ASSERT_FALSE (
      withdrawals_row (&x.w, ms + 45000, job_id (1, 7), 50, NULL));
  CU_ASSERT_EQUAL (x.w.n, 0);
  end (&x);
}

UNIT_MAIN ("withdraw",
           { "only withdrawals are taken for such",
             test_only_withdrawals_are_taken_for_such },
           { "a withdrawal stands for its time",
             test_withdrawal_stands_for_its_time },
           { "the age counts from before the term",
             test_age_counts_from_before_the_term },
           { "the leader's clock counts too", test_leaders_clock_counts_too },
           { "a renewed withdrawal stands longer",
             test_renewed_withdrawal_stands_longer },
           { "many withdrawals of a part are removed",
             test_many_withdrawals_of_a_part_are_removed },
           { "removal goes on after a conflict",
             test_removal_goes_on_after_a_conflict },
           { "a lost answer and a deleted row",
             test_lost_answer_and_deleted_row })

/* Tests of the lookup of queues in the fleet's configuration. */
#include "fconf.h"
#include "unit.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  N_QUEUES = 300,
  N_LOOKUPS = 20000,
  PREFIX_MAX = 8, /* longest random prefix, in bytes */
};

static uint64_t rng_state = 88172645463325252ULL;

/* Return: a pseudorandom number from 0 up to, but not including, @n. */
static size_t
next_random (size_t n)
{
  rng_state ^= rng_state << 13;
  rng_state ^= rng_state >> 7;
  rng_state ^= rng_state << 17;
  return (size_t)(rng_state % n);
}

/* Writes a path of two letters and slashes to @out, so that many paths begin
   with each other. */
static void
random_path (char *out, size_t len_max)
{
  size_t len = 1 + next_random (len_max);

  for (size_t i = 0; i < len; i++)
    out[i] = i ? "ab/"[next_random (3)] : '/';
  out[len] = '\0';
}

/* Return: the queue of @host with the longest prefix that @path begins with,
   found by looking at each queue; NULL if there is none. */
static const struct fconf_queue *
search_all_queues (const struct fconf *c, const char *host, const char *path)
{
  const struct fconf_queue *best = NULL;

  for (size_t i = 0; i < c->n_queues; i++)
    {
      const struct fconf_queue *q = &c->queues[i];
      if (strcasecmp (q->host, host) == 0
          && strncmp (q->prefix, path, strlen (q->prefix)) == 0
          && (!best || strlen (q->prefix) > strlen (best->prefix)))
        best = q;
    }
  return best;
}

static void
test_longest_prefix_is_found (void)
{
  static const char *const hosts[]
      = { "a.example", "A.example", "b.example", "c.example" };
  struct fconf c = { .n_queues = N_QUEUES };
  int n_wrong = 0;
  int n_found = 0;

  c.queues = calloc (N_QUEUES, sizeof *c.queues);
  if (!c.queues)
    abort ();
  for (size_t i = 0; i < N_QUEUES; i++)
    {
      clb_copy (c.queues[i].host, hosts[next_random (3)], FCONF_HOST_SIZE);
      random_path (c.queues[i].prefix, PREFIX_MAX);
    }
  fconf_sort_queues (&c);
  for (int i = 0; i < N_LOOKUPS; i++)
    {
      char path[2 * PREFIX_MAX + 1];
      const char *host = hosts[next_random (4)];
      const struct fconf_queue *expected, *found;
      random_path (path, 2 * PREFIX_MAX);
      expected = search_all_queues (&c, host, path);
      found = fconf_queue_for (&c, host, path);
      n_found += found != NULL;
      /* Several queues may have the same prefix. */
      n_wrong += !expected != !found
                 || (found && strcmp (found->prefix, expected->prefix) != 0);
    }
  CU_ASSERT_EQUAL (n_wrong, 0);
  CU_ASSERT (n_found > N_LOOKUPS / 4 && n_found < N_LOOKUPS);
  free (c.queues);
}

static void
test_long_paths_and_hosts (void)
{
  struct fconf c = { .n_queues = 1 };
  char host[FCONF_HOST_SIZE + 10];
  char path[FCONF_PREFIX_SIZE + 10];

  c.queues = calloc (1, sizeof *c.queues);
  if (!c.queues)
    abort ();
  memset (host, 'h', sizeof host);
  memset (path, '/', sizeof path);
  host[sizeof host - 1] = path[sizeof path - 1] = '\0';
  clb_copy (c.queues[0].host, host, FCONF_HOST_SIZE);
  clb_copy (c.queues[0].prefix, path, FCONF_PREFIX_SIZE);
  CU_ASSERT_PTR_NULL (fconf_queue_for (&c, host, path));
  CU_ASSERT_PTR_EQUAL (fconf_queue_for (&c, c.queues[0].host, path),
                       &c.queues[0]);
  free (c.queues);
}

static void
test_no_queues (void)
{
  struct fconf c = { 0 };

  CU_ASSERT_PTR_NULL (fconf_queue_for (&c, "h", "/"));
}

UNIT_MAIN ("fconf",
           { "the longest prefix is found", test_longest_prefix_is_found },
           { "paths and hosts longer than those of queues are looked up",
             test_long_paths_and_hosts },
           { "nothing is found without queues", test_no_queues })

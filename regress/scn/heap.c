/* Binary heap of the sent messages, ordered by arrival. */
#include "world.h"

#include <stdlib.h>

/* Whether @a arrives before @b; of two messages that arrive at the same time,
   the one queued first is before the other. */
static bool
arrives_before (const struct sim_message *a, const struct sim_message *b)
{
  return a->arrival_ms < b->arrival_ms
         || (a->arrival_ms == b->arrival_ms && a->push_seq < b->push_seq);
}

void
world_push (struct world *w, struct sim_message *msg)
{
  size_t i = w->n_heap++;

  if (w->n_heap > w->cap_heap)
    {
      w->cap_heap = 2 * w->cap_heap + 64;
      w->heap = realloc (w->heap, w->cap_heap * sizeof (void *));
      if (!w->heap)
        abort ();
    }
  msg->push_seq = ++w->last_push_seq;
  w->heap[i] = msg;
  while (i > 0 && arrives_before (w->heap[i], w->heap[(i - 1) / 2]))
    {
      struct sim_message *parent = w->heap[(i - 1) / 2];
      w->heap[(i - 1) / 2] = w->heap[i];
      w->heap[i] = parent;
      i = (i - 1) / 2;
    }
}

struct sim_message *
world_pop (struct world *w)
{
  struct sim_message *top = w->heap[0];
  size_t i = 0;

  w->heap[0] = w->heap[--w->n_heap];
  for (;;)
    {
      size_t first = i;
      for (size_t child = 2 * i + 1; child <= 2 * i + 2 && child < w->n_heap;
           child++)
        if (arrives_before (w->heap[child], w->heap[first]))
          first = child;
      if (first == i)
        return top;
      struct sim_message *moved = w->heap[i];
      w->heap[i] = w->heap[first];
      w->heap[first] = moved;
      i = first;
    }
}

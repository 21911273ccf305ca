/* Binary heap of the messages on their way, ordered by arrival time. */
#include "world.h"

#include <stdlib.h>

static bool
arrives_before (const struct event_item *a, const struct event_item *b)
{
  return a->at_ms < b->at_ms || (a->at_ms == b->at_ms && a->seq < b->seq);
}

void
world_push (struct world *w, struct event_item *it)
{
  size_t i = w->n_heap++;

  if (w->n_heap > w->cap_heap)
    {
      w->cap_heap = 2 * w->cap_heap + 64;
      w->heap = realloc (w->heap, w->cap_heap * sizeof (void *));
      if (!w->heap)
        abort ();
    }
  it->seq = ++w->seq;
  w->heap[i] = it;
  while (i > 0 && arrives_before (w->heap[i], w->heap[(i - 1) / 2]))
    {
      struct event_item *parent = w->heap[(i - 1) / 2];
      w->heap[(i - 1) / 2] = w->heap[i];
      w->heap[i] = parent;
      i = (i - 1) / 2;
    }
}

struct event_item *
world_pop (struct world *w)
{
  struct event_item *top = w->heap[0];
  size_t i = 0;

  w->heap[0] = w->heap[--w->n_heap];
  for (;;)
    {
      size_t first = i;
      for (size_t c = 2 * i + 1; c <= 2 * i + 2 && c < w->n_heap; c++)
        if (arrives_before (w->heap[c], w->heap[first]))
          first = c;
      if (first == i)
        return top;
      struct event_item *t = w->heap[i];
      w->heap[i] = w->heap[first];
      w->heap[first] = t;
      i = first;
    }
}

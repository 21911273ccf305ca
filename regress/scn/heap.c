/* What is on its way, in the order of its arrival. */
#include "world.h"

#include <stdlib.h>

static bool
before (const struct event_item *a, const struct event_item *b)
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
  while (i > 0 && before (w->heap[i], w->heap[(i - 1) / 2]))
    {
      struct event_item *up = w->heap[(i - 1) / 2];
      w->heap[(i - 1) / 2] = w->heap[i];
      w->heap[i] = up;
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
      size_t small = i;
      for (size_t c = 2 * i + 1; c <= 2 * i + 2 && c < w->n_heap; c++)
        if (before (w->heap[c], w->heap[small]))
          small = c;
      if (small == i)
        return top;
      struct event_item *t = w->heap[i];
      w->heap[i] = w->heap[small];
      w->heap[small] = t;
      i = small;
    }
}

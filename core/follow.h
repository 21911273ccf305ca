/**
 * DOC: Follows a table of the platform: lists all its parts at once, then
 * takes its changes in order; lists it again when the platform has dropped the
 * history between.
 */
#ifndef FOLLOW_H
#define FOLLOW_H

#include "msg.h"

enum
{
  FOLLOW_RETRY_MS = 150, /* after a failed call */
  FOLLOW_PARTS_MAX = 8,
};

enum follow_event
{
  FOLLOW_NONE,
  FOLLOW_PAGE,   /* rows of the list */
  FOLLOW_LISTED, /* the last page of the list */
  FOLLOW_CHANGES,
};

/** struct follow_list - the list of one part under way */
struct follow_list
{
  uint64_t token; /* outstanding call; 0: none */
  int64_t sent_ms;
  char *after; /* last key */
  bool done;
};

struct follow
{
  char table[CLB_NAME_MAX];
  int parts;        /* numbered from 0; 0: the table has one unnamed part */
  int64_t wait_ms;  /* a feed's answer waits so long for a change */
  int64_t batch_ms; /* changes of this long are fetched together */
  struct outq *out;
  uint64_t *tokens;
  bool active;
  bool listed;
  struct follow_list lists[FOLLOW_PARTS_MAX];
  int64_t list_ver; /* the feed goes on from here once listed */
  int64_t ver;
  uint64_t token; /* of the feed */
  int64_t sent_ms;
  int64_t next_ms;
  int64_t fresh_ms; /* the last answer was asked for then */
};

void follow_init (struct follow *f, const char *table, int parts,
                  int64_t wait_ms, struct outq *out, uint64_t *tokens);
/** follow_start() - Begin with a list, whatever was known. */
void follow_start (struct follow *f, int64_t now_ms);
void follow_stop (struct follow *f);
void follow_tick (struct follow *f, int64_t now_ms);
/** follow_owns() - Whether @token is a call of this module under way. */
bool follow_owns (const struct follow *f, uint64_t token);
/**
 * follow_store_reply() - The answer to a call of this module.
 * @mine: whether @token was one
 * @take: whether the rows may be used; else they are asked for again
 *
 * Return: enum follow_event; @rep's rows are then to be used.
 */
int follow_store_reply (struct follow *f, int64_t now_ms, uint64_t token,
                        const struct store_rep *rep, bool take, bool *mine);

#endif

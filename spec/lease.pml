/*
 * The lease on a cell, its fencing and its expiry, with lost answers, delayed orders and process pauses.
 *
 * Two daemons contend for one row of a table and send orders to one engine. A pause is any period in which a
 * process is not scheduled, so a process may be paused between any two steps. Time is a counter.
 *
 * Properties (assertions at the engine):
 *   AUTHORITY  an accepted order carries the epoch that the table has at that time
 *   CONFLICT   epochs of accepted orders never decrease
 * Broken variants: NO_EXPIRY, NO_FENCE, GUESS_SUCCESS, VALID_FROM_ANSWER, RELEASE_EARLY.
 */
#ifndef MAXTIME
#define MAXTIME 5
#endif
#define DURATION 1
#define MAXREVISION 3
#define DAEMONS 2
#define NOBODY 255

byte now = 0;

/* The table row. Acquiring the lease increments revision and epoch; a renewal increments only the revision. */
byte rowRevision = 0;
byte rowEpoch = 0;
byte rowHolder = NOBODY;

/* Orders in flight to the engine: epoch and expiry. They arrive in any order and at any time. */
chan orders = [1] of { byte, byte };

byte engineEpoch = 0;
#ifdef CHECK_CONFLICT
byte lastAcceptedEpoch = 0;
#endif

active proctype Clock() {
  do
  :: now < MAXTIME -> now++
  :: now == MAXTIME -> break
  od
}

active proctype Engine() {
  byte epoch, expires;
  do
  :: atomic {
       orders ?? epoch, expires ->
       if
#ifndef NO_FENCE
       :: epoch != engineEpoch -> skip                       /* not sealed with this epoch */
#endif
#ifndef NO_EXPIRY
       :: now >= expires -> skip
#endif
       :: else ->
#ifdef CHECK_CONFLICT
          assert(epoch >= lastAcceptedEpoch);
          lastAcceptedEpoch = epoch
#else
          assert(epoch == rowEpoch)
#endif
       fi;
       epoch = 0; expires = 0
     }
  :: now == MAXTIME -> break
  od
}

active [DAEMONS] proctype Daemon() {
  byte me = _pid % DAEMONS;
  byte seenRevision = 0, seenEpoch = 0, seenHolder = NOBODY, seenSince = 0;
  byte epoch = 0, validUntil = 0, sentAt = 0, expectRevision = 0, wantEpoch = 0;
  bool held = false, committed = false;
  byte any;
  do
  :: now == MAXTIME -> break
  /* A contender reads the row. */
  :: atomic { !held && rowRevision != seenRevision ->
       seenRevision = rowRevision; seenEpoch = rowEpoch; seenHolder = rowHolder; seenSince = now
     }
  /* Acquire a free or expired lease, or renew a held one: the request is sent here ... */
  :: atomic { (held || seenHolder == NOBODY || seenHolder == me || now - seenSince > DURATION) && rowRevision < MAXREVISION ->
       sentAt = now;
       expectRevision = seenRevision;
       if
       :: held -> wantEpoch = epoch
       :: else -> wantEpoch = seenEpoch + 1
       fi
     };
     /* ... takes effect here, or not ... */
     atomic {
       if
       :: rowRevision == expectRevision ->
          rowRevision++; rowEpoch = wantEpoch; rowHolder = me; committed = true
       :: else -> committed = false
       fi
     };
     /* ... and the answer arrives here, or is lost. */
     atomic {
       if
       :: committed ->
          held = true; epoch = wantEpoch; seenRevision = expectRevision + 1; seenEpoch = wantEpoch; seenHolder = me;
#ifdef VALID_FROM_ANSWER
          validUntil = now + DURATION
#else
          validUntil = sentAt + DURATION
#endif
       :: !committed -> held = false
       :: true ->                                             /* lost */
#ifdef GUESS_SUCCESS
          held = true; epoch = wantEpoch; validUntil = sentAt + DURATION
#else
          /* The same write is sent again until the table returns its outcome; until then it extends no lease. */
          if
          :: held && rowHolder == me && rowEpoch == epoch -> seenRevision = rowRevision
          :: else -> held = false
          fi
#endif
       fi;
       sentAt = 0; expectRevision = 0; wantEpoch = 0; committed = false
     }
  /* Send an order: the lease is checked here, and the order sent after a pause of any length. */
  :: held && now < validUntil && nfull(orders) -> atomic { nfull(orders) -> orders ! epoch, validUntil }
  /* Seal the engine with the current epoch. */
  :: atomic { held && now < validUntil && epoch > engineEpoch -> engineEpoch = epoch }
  :: atomic { held && now >= validUntil -> held = false; validUntil = 0 }
  /* Release the lease early, so that a successor need not wait; only when no order is in flight. */
#ifdef RELEASE_EARLY
  :: atomic { held && rowRevision == seenRevision && rowRevision < MAXREVISION ->
#else
  :: atomic { held && rowRevision == seenRevision && rowRevision < MAXREVISION && !(orders ?? [eval(epoch), any]) ->
#endif
       rowRevision++; rowHolder = NOBODY; held = false; validUntil = 0;
       seenRevision = rowRevision; seenHolder = NOBODY
     }
  od
}

/*
 * Propagation of the configuration: a table, a replica that polls it, a second replica that pulls from the first,
 * answers with arbitrary delays, and a restart that loses all state.
 *
 * Properties:
 *   REVERT  the revision in force at a running replica never decreases
 *   FORCE   a replica that admits requests has every revision committed more than STALENESS ago
 * Broken variants: NO_COMPARE, AGE_FROM_ARRIVAL, READY_AT_START, CONFIRM_AT_ANSWER.
 */
#ifndef MAXTIME
#define MAXTIME 4
#endif
#define STALENESS 1
#define REVISIONS 1

byte now = 0;
byte revision = 0;
byte commitTime[REVISIONS + 1];

/* A replica: the revision in force, the latest time at which it is known to have been current, whether it has one. */
byte inForce[2];
byte confirmedAt[2];
bool knows[2];

/* Answers in flight to each replica: revision, time of the request, age of the revision at the answer. */
chan answers0 = [2] of { byte, byte, byte };
chan answers1 = [1] of { byte, byte, byte };

active proctype Clock() {
  do
  :: now < MAXTIME -> now++
  :: now == MAXTIME -> break
  od
}

active proctype Operator() {
  do
  :: revision < REVISIONS -> atomic { revision++; commitTime[revision] = now }
  :: revision == REVISIONS -> break
  od
}

inline admit(me) {
  atomic {
    if
#ifdef READY_AT_START
    :: now - confirmedAt[me] <= STALENESS ->
#else
    :: knows[me] && now - confirmedAt[me] <= STALENESS ->
#endif
       if
       :: inForce[me] < revision -> assert(now - commitTime[inForce[me] + 1] <= STALENESS)
       :: else -> skip
       fi
    :: else -> skip
    fi
  }
}

inline apply(me, newRevision, at) {
#ifdef NO_COMPARE
    assert(newRevision >= inForce[me]);
    inForce[me] = newRevision;
#else
    if
    :: newRevision > inForce[me] -> inForce[me] = newRevision
    :: else -> skip
    fi;
#endif
    knows[me] = true;
    if
    :: at > confirmedAt[me] -> confirmedAt[me] = at
    :: else -> skip
    fi
}

/* Replica 0 polls the table. Two requests may be in flight at once, and their answers may be reordered. */
active proctype Poller() {
  byte r, sent, age, restarts = 0;
  do
  :: now == MAXTIME -> break
  :: atomic { nfull(answers0) -> answers0 ! revision, now, 0 }
  :: atomic { len(answers0) == 2 -> answers0 ? r, sent, age; answers0 ! r, sent, age; r = 0; sent = 0; age = 0 }
  :: atomic { answers0 ? r, sent, age ->
#ifdef CONFIRM_AT_ANSWER
       apply(0, r, now);
#else
       apply(0, r, sent);
#endif
       r = 0; sent = 0; age = 0
     }
  :: admit(0)
  :: atomic { restarts == 0 -> restarts = 1; knows[0] = false; inForce[0] = 0; confirmedAt[0] = now;
       do :: answers0 ? r, sent, age :: empty(answers0) -> break od; r = 0; sent = 0; age = 0 }
  od
}

/* Replica 1 pulls from replica 0, whose answer contains the age of its revision at that time. */
active proctype Puller() {
  byte r, sent, age;
  do
  :: now == MAXTIME -> break
  :: atomic { nfull(answers1) && knows[0] -> sent = now }
     /* the request is in flight */
     atomic { if :: knows[0] -> answers1 ! inForce[0], sent, now - confirmedAt[0] :: else -> skip fi; sent = 0 }
  :: atomic { answers1 ? r, sent, age ->
       if
#ifdef AGE_FROM_ARRIVAL
       :: now >= age -> apply(1, r, now - age)
#else
       :: sent >= age -> apply(1, r, sent - age)
#endif
       :: else -> apply(1, r, 0)
       fi;
       r = 0; sent = 0; age = 0
     }
  :: admit(1)
  od
}

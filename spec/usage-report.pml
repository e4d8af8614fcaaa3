/*
 * Reports of one window's usage. Two daemons take themselves for the holder of the duties, one after the other or at once: leases are
 * not modelled, the reports must hold without them. Each has heard of other counts than the other, and of more at each try. What is sent is
 * first written to the store under the condition that nothing stands there. Writes may be done without an answer, or late; calls
 * may be carried out late, and any daemon may stand still between any two steps.
 *
 * Property:
 *   SAME  all reports of the window that the platform takes have the same counts
 * Broken variants: NO_WRITE (each sends what it has counted), IGNORE_CONFLICT (sends its own counts though others stand there),
 * GUESS_SUCCESS (a write without an answer is taken for done), KEEP_COUNTS (its own counts are sent after a write that conflicted
 * because an earlier try of its own was done late).
 */
#define TRIES 2
#define NOTHING 0

/* Counts in the store, and those of the first report that the platform took. */
byte row = NOTHING;
byte taken = NOTHING;

inline write(counts) {
  if
  :: row == NOTHING -> row = counts
  :: else -> skip
  fi
}

inline take(counts) {
  atomic {
    if
    :: taken == NOTHING -> taken = counts
    :: else -> assert(taken == counts)
    fi
  }
}

proctype LateWrite(byte counts) {
  atomic { write(counts) }
}

proctype LateCall(byte counts) {
  take(counts)
}

proctype Holder(byte first) {
  byte counts = first;
  byte sending;
  byte tries = 0;
  do
  :: tries < TRIES ->
     tries++;
     counts++;
     sending = NOTHING;
#ifdef NO_WRITE
     sending = counts;
#else
     if
     :: true ->
        atomic {
          if
          :: row == NOTHING -> row = counts; sending = counts
#if defined(IGNORE_CONFLICT)
          :: else -> sending = counts
#elif defined(KEEP_COUNTS)
          :: row > first && row < first + 4 -> sending = counts
          :: else -> sending = row
#else
          :: else -> sending = row
#endif
          fi
        }
     :: true ->
        atomic { write(counts) }
#ifdef GUESS_SUCCESS
        sending = counts
#endif
     :: run LateWrite(counts);
#ifdef GUESS_SUCCESS
        sending = counts
#endif
     fi;
#endif
     if
     :: sending != NOTHING -> take(sending)
     :: sending != NOTHING -> run LateCall(sending)
     :: sending == NOTHING -> skip
     fi
  :: else -> break
  od
}

init {
  atomic {
    run Holder(10);
    run Holder(20)
  }
}

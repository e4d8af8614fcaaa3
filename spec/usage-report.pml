/*
 * Reports of the usage of one window. Two daemons consider themselves the holder of the duties, one after the other or at once: leases
 * are not modelled, as the property must hold without them. Each has received other counts than the other, and more at each try. A report
 * is first written to the store, on the condition that the store has none. Writes may be applied without an answer, or late; calls may be
 * executed late, and any daemon may be paused between any two steps.
 *
 * Property:
 *   SAME  all reports of the window that the platform accepts have the same counts
 * Broken variants: NO_WRITE (each daemon sends its local counts), IGNORE_CONFLICT (local counts are sent although the store has others),
 * GUESS_SUCCESS (a write without an answer is taken as applied), KEEP_COUNTS (local counts are sent after a write that conflicted
 * with an earlier, late write of the same daemon).
 */
#define TRIES 2
#define NOTHING 0

/* Counts in the store, and those of the first report that the platform accepted. */
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

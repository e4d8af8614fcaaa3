/*
 * The claims of requests that may be executed once only: two daemons, one key, a table that returns the same
 * answer for the same write id, answers lost after the write took effect, a caller that retries, broken connections.
 *
 * Property: ONCE  the request is executed at most once
 *           TRUTH a request answered as "not executed" was not executed by that attempt
 * Broken variants: GUESS_SUCCESS, RESEND_BROKEN, RELEASE_BROKEN.
 */
#define FREE 0
#define NONE 255

byte claim = FREE;          /* which attempt holds the claim; FREE for none */
byte executions = 0;
byte attempts = 0;

/* Each attempt of the caller is handled by one process: the daemon that accepted it. */
proctype Attempt(byte id) {
  bool lost = false, mine = false, answered = false, sent = false, executed = false;
  byte tries = 0;
  /* Claim the key. After a lost answer the same write is sent again, at most twice; then the request is refused. */
  do
  :: tries < 3 ->
     tries++;
     atomic {
       if
       :: claim == FREE -> claim = id
       :: else -> skip
       fi;
       mine = (claim == id);
       if
       :: lost = false
       :: lost = true
       fi
     }
     if
     :: !lost -> answered = true; break
     :: lost ->
#ifdef GUESS_SUCCESS
        answered = true; mine = true; break
#else
        skip
#endif
     fi
  :: tries == 3 -> break
  od;
  if
  :: answered && mine ->
     /* Send it. The connection may fail before, or break after the execution. */
     do
     :: sent = false; break                                  /* not connected */
     :: atomic { executions++; executed = true; sent = true; assert(executions <= 1) }
        if
        :: break                                             /* answered */
        :: true ->                                           /* broken: the outcome is unknown */
#ifdef RESEND_BROKEN
           skip
#else
           break
#endif
        fi
     od;
     if
     :: !sent -> atomic { assert(!executed); claim = FREE }  /* certainly not executed: the claim is released */
#ifdef RELEASE_BROKEN
     :: sent -> claim = FREE
#else
     :: sent -> skip
#endif
     fi
  :: else -> assert(!executed)                               /* refused as "not executed" */
  fi
}

init {
  do
  :: attempts < 3 -> attempts++; run Attempt(attempts)       /* the caller retries at any time */
  :: break
  od
}

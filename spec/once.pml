/*
 * The ledger of requests that may run once: two daemons, one key, a table that repeats the answer of a
 * write id, answers that get lost after the effect, a caller that repeats its request, broken connections.
 *
 * Property: ONCE  the request is executed at most once
 *           TRUTH a request answered as "not run" was not executed by that attempt
 * Broken variants: GUESS_SUCCESS, RESEND_BROKEN, RELEASE_BROKEN.
 */
#define FREE 0
#define NONE 255

byte claim = FREE;          /* which attempt holds the claim; FREE for none */
byte executions = 0;
byte attempts = 0;

/* Each attempt of the caller is handled by one process: the daemon that took it. */
proctype Attempt(byte id) {
  bool lost = false, mine = false, answered = false, sent = false, executed = false;
  byte tries = 0;
  /* Claim. A lost answer is resolved by sending the same write again, at most twice; then it is refused. */
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
     :: sent = false; break                                  /* never connected */
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
     :: !sent -> atomic { assert(!executed); claim = FREE }  /* certainly not run: the key is free again */
#ifdef RELEASE_BROKEN
     :: sent -> claim = FREE
#else
     :: sent -> skip
#endif
     fi
  :: else -> assert(!executed)                               /* refused, "not run" */
  fi
}

init {
  do
  :: attempts < 3 -> attempts++; run Attempt(attempts)       /* the caller repeats whenever it likes */
  :: break
  od
}

/*
 * A tenant's quota within one window, without refill: the bucket of the first owner holds LIMIT tokens, every other starts empty. A daemon
 * requests one token at a time from one owner or the other; requests and answers may be lost or late. Any daemon may consider itself the
 * owner at any time (it believes the other is lost), may hand its bucket over to the other, and may be paused and resume, which empties its
 * bucket. A caller may disconnect while the request is in flight: its token is returned, and the message that reports it may be lost or late.
 * The limit may be lowered; once both owners know of it and the time-out of a request has passed, the lower limit applies.
 *
 * Properties:
 *   SUM    no more than LIMIT tokens are spent over all owners
 *   LOWER  once the lower limit applies, no more than it plus the returned tokens are spent
 * Broken variants: FULL_START (a new owner starts with a full bucket), KEEP_HANDED (the bucket is kept after its handover), NO_CUT
 * (a lower limit does not reduce the bucket), SPEND_LATE (an answer counts after its time-out), CREDIT_TWICE (returned tokens are reported
 * again when no answer came).
 */
#define LIMIT 3
#define LOW 1
#define ASKS 4

short level[2];
bool heard[2];
bool lowered = false;
bool binds = false;
byte spent = 0;
byte spentLow = 0;
byte givenBack = 0;
/* The request whose answer is still accepted; an answer to any other is ignored. */
byte openAsk = 0;

chan asks = [2] of {byte, byte, byte};
chan answers = [2] of {byte, byte};
chan handed = [1] of {byte, short};

inline cut(i) {
  if
  :: heard[i] && level[i] > LOW -> level[i] = LOW
  :: else -> skip
  fi
}

inline credit(i, tokens) {
  level[i] = level[i] + tokens;
  if
  :: level[i] > LIMIT -> level[i] = LIMIT
  :: else -> skip
  fi;
#ifndef NO_CUT
  cut(i);
#endif
  skip
}

proctype Owner(byte i) {
  byte sequence;
  byte back;
  short handedLevel;
end:
  do
  :: atomic {
       asks?eval(i), sequence, back ->
       credit(i, back);
       if
       :: sequence == 0 -> skip
       :: sequence > 0 && level[i] > 0 -> level[i]--; answers!sequence, 1
       :: sequence > 0 && level[i] <= 0 -> answers!sequence, 0
       fi
     }
  :: atomic {
       handed?eval(i), handedLevel ->
       credit(i, handedLevel)
     }
  /* It was paused, or considers itself the owner again. */
  :: atomic { level[i] > 0 && !binds ->
#ifdef FULL_START
       level[i] = LIMIT
#else
       level[i] = 0
#endif
     }
  :: atomic {
       level[i] > 0 && nfull(handed) ->
       handed!(1 - i), level[i];
#ifndef KEEP_HANDED
       level[i] = 0;
#endif
       skip
     }
  :: atomic {
       lowered && !heard[i] ->
       heard[i] = true;
#ifndef NO_CUT
       cut(i);
#endif
       skip
     }
  od
}

/* The network may lose any message. */
proctype Loss() {
  byte a;
  byte b;
  byte c;
  short d;
end:
  do
  :: atomic { asks?a, b, c -> skip }
  :: atomic { answers?a, b -> skip }
  :: atomic { handed?a, d -> skip }
  od
}

proctype Daemon() {
  byte asked = 0;
  byte owner;
  byte sequence;
  byte granted;
  byte back = 0;
  do
  :: asked < ASKS ->
     asked++;
     if
     :: owner = 0
     :: owner = 1
     fi;
     atomic { openAsk = asked; asks!owner, asked, back };
#ifndef CREDIT_TWICE
     back = 0;
#endif
     if
     :: answers?sequence, granted ->
        atomic {
          if
#ifdef SPEND_LATE
          :: granted == 1 ->
#else
          :: granted == 1 && sequence == openAsk ->
#endif
             if
             :: spent++;
                if
                :: binds -> spentLow++
                :: else -> skip
                fi;
                assert(spent <= LIMIT);
                assert(spentLow <= LOW + givenBack)
             :: back = 1; givenBack++
             fi
          :: else -> skip
          fi;
#ifdef CREDIT_TWICE
          if
          :: sequence == openAsk && granted == 0 -> back = 0
          :: else -> skip
          fi;
#endif
          openAsk = 0
        }
     :: openAsk = 0
     fi
  :: else -> break
  od
}

proctype Lower() {
  lowered = true;
  /* One window later, when every earlier request has timed out. */
  atomic { heard[0] && heard[1] && empty(handed) -> openAsk = 0; binds = true }
}

init {
  atomic {
    level[0] = LIMIT;
    run Owner(0);
    run Owner(1);
    run Loss();
    run Daemon();
    run Lower()
  }
}

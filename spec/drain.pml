/*
 * A planned change of an engine in two stages, drain and change, while daemons send it requests, with a lease
 * holder that is replaced in between, duplicated and reordered orders, and an engine that may crash once.
 *
 * Properties:
 *   CUT       a change starts only when the engine has no streams
 *   NOT RUN   a request that the engine rejected was not started
 *   ORDER     accepted orders increase in (epoch, sequence)
 * Broken variants: SKIP_DRAIN, LATE_REFUSAL, NO_SEQUENCE.
 */
#define ACTIVE 0
#define DRAINING 1
#define CHANGING 2
#define DRAIN 0
#define CHANGE 1
#define RESUME 2

byte phase = ACTIVE;
byte streams = 0;
byte engineEpoch = 0, engineSequence = 0;
byte lastEpoch = 0, lastSequence = 0;
byte crashes = 0, reorders = 0;
byte begun = 0;     /* requests started, as a bit set */
byte turnedAway = 0;

chan orders = [3] of { byte, byte, byte };  /* epoch, sequence, action */

inline accept(epoch, sequence) {
  assert(epoch > lastEpoch || (epoch == lastEpoch && sequence > lastSequence));
  lastEpoch = epoch; lastSequence = sequence;
  engineSequence = sequence
}

active proctype Engine() {
  byte epoch, sequence, action;
  do
  :: atomic {
       orders ?? epoch, sequence, action ->
       if
       :: epoch != engineEpoch -> skip
#ifndef NO_SEQUENCE
       :: epoch == engineEpoch && sequence != engineSequence + 1 -> skip
#endif
       :: else ->
          if
          :: action == DRAIN && phase == ACTIVE -> accept(epoch, sequence); phase = DRAINING
          :: action == RESUME && phase == DRAINING -> accept(epoch, sequence); phase = ACTIVE
#ifdef SKIP_DRAIN
          :: action == CHANGE && phase != CHANGING ->
#else
          :: action == CHANGE && phase == DRAINING && streams == 0 ->
#endif
             accept(epoch, sequence);
             assert(streams == 0);
             phase = CHANGING
          :: else -> skip
          fi
       fi;
       epoch = 0; sequence = 0; action = 0
     }
  :: atomic { reorders < 2 && len(orders) >= 2 ->            /* an order overtakes another */
       orders ? epoch, sequence, action; orders ! epoch, sequence, action; reorders++; epoch = 0; sequence = 0; action = 0
     }
  :: atomic { streams > 0 -> streams-- }                     /* a stream completes */
  :: atomic { phase == CHANGING -> phase = ACTIVE }
  :: atomic { crashes == 0 -> crashes = 1; phase = ACTIVE; streams = 0; engineEpoch = 0; engineSequence = 0; lastEpoch = 0; lastSequence = 0 }
  :: timeout -> break
  od
}

/* Two holders, one after the other; orders of the first may still be in flight when the second seals. */
active proctype Holder() {
  byte epoch, sequence;
  epoch = 1;
  do
  :: epoch <= 2 ->
     atomic {                                                /* seal */
       if
       :: epoch >= engineEpoch -> if :: epoch > engineEpoch -> engineSequence = 0 :: else -> skip fi; engineEpoch = epoch
       :: else -> skip
       fi;
       sequence = engineSequence
     }
     if
     :: phase == DRAINING && nfull(orders) -> orders ! epoch, sequence + 1, RESUME; sequence++
     :: true -> skip
     fi;
     if
     :: nfull(orders) -> orders ! epoch, sequence + 1, DRAIN
     :: true -> skip
     fi;
     if
     :: nfull(orders) -> orders ! epoch, sequence + 1, DRAIN  /* sent again: the first answer was lost */
     :: true -> skip
     fi;
     if
     :: nfull(orders) -> orders ! epoch, sequence + 2, CHANGE
     :: true -> skip
     fi;
     epoch++
  :: epoch > 2 -> break
  od
}

/* Daemons send three requests at any time; the engine starts or rejects each. */
active [3] proctype Request() {
  byte mark = 1 << (_pid % 3);
  if
  :: atomic { phase == ACTIVE -> begun = begun | mark; streams++ }
#ifdef LATE_REFUSAL
  :: atomic { phase != ACTIVE -> begun = begun | mark; turnedAway = turnedAway | mark }
#else
  :: atomic { phase != ACTIVE -> turnedAway = turnedAway | mark }
#endif
  fi;
  assert((begun & turnedAway) == 0)
}

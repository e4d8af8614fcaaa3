/*
 * Orders that change an engine's stage on the platform: two holders of a lease that is changed by compare-and-set, an
 * engine that forgets its fence and its count of orders at a restart, orders that arrive at any time and in any order.
 * A holder asks the engine, then looks at its lease, then sends; it may sleep in between.
 *
 * Property: AUTHORITY   no order of an older epoch is carried out after one of a newer epoch
 *           LATE        an order that is carried out late does not undo one that was sent after it
 *           INCARNATION an order for one incarnation is not carried out by the next
 * Broken variants: NO_COUNT (LATE), NO_COUNT with NO_FENCE (AUTHORITY), NO_INCARNATION.
 * Sound as well: NO_FENCE alone, since the count refuses every order that was asked for before a newer one.
 */
#define HOLDERS 2
#define ORDERS 2

byte epoch = 0;             /* of the lease row */
byte holder = 0;            /* who holds it; 0 for none */

byte incarnation = 1;
byte seenFence = 0;         /* forgotten at a restart */
byte count = 0;             /* forgotten at a restart */

/* What the property remembers; the engine does not. */
byte newestEpoch = 0;
byte newestSerial = 0;
byte serials = 0;

proctype Delivery(byte fence, expected, target, serial) {
  atomic {
    if
#ifndef NO_INCARNATION
    :: target != incarnation -> skip
#endif
#ifndef NO_FENCE
    :: fence < seenFence -> skip
#endif
#ifndef NO_COUNT
    :: expected != count -> skip
#endif
    :: else ->
       assert(target == incarnation);
       assert(fence >= newestEpoch);
       assert(serial > newestSerial);
       if
       :: fence > seenFence -> seenFence = fence
       :: else -> skip
       fi;
       count++;
       newestEpoch = fence;
       newestSerial = serial
    fi
  }
}

proctype Holder(byte id) {
  byte own = 0, asked, target, sent = 0;
  do
  :: sent < ORDERS && holder != id ->
     atomic { epoch < 3 -> epoch++; own = epoch; holder = id }   /* the lease ran out or was given back */
  :: sent < ORDERS && holder == id ->
     atomic { asked = count; target = incarnation };
     if
     :: holder == id && epoch == own ->                          /* the look at the lease; a sleep may follow */
        sent++;
        atomic { serials++; run Delivery(own, asked, target, serials) }
     :: else -> skip
     fi
  :: sent == ORDERS -> break
  :: break
  od
}

proctype Restart() {
  atomic { incarnation++; seenFence = 0; count = 0; newestEpoch = 0; newestSerial = serials }
}

init {
  atomic {
    run Holder(1);
    run Holder(2);
    run Restart()
  }
}

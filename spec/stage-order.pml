/*
 * Orders that change the stage of an engine of the platform: two holders of a lease that is changed by compare-and-set,
 * an engine that loses its fence and its order count at a restart, orders that arrive at any time and in any order.
 * A holder reads the engine's state, then checks its lease, then sends the order; it may be paused in between.
 *
 * Property: AUTHORITY   no order of an older epoch is executed after one of a newer epoch
 *           LATE        a delayed order does not undo one that was sent after it
 *           INCARNATION an order for one incarnation is not executed by the next
 * Broken variants: NO_COUNT (LATE), NO_COUNT with NO_FENCE (AUTHORITY), NO_INCARNATION.
 * NO_FENCE alone is correct too: the count rejects every order whose holder read the engine's state before a newer order.
 */
#define HOLDERS 2
#define ORDERS 2

byte epoch = 0;             /* of the lease row */
byte holder = 0;            /* the holder of the lease; 0 for none */

byte incarnation = 1;
byte seenFence = 0;         /* lost at a restart */
byte count = 0;             /* lost at a restart */

/* State of the property check, which the engine does not have. */
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
     atomic { epoch < 3 -> epoch++; own = epoch; holder = id }   /* the lease expired or was released */
  :: sent < ORDERS && holder == id ->
     atomic { asked = count; target = incarnation };
     if
     :: holder == id && epoch == own ->                          /* checks the lease; a pause may follow */
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

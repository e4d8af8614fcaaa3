/*
 * Records of the store spread from one daemon to another: changes with the two revisions between which they lie,
 * digests that say up to where the sender is complete and what its newest change is, and snapshots. Messages are lost,
 * held up and overtaken by reads as long as they like; a daemon restarts and forgets; the store gives old snapshots.
 * With REMOVALS some changes are removals: a snapshot does not show them, and a copy that begins with one never hears of them.
 *
 * Property:
 *   COMPLETE  a daemon that takes itself for complete up to a revision has every change up to it
 * Broken variants: NO_GAP_CHECK (changes are taken for whole though some before them are missing), NO_CHANGED_CHECK
 * (a peer's word is taken though a change that it knows is missing), OWN_NEWEST (a change that came with a gap counts
 * as the place up to which the daemon is complete), NO_SINCE (a peer's word is taken though its copy began after this
 * one ends, so that it may lack removals in between).
 */
/* With removals every copy has a beginning, which makes too many states for three transactions. */
#ifdef REMOVALS
#define TRANSACTIONS 2
#else
#define TRANSACTIONS 3
#endif
#define RESTARTS 1

#define BIT(v) (1 << (v))
#define UPTO(v) (BIT((v) + 1) - 1)

/* The store: the last transaction, and which of them changed the collection. */
byte version = 0;
byte changes = 0;
/* Those that removed something. */
byte removals = 0;

/* Each daemon: complete up to `cursor`; `has` are the changes that its copy shows, `newest` is the last of which it has
 * a record, `since` is where its copy began. */
byte cursor[2];
byte has[2];
byte newest[2];
byte since[2];
byte restarts = 0;

mtype = { push, digest, snapshot };
/* kind, from or since, to or complete, newest, changes */
chan toDaemon[2] = [1] of { mtype, byte, byte, byte, byte };

inline raise(field, value) {
  if
  :: value > field -> field = value
  :: else -> skip
  fi
}

/* Takes changes, of some of which there are records. */
inline learn(me, taken, shown) {
  has[me] = has[me] | taken;
  do
  :: newest[me] < TRANSACTIONS && (shown >> (newest[me] + 1)) > 0 -> newest[me]++
  :: else -> break
  od
}

inline checkComplete(me) {
  assert((changes & UPTO(cursor[me]) & ~has[me]) == 0)
}

active proctype Store() {
  do
  :: version < TRANSACTIONS -> atomic { version++; changes = changes | BIT(version) }
#ifdef REMOVALS
  :: version < TRANSACTIONS ->
       atomic { version++; changes = changes | BIT(version); removals = removals | BIT(version) }
#endif
  :: version < TRANSACTIONS -> version++
  :: version == TRANSACTIONS -> break
  od
}

proctype Daemon(byte me) {
  byte a, b, c, bits, old;
  do
  /* The store is read from where this daemon is complete, and the other one is told. */
  :: atomic { cursor[me] < version ->
       bits = changes & UPTO(version) & ~UPTO(cursor[me]);
       old = cursor[me];
       learn(me, bits, bits);
       cursor[me] = version;
       if
       :: nfull(toDaemon[1 - me]) -> toDaemon[1 - me] ! push, old, cursor[me], 0, bits
       :: skip
       fi;
       a = 0; b = 0; c = 0; bits = 0; old = 0 }
  /* The history is gone: a snapshot, perhaps an old one. */
  :: atomic { version > 0 -> old = version;
       do
       :: old > 0 -> old--
       :: break
       od;
       learn(me, (changes & UPTO(old)), (changes & UPTO(old) & ~removals));
       cursor[me] = old;
#ifdef REMOVALS
       since[me] = old;
#endif
       checkComplete(me); old = 0 }
  :: atomic { nfull(toDaemon[1 - me]) -> toDaemon[1 - me] ! digest, since[me], cursor[me], newest[me], 0 }
  :: atomic { nfull(toDaemon[1 - me]) -> toDaemon[1 - me] ! snapshot, since[me], cursor[me], newest[me], has[me] }
  :: atomic { toDaemon[me] ?? push, a, b, c, bits ->
       learn(me, bits, bits);
       if
#ifdef NO_GAP_CHECK
       :: true -> raise(cursor[me], b)
#else
       :: a <= cursor[me] -> raise(cursor[me], b)
#endif
       :: else -> skip
       fi;
#ifdef OWN_NEWEST
       raise(cursor[me], newest[me]);
#endif
       checkComplete(me); a = 0; b = 0; c = 0; bits = 0 }
  :: atomic { toDaemon[me] ?? digest, a, b, c, bits ->
       if
#ifdef NO_CHANGED_CHECK
       :: true -> raise(cursor[me], b)
#else
#ifdef NO_SINCE
       :: cursor[me] >= c -> raise(cursor[me], b)
#else
       :: cursor[me] >= c && cursor[me] >= a -> raise(cursor[me], b)
#endif
#endif
       :: else -> skip
       fi;
       checkComplete(me); a = 0; b = 0; c = 0; bits = 0 }
  :: atomic { toDaemon[me] ?? snapshot, a, b, c, bits ->
       has[me] = has[me] | bits;
       raise(newest[me], c);
       if
       :: cursor[me] < a && cursor[me] < b -> since[me] = a
       :: else -> skip
       fi;
       raise(cursor[me], b);
       checkComplete(me); a = 0; b = 0; c = 0; bits = 0 }
  /* A message is lost. */
  :: atomic { toDaemon[me] ?? _, _, _, _, _ -> skip }
  :: atomic { restarts < RESTARTS -> restarts++; cursor[me] = 0; has[me] = 0; newest[me] = 0; since[me] = 0 }
  od
}

init { atomic { run Daemon(0); run Daemon(1) } }

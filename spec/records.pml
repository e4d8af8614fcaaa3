/*
 * Replication of the store's records between daemons: changes with the two revisions between which they lie, digests
 * with the revision up to which the sender is complete and that of its newest change, and snapshots. Messages are lost,
 * delayed and overtaken by reads without bound; a daemon restarts and loses its state; the store returns old snapshots.
 * With REMOVALS some changes are removals: a snapshot does not contain them, and a copy that starts with one never gets them.
 *
 * Property:
 *   COMPLETE  a daemon that considers itself complete up to a revision has every change up to it
 * Broken variants: NO_GAP_CHECK (changes are taken as complete although earlier ones are missing), NO_CHANGED_CHECK
 * (a peer's digest is accepted although a change that the peer has is missing), OWN_NEWEST (the newest change counts as
 * the revision up to which the daemon is complete, even after a gap), NO_SINCE (a peer's digest is accepted although its
 * copy starts after this one ends, so that it may lack removals in between).
 */
/* With removals each copy also has a starting revision, which makes too many states for three transactions. */
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
/* The changes that are removals. */
byte removals = 0;

/* Each daemon: complete up to `cursor`; `has` are the changes in its copy, `newest` is the last change of which it has
 * a record, `since` is the revision at which its copy starts. */
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

/* Applies the changes `taken`, of which `shown` have records. */
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
  /* Reads the store from the daemon's cursor, and may push the changes to the other daemon. */
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
  /* The store no longer has the history and returns a snapshot, which may be old. */
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

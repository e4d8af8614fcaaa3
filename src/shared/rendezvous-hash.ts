/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): every daemon ranks the same candidates for a key in
 * the same order without talking, and a lost candidate moves only its own keys.
 */
import MurmurHash3 from 'imurmurhash';

/** A 32-bit hash of a text. */
export function hashText(text: string): number {
  return MurmurHash3(text).result();
}

/** Hashes of texts that were ranked before; ranking hashes the same few hundred ids over and over. */
const knownHashes = new Map<string, number>();
/** Texts remembered at most: daemons, engines and keys of a large fleet several times over. */
const MAXIMUM_KNOWN_HASHES = 8192;

function hashOnce(text: string): number {
  const known = knownHashes.get(text);
  if (known !== undefined) return known;
  if (knownHashes.size >= MAXIMUM_KNOWN_HASHES) knownHashes.clear();
  const hash = hashText(text);
  knownHashes.set(text, hash);
  return hash;
}

/**
 * How well a candidate suits a key: both hashes through the finalizer of MurmurHash3, which mixes every bit.
 */
function getRendezvousScore(key: string, candidate: string): number {
  let mixed = hashOnce(key) ^ hashOnce(candidate);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** The candidates for `key`, best first, at most `count` of them. */
export function rankByRendezvous(key: string, candidates: readonly string[], count: number): string[] {
  const scored = candidates.map((candidate) => ({ candidate, score: getRendezvousScore(key, candidate) }));
  scored.sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1));
  return scored.slice(0, count).map((entry) => entry.candidate);
}

/**
 * Place of `self` in the ranking for `key`: the number of candidates that go before it. Linear, without
 * sorting.
 */
export function getRendezvousRank(key: string, candidates: readonly string[], self: string): number {
  const own = getRendezvousScore(key, self);
  let place = 0;
  for (const candidate of candidates) {
    const score = getRendezvousScore(key, candidate);
    if (score > own || (score === own && candidate < self)) place += 1;
  }
  return place;
}

/** The best candidate for `key`, or undefined when there is none. Linear, without sorting. */
export function pickByRendezvous(key: string, candidates: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = getRendezvousScore(key, candidate);
    const better = score > bestScore || (score === bestScore && best !== undefined && candidate < best);
    if (better) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

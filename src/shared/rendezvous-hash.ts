/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): every daemon ranks the same candidates for a key in
 * the same order without communication, and the loss of a candidate moves only that candidate's keys.
 */
import MurmurHash3 from 'imurmurhash';

/** A 32-bit hash of a text. */
export function hashText(text: string): number {
  return MurmurHash3(text).result();
}

/** Cache of hashes by text: ranking hashes the same few hundred ids again and again. */
const hashCache = new Map<string, number>();
/** Maximum size of the cache: several times the daemons, engines and keys of a large fleet. */
const MAXIMUM_CACHED_HASHES = 8192;

function getCachedHash(text: string): number {
  const known = hashCache.get(text);
  if (known !== undefined) return known;
  if (hashCache.size >= MAXIMUM_CACHED_HASHES) hashCache.clear();
  const hash = hashText(text);
  hashCache.set(text, hash);
  return hash;
}

/** The score of a candidate for a key: both hashes, mixed by the finalizer of MurmurHash3 in every bit. */
function getRendezvousScore(key: string, candidate: string): number {
  let mixed = getCachedHash(key) ^ getCachedHash(candidate);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** The best candidates for `key`, best first, at most `count` of them. */
export function rankByRendezvous(key: string, candidates: readonly string[], count: number): string[] {
  const scored = candidates.map((candidate) => ({ candidate, score: getRendezvousScore(key, candidate) }));
  scored.sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1));
  return scored.slice(0, count).map((entry) => entry.candidate);
}

/** Rank of `self` for `key`: the number of candidates ranked before it. Linear, without sorting. */
export function getRendezvousRank(key: string, candidates: readonly string[], self: string): number {
  const selfScore = getRendezvousScore(key, self);
  let rank = 0;
  for (const candidate of candidates) {
    const score = getRendezvousScore(key, candidate);
    if (score > selfScore || (score === selfScore && candidate < self)) rank += 1;
  }
  return rank;
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

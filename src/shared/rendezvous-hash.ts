/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): every daemon ranks the same candidates for a key in
 * the same order without talking, and a lost candidate moves only its own keys.
 */
import MurmurHash3 from 'imurmurhash';

/** A 32-bit hash of a text. */
export function hashText(text: string): number {
  return MurmurHash3(text).result();
}

/** The candidates for `key`, best first, at most `count` of them. */
export function rankByRendezvous(key: string, candidates: readonly string[], count: number): string[] {
  const scored = candidates.map((candidate) => ({ candidate, score: hashText(`${key}\u0000${candidate}`) }));
  scored.sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1));
  return scored.slice(0, count).map((entry) => entry.candidate);
}

/** The best candidate for `key`, or undefined when there is none. Linear, without sorting. */
export function pickByRendezvous(key: string, candidates: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = hashText(`${key}\u0000${candidate}`);
    const better = score > bestScore || (score === bestScore && best !== undefined && candidate < best);
    if (better) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

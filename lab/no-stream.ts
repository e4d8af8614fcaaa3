/** A sink for the answers of attempts that drops what is streamed and lets every attempt write. */
import type { StreamSink } from '../src/adapters/backend-client.js';

export const NO_STREAM: StreamSink = {
  addAttempt: () => undefined,
  claimHead: () => true,
  claim: () => true,
  writeHead: () => undefined,
  writeEvents: () => undefined,
  getLastEventId: () => undefined,
  waitForDrain: () => false,
};

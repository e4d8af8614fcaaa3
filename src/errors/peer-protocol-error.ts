import { PulleyledgeError } from './pulleyledge-error.js';

/** A message between daemons does not have the form of its kind. */
export class PeerProtocolError extends PulleyledgeError {
  constructor(problem: string) {
    super(`peer message refused: ${problem}`, {
      code: 'peer-protocol',
      status: 400,
      notRun: 'true',
      context: { problem },
    });
  }
}

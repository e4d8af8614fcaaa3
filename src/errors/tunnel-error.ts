/** The failure `tunnel-failed`, which `src/adapters` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_UNAVAILABLE } from '../shared/http-status.js';

/** A tunnel to a back end was not opened. No byte of a request was sent. */
export class TunnelError extends PulleyledgeError {
  /**
   * @param via address of the peer, `ip:port`
   * @param reason what the peer answered, or the code of the failure to get its answer
   * @param failure whether the tunnel failed at the peer, or behind it at the back end
   */
  constructor(
    via: string,
    readonly reason: string,
    readonly failure: 'peer' | 'backend',
  ) {
    super(`no tunnel through ${via}: ${reason}`, {
      code: 'tunnel-failed',
      status: STATUS_UNAVAILABLE,
      notRun: 'true',
      context: { via, reason, failure },
    });
  }
}

/**
 * Confines an exception to the request in whose handling it occurs: that request ends, the others go on. An exception
 * elsewhere is passed on and ends the process.
 */
import type { ForwardingEvent } from '../daemon/forwarding-messages.js';
import type { DecisionLog } from './decision-log.js';
import type { ForwardingMetrics } from './forwarding-metrics.js';

/** The request to which an event belongs; undefined for events of the daemon itself. */
export function findRequestId(event: ForwardingEvent): string | undefined {
  switch (event.kind) {
    case 'submit':
      return event.request.id;
    case 'cancel':
    case 'attempt':
      return event.requestId;
    default:
      return undefined;
  }
}

/** The faults of one process. */
export class RequestFaults {
  constructor(
    private readonly log: DecisionLog,
    private readonly metrics: ForwardingMetrics,
    private readonly endRequest: (requestId: string) => void,
  ) {}

  /** Runs a step in the handling of a request; an exception ends the request. */
  run(requestId: string | undefined, step: () => unknown): void {
    if (requestId === undefined) step();
    else this.runOrEnd(step, () => this.endRequest(requestId));
  }

  /** Runs a step in the handling of a request, which `end` ends after an exception. */
  runOrEnd(step: () => unknown, end: () => void): void {
    try {
      step();
    } catch (error) {
      const fields = { stack: error instanceof Error ? error.stack : String(error) };
      this.metrics.addDecision({ kind: 'decision', event: 'request.faulted', callerId: '', fields });
      this.log.writeImportantEvent('request.faulted', fields);
      end();
    }
  }
}

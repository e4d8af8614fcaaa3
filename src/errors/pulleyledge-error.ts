/** Base class of the error classes of pulleyledge. */

/** Whether a failed request was certainly not executed; 'unknown' when a back end may have received it. */
export type NotRun = 'true' | 'false' | 'unknown';

/** Fields common to all errors. */
interface ErrorDetails {
  /** Stable code in kebab case; also the last part of the problem document's `type`. */
  readonly code: string;
  /** HTTP status that the gateway answers with. */
  readonly status: number;
  /** Whether the request was certainly not executed. Default: 'true'. */
  readonly notRun?: NotRun;
  /** Delay before a retry, in milliseconds. Absent when a retry is pointless. */
  readonly retryAfterMs?: number;
  /** Details of the failure, safe to show to the caller. */
  readonly context?: Readonly<Record<string, unknown>>;
}

/** An error with a stable code, an HTTP status and the details of the failure as fields. */
export abstract class PulleyledgeError extends Error {
  readonly code: string;
  readonly status: number;
  readonly notRun: NotRun;
  readonly retryAfterMs?: number;
  readonly context: Readonly<Record<string, unknown>>;

  constructor(message: string, details: ErrorDetails) {
    super(message);
    this.name = new.target.name;
    this.code = details.code;
    this.status = details.status;
    this.notRun = details.notRun ?? 'true';
    this.retryAfterMs = details.retryAfterMs;
    this.context = details.context ?? {};
  }
}

/**
 * The log of decisions: structured lines to standard output, bounded in volume and never blocking. Under
 * load, lines about a request are kept or dropped together, by its id; failures and changes of belief come
 * first.
 */
import { pino, type DestinationStream, type Logger } from 'pino';
import { hashText } from '../shared/rendezvous-hash.js';
import { SECOND_MS } from '../shared/units.js';

/** Bounds of the log. */
export interface DecisionLogSettings {
  /** Lines a second in which requests are logged whole; above it ever fewer requests are. Default 150. */
  readonly linesPerSecond: number;
  /**
   * Lines a second at most, failures and changes of state included; these alone may use the last two fifths.
   * Default 400.
   */
  readonly maximumLinesPerSecond: number;
}

/** Default bounds. */
export const DEFAULT_DECISION_LOG_SETTINGS: DecisionLogSettings = {
  linesPerSecond: 150,
  maximumLinesPerSecond: 400,
};

/** Hashes of texts are below this. */
const HASH_RANGE = 2 ** 32;
/** Share of requests that is logged whatever their number. */
const MINIMUM_SHARE = 0.01;
/** The rest of a second's lines is kept for failures and changes of state. */
const REQUEST_LINES_SHARE = 0.6;
/** The share may grow by this factor a second, so that it does not swing. */
const SHARE_RECOVERY = 1.5;

/** The log of one process. Times are monotonic milliseconds. */
export class DecisionLog {
  private readonly logger: Logger;
  private windowStart: number;
  private lines = 0;
  private offered = 0;
  private droppedInWindow = 0;
  private droppedTotal = 0;
  /** Share of requests whose lines are kept. */
  private share = 1;

  constructor(
    base: Readonly<Record<string, unknown>>,
    destination: DestinationStream,
    private readonly settings: DecisionLogSettings,
    private readonly clock: () => number,
  ) {
    this.logger = pino({ base, timestamp: pino.stdTimeFunctions.epochTime }, destination);
    this.windowStart = clock();
  }

  /** A step of a request: kept or dropped with the request's other lines. */
  writeRequestEvent(event: string, requestId: string, fields: Readonly<Record<string, unknown>>): void {
    this.roll();
    this.offered += 1;
    const kept = hashText(requestId) / HASH_RANGE < this.share;
    const requestLines = this.settings.maximumLinesPerSecond * REQUEST_LINES_SHARE;
    if (kept && this.lines < requestLines) this.write(event, { requestId, ...fields });
    else this.drop();
  }

  /** A failure of a request, a change of state, a step of the process: dropped only over the upper bound. */
  writeImportantEvent(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.roll();
    if (this.lines < this.settings.maximumLinesPerSecond) this.write(event, fields);
    else this.drop();
  }

  /** Lines dropped since the start. */
  getDroppedLineCount(): number {
    return this.droppedTotal;
  }

  private write(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.lines += 1;
    this.logger.info({ event, clock: Math.round(this.clock()), ...fields });
  }

  private drop(): void {
    this.droppedInWindow += 1;
    this.droppedTotal += 1;
  }

  private roll(): void {
    const now = this.clock();
    if (now - this.windowStart < SECOND_MS) return;
    const { linesPerSecond } = this.settings;
    const fitting = this.offered > linesPerSecond ? linesPerSecond / this.offered : 1;
    this.share = Math.max(MINIMUM_SHARE, Math.min(fitting, this.share * SHARE_RECOVERY, 1));
    const dropped = this.droppedInWindow;
    this.windowStart = now;
    this.lines = 0;
    this.offered = 0;
    this.droppedInWindow = 0;
    if (dropped > 0) this.write('log.dropped', { lines: dropped, keptShare: this.share });
  }
}

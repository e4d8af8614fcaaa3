/**
 * The decision log: structured lines, bounded in number per second. Under load, the lines of a request are
 * kept or dropped together, sampled by the request's id; failures and changes of state take precedence. Owns
 * the sampling rate and the counts of dropped lines. Relies on a destination stream that does not block.
 */
import { pino, type DestinationStream, type Logger } from 'pino';
import { hashText } from '../shared/rendezvous-hash.js';
import { SECOND_MS } from '../shared/units.js';

/** Limits of the log's volume. */
export interface DecisionLogSettings {
  /**
   * Request lines per second up to which every request is logged; above, requests are sampled. Default 150.
   */
  readonly linesPerSecond: number;
  /**
   * Maximum number of lines per second, including failures and changes of state, for which the last two fifths are
   * reserved. Default 400.
   */
  readonly maximumLinesPerSecond: number;
}

/** Default limits. */
export const DEFAULT_DECISION_LOG_SETTINGS: DecisionLogSettings = {
  linesPerSecond: 150,
  maximumLinesPerSecond: 400,
};

/** Exclusive upper bound of `hashText`. */
const HASH_RANGE = 2 ** 32;
/** Lower bound of the share of requests that are logged, under any load. */
const MINIMUM_KEPT_SHARE = 0.01;
/** Share of a second's lines that requests may use; the rest is reserved for failures and changes of state. */
const MAXIMUM_REQUEST_SHARE = 0.6;
/** The kept share grows by at most this factor per second, so that it does not oscillate. */
const MAXIMUM_SHARE_GROWTH = 1.5;

/** The log of one process. `clock` gives monotonic milliseconds. */
export class DecisionLog {
  private readonly logger: Logger;
  private windowStart: number;
  private writtenLines = 0;
  private offeredRequestLines = 0;
  private droppedInWindow = 0;
  private totalDropped = 0;
  /** Share of requests whose lines are kept, from 0 to 1. */
  private keptShare = 1;

  constructor(
    base: Readonly<Record<string, unknown>>,
    destination: DestinationStream,
    private readonly settings: DecisionLogSettings,
    private readonly clock: () => number,
  ) {
    this.logger = pino({ base, timestamp: pino.stdTimeFunctions.epochTime }, destination);
    this.windowStart = clock();
  }

  /** Logs a step of a request: kept or dropped together with the request's other lines. */
  writeRequestEvent(event: string, requestId: string, fields: Readonly<Record<string, unknown>>): void {
    this.startWindowWhenDue();
    this.offeredRequestLines += 1;
    const kept = hashText(requestId) / HASH_RANGE < this.keptShare;
    const requestLines = this.settings.maximumLinesPerSecond * MAXIMUM_REQUEST_SHARE;
    if (kept && this.writtenLines < requestLines) this.write(event, { requestId, ...fields });
    else this.addDroppedLine();
  }

  /**
   * Logs a failure of a request, a change of state, or a step of the process: dropped only above the maximum.
   */
  writeImportantEvent(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.startWindowWhenDue();
    if (this.writtenLines < this.settings.maximumLinesPerSecond) this.write(event, fields);
    else this.addDroppedLine();
  }

  /** Number of lines dropped since the start. */
  getDroppedLineCount(): number {
    return this.totalDropped;
  }

  private write(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.writtenLines += 1;
    this.logger.info({ event, clock: Math.round(this.clock()), ...fields });
  }

  private addDroppedLine(): void {
    this.droppedInWindow += 1;
    this.totalDropped += 1;
  }

  private startWindowWhenDue(): void {
    const now = this.clock();
    if (now - this.windowStart < SECOND_MS) return;
    const { linesPerSecond } = this.settings;
    const sustainableShare =
      this.offeredRequestLines > linesPerSecond ? linesPerSecond / this.offeredRequestLines : 1;
    this.keptShare = Math.max(
      MINIMUM_KEPT_SHARE,
      Math.min(sustainableShare, this.keptShare * MAXIMUM_SHARE_GROWTH, 1),
    );
    const dropped = this.droppedInWindow;
    this.windowStart = now;
    this.writtenLines = 0;
    this.offeredRequestLines = 0;
    this.droppedInWindow = 0;
    if (dropped > 0) this.write('log.dropped', { lines: dropped, keptShare: this.keptShare });
  }
}

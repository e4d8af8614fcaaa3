/**
 * `pulleyledge explain`: the timeline of one request across daemons, from their logs. It shows the request's
 * lines and the preceding state changes that concern the back ends involved, for each daemon that handled the
 * request. A daemon's lines are ordered by its monotonic clock, which does not jump; daemons are ordered by
 * the time of day of their first line on the request. Owns no state. Relies on the log format of
 * `process/decision-log.ts`.
 */
import { NotFoundError } from '../errors/index.js';
import { parseJson } from '../shared/json.js';

/** One parsed log line. */
interface LogLine {
  readonly daemon: string;
  readonly event: string;
  /** The daemon's monotonic clock. Milliseconds. */
  readonly clock: number;
  /** Time of day, which may jump. Milliseconds. */
  readonly time: number;
  readonly requestId?: string;
  readonly backend?: string;
  /** The back ends that a refusal concerns. */
  readonly backends?: readonly string[];
  /** The part of a prompt that a refusal or a change concerns. */
  readonly part?: string;
  readonly [field: string]: unknown;
}

/** State changes are shown if they precede the request's first line by at most this. Milliseconds. */
const CONTEXT_WINDOW_MS = 10_000;
/** Events that concern every request of a daemon. */
const DAEMON_WIDE_EVENTS: ReadonlySet<string> = new Set([
  'process.started',
  'drain.started',
  'process.stopped',
  'configuration.changed',
  'store.lost',
  'store.regained',
  'log.dropped',
]);
/** Fields that are not listed as `name=value`: they are shown in another place, or not at all. */
const UNLISTED_FIELDS: ReadonlySet<string> = new Set([
  'daemon',
  'event',
  'clock',
  'time',
  'level',
  'requestId',
]);

/**
 * Formats the timeline of `requestId`. `logs` are the contents of log files.
 * @throws NotFoundError when no line has this request id.
 */
export function explainRequest(requestId: string, logs: readonly string[]): string {
  const lines = logs.flatMap((log) => log.split('\n').flatMap(parseLine));
  const requestLines = lines.filter((line) => line.requestId === requestId);
  if (requestLines.length === 0) throw new NotFoundError(`request ${requestId}`);
  const daemons = [...new Set(requestLines.map((line) => line.daemon))];
  daemons.sort((left, right) => getFirstTime(requestLines, left) - getFirstTime(requestLines, right));
  return daemons.map((daemon) => formatDaemonSection(daemon, requestLines, lines)).join('\n\n');
}

function formatDaemonSection(
  daemon: string,
  requestLines: readonly LogLine[],
  lines: readonly LogLine[],
): string {
  const daemonLines = requestLines.filter((line) => line.daemon === daemon);
  const first = Math.min(...daemonLines.map((line) => line.clock));
  const last = Math.max(...daemonLines.map((line) => line.clock));
  const backends = new Set(daemonLines.flatMap(getBackends));
  const parts = new Set(daemonLines.flatMap(({ part }) => part ?? []));
  const changes = lines.filter((line) => {
    const recent = line.clock >= first - CONTEXT_WINDOW_MS && line.clock <= last;
    const relevant =
      DAEMON_WIDE_EVENTS.has(line.event) ||
      (line.backend !== undefined && backends.has(line.backend)) ||
      (line.part !== undefined && parts.has(line.part));
    return line.daemon === daemon && line.requestId === undefined && recent && relevant;
  });
  const shown = [...daemonLines, ...changes].sort((left, right) => left.clock - right.clock);
  return [daemon, ...shown.map((line) => formatLine(line, first))].join('\n');
}

function getBackends({ backend, backends = [] }: LogLine): readonly string[] {
  return backend === undefined ? backends : [backend, ...backends];
}

function formatLine(line: LogLine, origin: number): string {
  const at = `${line.clock - origin} ms`.padStart(10);
  const mark = line.requestId === undefined ? '~' : ' ';
  const fields = Object.entries(line)
    .filter(([name, value]) => !UNLISTED_FIELDS.has(name) && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`);
  return `${at} ${mark} ${line.event.padEnd(24)} ${fields.join(' ')}`.trimEnd();
}

function getFirstTime(lines: readonly LogLine[], daemon: string): number {
  return Math.min(...lines.filter((line) => line.daemon === daemon).map((line) => line.time));
}

/** Skips lines that are not in the log's format, and any text before the JSON object of a line. */
function parseLine(text: string): LogLine[] {
  const start = text.indexOf('{');
  if (start < 0) return [];
  const line = parseJson(text.slice(start)).value as Partial<LogLine> | null | undefined;
  const complete =
    typeof line?.daemon === 'string' &&
    typeof line.event === 'string' &&
    typeof line.clock === 'number' &&
    typeof line.time === 'number';
  return complete ? [line as LogLine] : [];
}

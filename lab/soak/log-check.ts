/// Checks the logs of daemons: each request that was accepted has one line of its outcome. Finds requests that a daemon
/// lost, of which no caller's bytes tell. Relies on the log of each daemon being given in order, all its processes in it.
import * as z from "zod"
import type {Violation} from "./caller-record.js"

const lineSchema = z.object({
  event: z.string(),
  clock: z.number(),
  requestId: z.string().optional(),
  /// Absent where a request was refused before it was accepted.
  service: z.string().optional(),
  /// Whether a request goes on although its caller has disconnected; its outcome follows.
  finished: z.boolean().optional()
})
type LogLine = z.infer<typeof lineSchema>

/// The accepted requests of one daemon's log.
export interface LogOutcome {
  readonly accepted: number
  /// Requests without an outcome that may still have been in progress when their process ended or the log did.
  readonly open: number
  /// Requests whose lines may have been dropped: lines of others were dropped in the same process.
  readonly sampled: number
  readonly violations: readonly Violation[]
}

interface AcceptedRequest {
  readonly id: string
  readonly at: number
}

/// The requests of one process and what its log says of them.
class ProcessLog {
  private readonly openRequests = new Map<string, AcceptedRequest[]>()
  private readonly endedIds = new Set<string>()
  private readonly repeatedEnds: string[] = []
  private hasDropped = false
  private lastAt = 0
  accepted = 0

  /// Whether a line was written by another process, whose clock is its own.
  isOfAnother({event, clock}: LogLine): boolean {
    return event === "process.started" || clock < this.lastAt
  }

  receive({event, clock, requestId, service, finished}: LogLine): void {
    this.lastAt = clock
    if (event === "log.dropped") this.hasDropped = true
    if (requestId === undefined) return
    if (event === "request.accepted") this.addAccepted(requestId, clock)
    else if (isOutcome(event) && service !== undefined && finished !== true) this.removeAccepted(requestId)
  }

  /// Counts the requests. One without an outcome is lost when the process went on for `longestMs` after accepting it.
  makeOutcome(daemon: string, longestMs: number): LogOutcome {
    const unended = [...this.openRequests.values()].flat()
    const overdue = unended.filter(({at}) => at + longestMs < this.lastAt)
    const problems = [
      ...overdue.map(({id, at}) => `${id} by ${daemon}, accepted at ${at}, has no outcome`),
      ...this.repeatedEnds.map(id => `${id} by ${daemon} has an outcome too many`)
    ]
    const promise = "an accepted request has one outcome in the log"
    const violations = this.hasDropped ? [] : problems.map(text => ({promise, text}))
    return {
      accepted: this.accepted,
      open: unended.length - overdue.length,
      sampled: this.hasDropped ? problems.length : 0,
      violations
    }
  }

  private addAccepted(id: string, at: number): void {
    this.accepted += 1
    const requests = this.openRequests.get(id) ?? []
    this.openRequests.set(id, [...requests, {id, at}])
  }

  private removeAccepted(id: string): void {
    const [first, ...others] = this.openRequests.get(id) ?? []
    if (first === undefined) {
      if (this.endedIds.has(id)) this.repeatedEnds.push(id)
      return
    }
    this.endedIds.add(id)
    if (others.length > 0) this.openRequests.set(id, others)
    else this.openRequests.delete(id)
  }
}

/// Checks the log of one daemon. `longestMs` is the longest time that a request may take. Milliseconds.
export function checkLog(daemon: string, lines: Iterable<string>, longestMs: number): LogOutcome {
  const processes = [new ProcessLog()]
  for (const text of lines) {
    const line = parseLine(text)
    if (line === undefined) continue
    if (processes[processes.length - 1].isOfAnother(line)) processes.push(new ProcessLog())
    processes[processes.length - 1].receive(line)
  }
  return addOutcomes(processes.map(log => log.makeOutcome(daemon, longestMs)))
}

/// The outcome of several logs together.
export function addOutcomes(outcomes: readonly LogOutcome[]): LogOutcome {
  return {
    accepted: sum(outcomes.map(({accepted}) => accepted)),
    open: sum(outcomes.map(({open}) => open)),
    sampled: sum(outcomes.map(({sampled}) => sampled)),
    violations: outcomes.flatMap(({violations}) => violations)
  }
}

/// Parses a line; undefined for one that isn't of the decision log, such as a warning of the runtime, or is cut short.
function parseLine(text: string): LogLine | undefined {
  try {
    return lineSchema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}

function isOutcome(event: string): boolean {
  return ["request.answered", "request.failed", "request.refused", "request.cancelled"].includes(event)
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0)
}

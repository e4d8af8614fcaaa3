/// The server-sent events of streamed answers in a soak: their form, and the check of a whole stream.

/// One event: its number, the request that it answers, the number of all events, and the software version of its back
/// end where back ends have versions.
interface StreamEvent {
  readonly number: number
  readonly id: string
  readonly count: number
  readonly version: string | undefined
}

const EVENT = /^id: (\d+)\ndata: (\S+) (\d+) of (\d+)(?: by (\S+))?$/

/// One server-sent event of a streamed answer, with its number and the total count, which identify the last event.
export function formatEvent(id: string, number: number, count: number, version?: string): string {
  const by = version === undefined ? "" : ` by ${version}`
  return `id: ${number}\ndata: ${id} ${number} of ${count}${by}\n\n`
}

/// Finds the events in complete lines; those that cannot be read are left out.
export function findEvents(text: string): StreamEvent[] {
  return text.split("\n\n").flatMap(part => {
    const event = parseEvent(part)
    return event ? [event] : []
  })
}

/// Finds the first error in a stream with a success status; undefined when there is none. A stream that didn't end
/// as complete may lack events at its end.
export function findStreamProblem(id: string, body: string, complete: boolean): string | undefined {
  const parts = body.split("\n\n")
  const remainder = parts.pop()
  let count = 0
  const versions = new Set<string | undefined>()
  for (const [i, part] of parts.entries()) {
    const event = parseEvent(part)
    if (event?.id !== id || event.number !== i + 1) return `event ${i + 1} is ${JSON.stringify(part)}`
    count = event.count
    versions.add(event.version)
  }
  if (versions.size > 1) return `has events of the versions ${[...versions].join(" and ")}`
  if (complete && (remainder !== "" || parts.length === 0 || parts.length < count))
    return `ended as complete after ${parts.length} of ${count} events`
  return undefined
}

function parseEvent(part: string): StreamEvent | undefined {
  const match = EVENT.exec(part)
  if (!match || match[1] !== match[3]) return undefined
  return {number: Number(match[1]), id: match[2], count: Number(match[4]), version: match[5]}
}

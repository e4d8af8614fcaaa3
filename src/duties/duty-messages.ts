/// Messages between daemons about usage counts, and the calls of the duties to the platform.
import * as z from "zod"

const text = z.string().max(512)
const count = z.number().int().min(0)

/// Requests of one daemon that a back end began to execute, by window and tenant. Counts are totals since the
/// start of the window, so that lost and duplicate messages are harmless; tenants whose count has not changed
/// since the last message may be omitted.
const usageCountsSchema = z.object({
  kind: z.literal("usageCounts"),
  windows: z.array(z.tuple([count, z.array(z.tuple([text, count]))]))
})

/// Schemas of all messages of the duties.
export const dutyMessageSchemas = [usageCountsSchema] as const

/// The counts of one daemon.
export type UsageCounts = z.infer<typeof usageCountsSchema>

/// Requests that back ends began to execute in one window, by tenant.
export type WindowCounts = Readonly<Record<string, number>>

/// A call to the platform that only the holder of the duties may make.
export type DutyCall =
  | {
      readonly kind: "reportUsage"
      /// Number of the window: window k begins k window lengths after the start of 1970.
      readonly window: number
      readonly counts: WindowCounts
    }
  /// The number of back ends of one kind that a zone should have.
  | {
      readonly kind: "orderServers"
      readonly service: string
      readonly zone: string
      readonly desired: number
      readonly spot: boolean
    }

/// The holder that makes a call, and the fencing token of its lease. The platform rejects a fence that is lower
/// than one it has seen.
export interface DutyAuthority {
  readonly holder: string
  readonly fence: number
}

/// The result of a call.
export type DutyResult =
  | {readonly kind: "accepted"}
  /// Another daemon holds the duties with a higher fence.
  | {readonly kind: "superseded"}
  /// No servers are available at present.
  | {readonly kind: "unavailable"}
  /// The platform did not carry out the call.
  | {readonly kind: "rejected"; readonly status: number}
  /// The call may have been carried out, or may still be.
  | {readonly kind: "noAnswer"; readonly reason: string}

/// Makes calls to the platform. Never throws: a failure is a `DutyResult`.
export abstract class DutyPlatform {
  abstract perform(call: DutyCall, authority: DutyAuthority): Promise<DutyResult>
}

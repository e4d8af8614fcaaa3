/// The orders to a stand-in for a model engine, and the stage that follows from them.
import * as z from "zod"
import type {SoakRecord} from "./soak-record.js"

const STATUS_OK = 200
const STATUS_ACCEPTED = 202
const STATUS_CONFLICT = 409
const STATUS_LOW_FENCE = 412
/// Duration of a change of stage. Milliseconds.
const SWITCH_MS = 400

const stageSchema = z.enum(["prefill", "decode"])
/// The stage of a model engine.
export type Stage = z.infer<typeof stageSchema>

/// The body of an order.
export const orderSchema = z.object({
  phase: stageSchema,
  holder: z.string(),
  fence: z.number(),
  expected_count: z.number().optional()
})
type Order = z.infer<typeof orderSchema>

/// The orders of one incarnation.
export class StageOrders {
  /// Whether a change of stage is in progress.
  isChanging = false
  /// Changes of stage since the start, sent as `seq`.
  appliedCount = 0
  private highestFence = 0

  constructor(
    private readonly backend: string,
    /// Undefined for a back end that is no engine.
    public stage: Stage | undefined,
    private readonly record: SoakRecord,
    private readonly onStageChanged: () => void
  ) {}

  /// Applies an order, unless its fence is too low or the count of changes differs from the expected one. Returns
  /// the HTTP status of the answer.
  apply({holder, fence, phase, expected_count: expected = this.appliedCount}: Order): number {
    if (fence < this.highestFence) return STATUS_LOW_FENCE
    this.highestFence = fence
    this.record.orders.push({backend: this.backend, holder, fence, at: performance.now()})
    if (this.isChanging || expected !== this.appliedCount) return STATUS_CONFLICT
    if (this.stage === phase) return STATUS_OK
    this.isChanging = true
    this.appliedCount += 1
    setTimeout(() => {
      this.isChanging = false
      this.stage = phase
      this.onStageChanged()
    }, SWITCH_MS)
    return STATUS_ACCEPTED
  }
}

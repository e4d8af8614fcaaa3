/// The orders that a stand-in for a model engine takes, and the stage that it so has.
import * as z from "zod"
import type {SoakRecord} from "./soak-record.js"

const STATUS_OK = 200
const STATUS_ACCEPTED = 202
const STATUS_CONFLICT = 409
const STATUS_LOW_FENCE = 412
/// A change of the stage takes so long. Milliseconds.
const SWITCH_MS = 400

const stageSchema = z.enum(["prefill", "decode"])
export type Stage = z.infer<typeof stageSchema>

export const orderSchema = z.object({
  phase: stageSchema,
  holder: z.string(),
  fence: z.number(),
  expected_count: z.number().optional()
})
type Order = z.infer<typeof orderSchema>

/// The orders of one incarnation.
export class StageOrders {
  /// The stage is changing now.
  isChanging = false
  /// Orders taken since the start.
  appliedCount = 0
  private highestFence = 0

  constructor(
    private readonly backend: string,
    /// Undefined for what is no engine.
    public stage: Stage | undefined,
    private readonly record: SoakRecord,
    private readonly onChanged: () => void
  ) {}

  /// Carries out an order, and returns the status with which it is answered.
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
      this.onChanged()
    }, SWITCH_MS)
    return STATUS_ACCEPTED
  }
}

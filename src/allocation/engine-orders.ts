/** Types of the orders that change the stage of a model engine, and of the engines' answers. */
import type { BackendRecord, EngineStage } from '../forwarding/routes/route.js';

/** An order with a fencing token. */
export interface StageOrder {
  readonly backend: BackendRecord;
  readonly stage: EngineStage;
  /** The daemon that holds the lease. */
  readonly holder: string;
  /** The epoch of the lease. An engine rejects one lower than it has seen. */
  readonly fence: number;
  /** Number of orders that the engine must have accepted before; otherwise it rejects this one. */
  readonly expectedOrders: number;
}

/** The state that an engine reports. */
export interface EngineStatus {
  readonly stage: EngineStage | undefined;
  /** Whether a stage change is in progress. */
  readonly changing: boolean;
  /** Number of orders accepted since the engine started. */
  readonly orders: number;
}

/** The outcome of an order. */
export type StageOrderResult =
  /** The change is in progress or already done. */
  | { readonly kind: 'accepted' }
  /** Another order came first, the fence is too low, or another incarnation has the address. */
  | { readonly kind: 'refused'; readonly status: number }
  /** No answer: the order may still be executed, now or later. */
  | { readonly kind: 'noAnswer'; readonly reason: string };

/**
 * Messages about a cell, between its coordinator and the daemons that route to it. Owns their types; received
 * messages are validated by the schema in src/adapters/peer-codec.ts. Field names are part of the wire format
 * and must not change.
 */
import type { EnginePhase, EngineReport } from '../contracts/engine-protocol.js';

/** The load of one engine as encoded on the wire. */
export type EngineLoad = readonly [
  id: string,
  phase: EnginePhase,
  streams: number,
  waitingPrefillTokens: number,
  ageMs: number,
];

/** The properties of an engine that rarely change. */
export interface EngineDescription {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly report: EngineReport;
}

/** The demand that one daemon sees for a model version in one cell, in tokens per second. */
export type DemandEntry = readonly [
  model: string,
  version: number,
  prefillPerSecond: number,
  decodePerSecond: number,
];

/** Messages about a cell between its coordinator and the daemons that route to it. */
export type CellMessage =
  /** From the coordinator: loads in every digest, descriptions when they have changed and periodically. */
  | {
      readonly kind: 'cellDigest';
      readonly cell: string;
      /** Increases at one coordinator, so that a delayed older digest can be dropped. */
      readonly sequence: number;
      readonly coordinator: string;
      /** IDs of the daemons to which the receiver relays the digest. */
      readonly relayTo: readonly string[];
      readonly loads: readonly EngineLoad[];
      readonly descriptions: readonly EngineDescription[];
    }
  /** To the coordinator. */
  | { readonly kind: 'demandReport'; readonly cell: string; readonly demands: readonly DemandEntry[] };

/**
 * The platform's list of live and leaving machines, which lags behind their actual state. docs/PROTOCOLS.md
 * gives the HTTP form.
 */

/** The kind of server that a machine runs. */
type MachineKind = 'engine' | 'application';

/** A machine in the list. */
export interface Machine {
  readonly id: string;
  readonly kind: MachineKind;
  /** `ip:port`. */
  readonly address: string;
  readonly zone: string;
  /** The bounded group of machines that is allocated together; by default the zone. */
  readonly cell: string;
  readonly state: 'live' | 'leaving';
}

/** A cell and its zone. */
export interface Cell {
  readonly name: string;
  readonly zone: string;
}

/** The answer to a query: all cells, and the machines of the requested cells. */
export interface MachineListing {
  readonly cells: readonly Cell[];
  readonly machines: readonly Machine[];
}

/** Registers gauges whose values are read at each scrape. Owns no state. */
import { Gauge, type Registry } from 'prom-client';

/** A gauge without labels whose value is computed from a state. */
export interface GaugeDescription<State> {
  readonly name: string;
  readonly help: string;
  /** Returns the current value, in the unit at the end of the gauge's name. */
  readonly read: (state: State) => number;
}

/** Adds gauges to a registry, in the order given. `getState` is called for each gauge at each scrape. */
export function addGauges<State>(
  registry: Registry,
  descriptions: readonly GaugeDescription<State>[],
  getState: () => State,
): void {
  for (const { name, help, read } of descriptions) {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [registry],
      collect: () => gauge.set(read(getState())),
    });
  }
}

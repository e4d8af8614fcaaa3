/**
 * `npm run idle-cost -- --sizes 9,66,195 --engines 79`: measures the cost of an idle daemon in fleets of
 * several sizes, in virtual time and without callers. Prints the processor time of the state machine, events and
 * messages per daemon and second. Sockets and codecs are not included.
 */
import meow from 'meow';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { ForwardingFleet } from './forwarding-fleet.js';

const SEED = 20261202;
/** Time for all daemons to discover each other. Milliseconds. */
const JOIN_MS = 15_000;
/** Length of the measurement. Milliseconds. */
const MEASURED_MS = 10_000;
const SECOND_MS = 1000;
const MICROSECONDS_PER_MS = 1000;

const cli = meow('Usage: idle-cost [--sizes 9,66,195] [--engines 79]', {
  importMeta: import.meta,
  flags: {
    sizes: { type: 'string', default: '9,66,195' },
    engines: { type: 'number', default: 79 },
  },
});

function createFleet(daemons: number, engines: number): ForwardingFleet {
  const fleet = new ForwardingFleet(daemons, SEED);
  const value = makeLabConfiguration(1, [makeLabRoute({})]);
  fleet.write({ collection: 'configuration', revision: 0, value });
  for (let i = 0; i < engines; i += 1) {
    const stage = i % 3 === 0 ? ('decode' as const) : ('prefill' as const);
    const backend = { ...makeLabBackend(`engine-${i}`, `10.1.0.${i}:80`), stage };
    fleet.write({ collection: 'backends', id: backend.id, revision: 0, value: backend });
  }
  return fleet;
}

function getProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
}

function formatCounts(
  before: Map<string, number>,
  after: Map<string, number>,
  daemonSeconds: number,
): string {
  return [...after]
    .map(([kind, count]) => `${kind} ${((count - (before.get(kind) ?? 0)) / daemonSeconds).toFixed(2)}`)
    .join(', ');
}

for (const size of cli.flags.sizes.split(',').map(Number)) {
  const fleet = createFleet(size, cli.flags.engines);
  const startedAt = getProcessorMs();
  fleet.time.runUntil(JOIN_MS);
  const joinedAt = getProcessorMs();
  const messages = new Map(fleet.messageCounts);
  const events = new Map(fleet.eventCounts);
  fleet.time.runUntil(JOIN_MS + MEASURED_MS);
  const daemonSeconds = (size * MEASURED_MS) / SECOND_MS;
  const idleMs = (getProcessorMs() - joinedAt) / daemonSeconds;
  process.stdout.write(
    `${size} daemons, ${cli.flags.engines} engines: joining ${((joinedAt - startedAt) / size).toFixed(1)} ms per daemon; ` +
      `then ${idleMs.toFixed(2)} ms per daemon and second\n` +
      `  events per daemon and second: ${formatCounts(events, fleet.eventCounts, daemonSeconds)}\n` +
      `  messages per daemon and second: ${formatCounts(messages, fleet.messageCounts, daemonSeconds)}\n`,
  );
}

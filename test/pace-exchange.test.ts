/** Daemons tell each other how fast back ends answer: one that has not asked a slow one knows of it all the same. */
import { expect } from 'chai';
import { labBackend, labConfiguration, labRoute } from '../lab/forwarding-site.js';
import { PaceSums } from '../src/forwarding/pace-evidence.js';
import { ForwardingFleet, type FleetNode } from '../simulation/forwarding-fleet.js';

const SEED = 20261206;
const SETTLED_MS = 15_000;
const ANSWER_MS = 50;
const SLOWER = 5;
/** Two digests of the samples, three intervals of the relays, and the way between them. */
const TOLD_MS = 2000;

function settledFleet(count: number, regions = 1): ForwardingFleet {
  const fleet = new ForwardingFleet(count, SEED, undefined, undefined, regions);
  fleet.write({ collection: 'configuration', revision: 0, value: labConfiguration(1, [labRoute({})]) });
  for (const id of ['a', 'b', 'c', 'd'])
    fleet.write({ collection: 'backends', id, revision: 0, value: labBackend(id, '10.1.0.1:80') });
  fleet.time.runUntil(SETTLED_MS);
  return fleet;
}

/** Asks each daemon once, and once more when all are answered; back end `a` takes so many times longer. */
function askInRounds(
  fleet: ForwardingFleet,
  nodes: readonly FleetNode[],
  rounds: number,
  slower: number,
): void {
  for (let round = 0; round < rounds; round += 1) {
    const from = fleet.attempts.length;
    for (const node of nodes) fleet.submit(node, `${node.id}-${from}`);
    const attempts = fleet.attempts.slice(from);
    const end = (slow: boolean) => {
      for (const attempt of attempts)
        if ((attempt.backendId === 'a') === slow) fleet.endAttempt(attempt, { kind: 'whole', status: 200 });
    };
    fleet.time.runUntil(fleet.time.now() + ANSWER_MS);
    end(false);
    fleet.time.runUntil(fleet.time.now() + ANSWER_MS * (slower - 1));
    end(true);
  }
}

function getSlowest({ daemon }: FleetNode, now: number): number {
  return daemon.getPartFigures(now).paces.factor_1;
}

describe('paces told between daemons', () => {
  const FLEETS = [
    { count: 5, regions: 1 },
    { count: 66, regions: 1 },
    { count: 66, regions: 3 },
  ];
  for (const { count, regions } of FLEETS)
    it(`${count} daemons, ${regions} regions: a back end that answers some slowly is known by all`, () => {
      const fleet = settledFleet(count, regions);
      const askers = fleet.nodes.filter((_, index) => (regions > 1 ? index % 6 === 0 : index < count / 2));
      const others = fleet.nodes.filter((node) => !askers.includes(node));
      askInRounds(fleet, askers, 30, 1);
      askInRounds(fleet, askers, 8, SLOWER);
      fleet.time.runUntil(fleet.time.now() + TOLD_MS);
      for (const node of others) expect(getSlowest(node, fleet.time.now())).to.be.at.least(1.3);
    });

  it('back ends of one speed stay average for all', () => {
    const fleet = settledFleet(66);
    askInRounds(fleet, fleet.nodes, 30, 1);
    fleet.time.runUntil(fleet.time.now() + TOLD_MS);
    for (const node of fleet.nodes) expect(getSlowest(node, fleet.time.now())).to.be.below(1.2);
  });

  it('add up, and are told once', () => {
    const sums = new PaceSums();
    sums.add([['a', 2.5, 2]]);
    sums.add([
      ['a', 1, 1],
      ['b', 4, 1],
    ]);
    sums.add(undefined);
    expect(sums.take()).to.deep.equal([
      ['a', 3.5, 3],
      ['b', 4, 1],
    ]);
    expect(sums.take()).to.deep.equal([]);
  });
});

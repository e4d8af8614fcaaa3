/**
 * Guards against streams that nobody can take up after daemons were stopped as planned: where a stream began was in the
 * memory of three daemons that had all been restarted.
 */
import { expect } from 'chai';
import type { ForwardingFleet } from '../simulation/forwarding-fleet.js';
import type { StartedAttempt } from '../simulation/fleet-node.js';
import { beginStream, resumeAll, startFleet } from './stream-site.js';

/** Time from SIGTERM to the end of a daemon with open streams, until its start, and between two daemons' turns. */
const STOP_MS = 7300;
const DOWN_MS = 500;
const TURN_MS = 1300;
const STREAMS = 20;

function beginStreams(fleet: ForwardingFleet, node = fleet.nodes[0]): StartedAttempt[] {
  return Array.from({ length: STREAMS }, (_, index) => beginStream(fleet, `s${index}`, node));
}

function advance(fleet: ForwardingFleet, ms: number): void {
  fleet.time.runUntil(fleet.time.now() + ms);
}

/** Stops and starts the daemons in turn; `onTurn` runs before each. */
function restartInTurn(fleet: ForwardingFleet, onTurn: (index: number) => void): void {
  fleet.nodes.forEach((node, index) => {
    onTurn(index);
    fleet.restart(node, STOP_MS, DOWN_MS);
    advance(fleet, TURN_MS);
  });
}

describe('the origins of streams are known after planned stops', () => {
  for (const daemons of [3, 5, 9])
    it(`of ${daemons} daemons in turn, where the streams began at the last one`, () => {
      const fleet = startFleet(daemons);
      let began: StartedAttempt[] = [];
      restartInTurn(fleet, (index) => {
        if (index === daemons - 1) began = beginStreams(fleet, fleet.nodes[index]);
      });
      advance(fleet, STOP_MS + DOWN_MS);
      expect(resumeAll(fleet, began, fleet.nodes)).to.deep.equal({ wentOn: STREAMS, wrong: 0 });
    });

  it('of 5 daemons in turn, twice over, where they began before the first', () => {
    const fleet = startFleet(5);
    const began = beginStreams(fleet);
    restartInTurn(fleet, () => undefined);
    advance(fleet, STOP_MS + DOWN_MS);
    restartInTurn(fleet, () => undefined);
    advance(fleet, STOP_MS);
    expect(resumeAll(fleet, began, fleet.nodes)).to.deep.equal({ wentOn: STREAMS, wrong: 0 });
  });

  it('of all other daemons at once', () => {
    const fleet = startFleet(9);
    const began = beginStreams(fleet);
    for (const node of fleet.nodes.slice(1)) fleet.restart(node, STOP_MS, DOWN_MS);
    advance(fleet, STOP_MS + 5000);
    fleet.kill(fleet.nodes[0], 60_000);
    advance(fleet, 5000);
    expect(resumeAll(fleet, began, fleet.nodes.slice(1))).to.deep.equal({ wentOn: STREAMS, wrong: 0 });
  });

  it('and kills of other daemons one after another', () => {
    const fleet = startFleet(9);
    const began = beginStreams(fleet);
    for (const node of fleet.nodes.slice(1)) {
      fleet.kill(node, 60_000);
      advance(fleet, 3000);
      if (fleet.nodes.filter(({ down }) => !down).length === 2) break;
    }
    const rest = fleet.nodes.filter(({ down }) => !down);
    expect(resumeAll(fleet, began, rest.slice(1))).to.deep.equal({ wentOn: STREAMS, wrong: 0 });
  });

  it('while the store is silent', () => {
    const fleet = startFleet(5);
    const began = beginStreams(fleet);
    for (const node of fleet.nodes) node.access = 'silent';
    fleet.nodes.slice(0, 3).forEach((node) => {
      fleet.restart(node, STOP_MS, 60_000);
      advance(fleet, TURN_MS);
    });
    advance(fleet, STOP_MS);
    expect(resumeAll(fleet, began, fleet.nodes.slice(3))).to.deep.equal({ wentOn: STREAMS, wrong: 0 });
  });

  it('and cost no message while the members stay', () => {
    const fleet = startFleet(24);
    beginStreams(fleet);
    advance(fleet, 10_000);
    expect(fleet.messageCounts.get('streamBegan')).to.equal(2 * STREAMS);
  });

  it('and cost few messages for a member that comes or goes', () => {
    const fleet = startFleet(24);
    beginStreams(fleet);
    fleet.kill(fleet.nodes[23], 60_000);
    advance(fleet, 10_000);
    expect(fleet.messageCounts.get('streamBegan')).to.be.at.most(3 * STREAMS);
  });
});

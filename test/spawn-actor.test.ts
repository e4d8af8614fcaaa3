/**
 * Guards against events that wait in an actor although the process has time: nact handles one message in each turn of
 * the event loop, and a busy daemon receives several a turn. A caller's disconnect was handled more than half a second
 * late, and back ends went on with requests that nobody waited for.
 */
import { expect } from 'chai';
import nact from 'nact';
import { spawnActor } from '../src/process/spawn-actor.js';

function waitTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe('an actor', () => {
  const system = nact.start();
  const handled: number[] = [];

  after(() => nact.stop(system));
  beforeEach(() => void handled.splice(0));

  it('handles all pending messages in one turn of the event loop, in order', async () => {
    const actor = spawnActor<number>(system, 'all', (message) => handled.push(message));
    const messages = Array.from({ length: 100 }, (_, i) => i);
    for (const message of messages) actor.dispatch(message);
    expect(handled).to.deep.equal([]);
    await waitTurn();
    expect(handled).to.deep.equal(messages);
  });

  it('handles messages that are dispatched meanwhile in a later turn', async () => {
    const actor = spawnActor<number>(system, 'meanwhile', (message) => {
      handled.push(message);
      if (message < 3) actor.dispatch(message + 2);
    });
    actor.dispatch(1);
    actor.dispatch(2);
    await waitTurn();
    expect(handled).to.deep.equal([1, 2]);
    await waitTurn();
    expect(handled).to.deep.equal([1, 2, 3, 4]);
  });
});

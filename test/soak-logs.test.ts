/**
 * The check that each accepted request has one outcome in its daemon's log.
 */
import { expect } from 'chai';
import { checkLog } from '../lab/soak/log-check.js';

const LONGEST_MS = 5000;
const STARTED = { event: 'process.started', clock: 1000 };
const ACCEPTED = { event: 'request.accepted', clock: 2000, requestId: 'q1', service: 'application' };
const ANSWERED = { ...ACCEPTED, event: 'request.answered', clock: 2100 };
const LATER = { event: 'retries.used', clock: 9000 };

function check(...lines: readonly object[]): ReturnType<typeof checkLog> {
  return checkLog(
    'daemon-1',
    lines.map((line) => JSON.stringify(line)),
    LONGEST_MS,
  );
}

function findTexts(...lines: readonly object[]): string[] {
  return check(...lines).violations.map(({ text }) => text);
}

describe('the check of the logs of a soak', () => {
  it('finds an accepted request that is never heard of again', () => {
    expect(findTexts(STARTED, ACCEPTED, LATER)).to.deep.equal([
      'q1 by daemon-1, accepted at 2000, has no outcome',
    ]);
  });

  it('finds a request with two outcomes', () => {
    const failed = { ...ANSWERED, event: 'request.failed' };
    expect(findTexts(STARTED, ACCEPTED, ANSWERED, failed, LATER)).to.deep.equal([
      'q1 by daemon-1 has an outcome too many',
    ]);
  });

  it('finds one of two requests with the same id that is never heard of again', () => {
    const repeated = { ...ACCEPTED, clock: 2050 };
    expect(findTexts(STARTED, ACCEPTED, repeated, ANSWERED, LATER)).to.have.length(1);
  });

  it('finds a request without a caller that goes on and never ends', () => {
    const cancelled = { ...ANSWERED, event: 'request.cancelled', finished: true };
    expect(findTexts(STARTED, ACCEPTED, cancelled, LATER)).to.have.length(1);
    expect(findTexts(STARTED, ACCEPTED, cancelled, ANSWERED, LATER)).to.deep.equal([]);
  });

  for (const event of ['request.answered', 'request.failed', 'request.refused', 'request.cancelled'])
    it(`reports nothing after one ${event}`, () => {
      expect(check(STARTED, ACCEPTED, { ...ANSWERED, event }, LATER)).to.deep.include({
        accepted: 1,
        open: 0,
        violations: [],
      });
    });

  it('does not take a refusal before acceptance for an outcome of an accepted request', () => {
    const refused = { event: 'request.refused', clock: 2100, requestId: 'q1' };
    expect(findTexts(STARTED, ACCEPTED, refused, LATER)).to.have.length(1);
  });

  it('judges no request that was in progress when its process was killed', () => {
    const outcome = check(STARTED, ACCEPTED, STARTED, LATER);
    expect(outcome).to.deep.include({ accepted: 1, open: 1, violations: [] });
  });

  it('judges no request of a process that dropped lines, and counts it', () => {
    const dropped = { event: 'log.dropped', clock: 3000, lines: 4 };
    const outcome = check(STARTED, ACCEPTED, dropped, LATER);
    expect(outcome).to.deep.include({ sampled: 1, violations: [] });
  });

  it('reads on after lines that are no decisions or are cut short', () => {
    const lines = ['(node:1) Warning', '{"event":"request.acc', JSON.stringify(ACCEPTED)];
    expect(checkLog('daemon-1', [...lines, JSON.stringify(LATER)], LONGEST_MS).violations).to.have.length(1);
  });
});

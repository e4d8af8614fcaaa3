/** The check of streams that callers take up in a soak, on prepared records, and the plan of its phase. */
import { expect } from 'chai';
import { formatEvent, findEvents, findStreamProblem } from '../lab/soak/stream-events.js';
import {
  findVersionOutcome,
  findVersionViolations,
  type StreamRecord,
  type StreamTry,
  type VersionContext,
} from '../lab/soak/version-check.js';
import { makeVersionPlan } from '../lab/soak/version-faults.js';
import { SeededRandom } from '../src/shared/random.js';

const SPANS = ['e1', 'e2'].map((backend) => ({
  backend,
  version: 'v1',
  generates: true,
  from: 0,
  until: 100_000,
}));
const CONTEXT: VersionContext = { spans: SPANS, disturbances: [], contactMs: 3000 };

function makeTry(fields: Partial<StreamTry> = {}): StreamTry {
  const sent = { daemon: 'daemon-1', sentAt: 10_000, endedAt: 10_100 };
  return { ...sent, status: 200, events: 3, brokenOff: false, ...fields };
}

function makeStreams(count: number, fields: Partial<StreamRecord>): StreamRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `s${index}`,
    versions: ['v1', 'v1'],
    tries: [makeTry(), makeTry()],
    ...fields,
  }));
}

function findPromises(streams: readonly StreamRecord[], context = CONTEXT): string[] {
  return findVersionViolations(findVersionOutcome(streams, context)).map(({ promise }) => promise);
}

describe('the check of streams that are taken up', () => {
  it('finds more than two streams of two versions', () => {
    expect(findPromises(makeStreams(2, { versions: ['v1', 'v2'] }))).to.deep.equal([]);
    expect(findPromises(makeStreams(3, { versions: ['v1', 'v2'] }))).to.deep.equal([
      'a stream holds events of one version',
    ]);
  });

  it('finds that too few of twelve streams go on', () => {
    const refused = makeTry({ status: 503, events: 0 });
    const wentOn = makeStreams(6, {});
    const promise = 'streams go on as often as new ones begin';
    expect(findPromises([...wentOn, ...makeStreams(6, { tries: [makeTry(), refused] })])).to.deep.equal([]);
    const rejected = makeStreams(7, { tries: [makeTry(), refused] });
    expect(findPromises([...wentOn, ...rejected])).to.deep.equal([promise]);
    expect(findPromises(makeStreams(11, { tries: [makeTry(), refused] }))).to.deep.equal([]);
  });

  it('judges only daemons in touch, while two engines of the version serve', () => {
    const streams = makeStreams(20, { tries: [makeTry(), makeTry({ status: 503, events: 0 })] });
    expect(findPromises(streams, { ...CONTEXT, spans: SPANS.slice(1) })).to.deep.equal([]);
    const killed = { target: 'daemon-1', kind: 'kill', from: 6000, until: 7500 };
    expect(findPromises(streams, { ...CONTEXT, disturbances: [killed] })).to.deep.equal([]);
  });

  it('reads the version of each event, and finds two of them in one answer', () => {
    const text = [1, 2].map((number) => formatEvent('q', number, 2, `v${number}`)).join('');
    expect(findEvents(text).map(({ version }) => version)).to.deep.equal(['v1', 'v2']);
    expect(findStreamProblem('q', text, true)).to.equal('has events of the versions v1 and v2');
    expect(findStreamProblem('q', formatEvent('q', 1, 1, 'v1'), true)).to.equal(undefined);
  });

  it('is made of the same plan for the same seed', () => {
    const plan = (): string[] => {
      const random = new SeededRandom(73);
      const faults = makeVersionPlan(['daemon-1', 'daemon-2'], [4, 5, 6, 7], 20_000, () => random.next());
      return faults.map(({ atMs, fault }) => `${atMs} ${fault.getName()} ${fault.durationMs}`);
    };
    expect(plan()).to.deep.equal(plan());
    expect(plan().some((line) => line.includes('replacement'))).to.equal(true);
    expect(plan().some((line) => line.includes('kill'))).to.equal(true);
  });
});

/** The crash detector: which observations prove that a back end crashed under an attempt, and which do not. */
import { expect } from 'chai';
import { CrashDetector, type BackendCheck, type CheckBackend } from '../src/quarantine/crash-detector.js';

const BACKEND = { id: 'b1', incarnation: 'b1', address: '10.0.0.1:80' };
const SUCCESSOR = { ...BACKEND, incarnation: 'b1@2' };

/** A detector whose checks are answered by the test. */
class DetectorHarness {
  readonly checks: CheckBackend[] = [];
  hasOlderAttempt = false;
  readonly detector = new CrashDetector(
    () => this.hasOlderAttempt,
    (check) => this.checks.push(check),
  );

  breakAttempt(key: string, startedAt: number, at: number, answeringSince?: number): string[] {
    return this.detector
      .addBrokenAttempt(BACKEND, { key, parts: [], startedAt, at, answeringSince })
      .map((crash) => crash.key);
  }

  restart(now: number): string[] {
    const gone = this.detector.onBackendGone(BACKEND.incarnation, now);
    return [...gone, ...this.detector.onBackendRestarted(SUCCESSOR, now)].map(
      ({ key, incarnation }) => `${key} ${incarnation}`,
    );
  }

  answer(check: BackendCheck, now: number): string[] {
    return this.detector.receiveCheck(BACKEND, check, now).map((crash) => crash.key);
  }
}

describe('crash detector: broken attempts', () => {
  it('are crashes at a back end that refuses connections, including those reported later', () => {
    const harness = new DetectorHarness();
    expect(harness.breakAttempt('a', 0, 100)).to.deep.equal([]);
    harness.breakAttempt('b', 50, 101);
    expect(harness.checks).to.have.length(1);
    expect(harness.answer('ended', 103)).to.deep.equal(['a', 'b']);
    expect(harness.breakAttempt('c', 60, 104)).to.deep.equal(['c']);
  });

  it('are not crashes if they started after another broke: the back end may have been gone already', () => {
    const harness = new DetectorHarness();
    harness.breakAttempt('a', 0, 100);
    harness.breakAttempt('late', 101, 102);
    expect(harness.answer('ended', 103)).to.deep.equal(['a']);
    expect(harness.breakAttempt('later', 110, 111)).to.deep.equal([]);
  });

  it('are not crashes at a back end that listens; attempts that break afterwards are checked again', () => {
    const harness = new DetectorHarness();
    harness.breakAttempt('a', 0, 100);
    expect(harness.answer('answered', 130)).to.deep.equal([]);
    harness.breakAttempt('b', 110, 150);
    expect(harness.checks, 'not at once').to.have.length(1);
    harness.detector.tick(340);
    expect(harness.checks).to.have.length(2);
    expect(harness.answer('ended', 342), 'the back end survived the first').to.deep.equal(['b']);
  });

  it('are not crashes at a back end that refuses connections while older attempts are in flight', () => {
    const harness = new DetectorHarness();
    harness.hasOlderAttempt = true;
    harness.breakAttempt('a', 0, 100);
    expect(harness.answer('ended', 102)).to.deep.equal([]);
    harness.detector.tick(210);
    expect(harness.answer('ended', 212)).to.deep.equal([]);
    harness.hasOlderAttempt = false;
    harness.detector.tick(320);
    expect(harness.answer('ended', 322)).to.deep.equal(['a']);
  });

  it('are crashes after three consecutive unclear checks', () => {
    const harness = new DetectorHarness();
    harness.breakAttempt('a', 0, 100);
    expect(harness.answer('unclear', 102)).to.deep.equal([]);
    harness.detector.tick(210);
    expect(harness.answer('unclear', 212)).to.deep.equal([]);
    harness.detector.tick(320);
    expect(harness.answer('unclear', 322)).to.deep.equal(['a']);
  });

  it('are crashes if the record of the back end disappears within 5 s, and are dropped after that', () => {
    const harness = new DetectorHarness();
    harness.breakAttempt('a', 0, 100);
    harness.answer('unclear', 130);
    expect(harness.detector.onBackendGone('b1', 140).map(({ key }) => key)).to.deep.equal(['a']);
    const other = new DetectorHarness();
    other.breakAttempt('a', 0, 100);
    other.answer('unclear', 130);
    other.detector.tick(5200);
    expect(other.detector.onBackendGone('b1', 5201)).to.deep.equal([]);
  });
});

describe('crash detector: a back end that restarts under its id', () => {
  it('had crashed under attempts that broke before its successor was found to listen', () => {
    const harness = new DetectorHarness();
    harness.breakAttempt('a', 0, 100);
    harness.answer('answered', 600);
    expect(harness.restart(900)).to.deep.equal(['a b1']);
    expect(harness.restart(901), 'counted once').to.deep.equal([]);
  });

  it('had not crashed under attempts that it had outlived by a later crash, by 5 s, or until it left as announced', () => {
    const crashed = new DetectorHarness();
    crashed.breakAttempt('a', 0, 100);
    crashed.answer('answered', 130);
    crashed.breakAttempt('b', 110, 400);
    crashed.detector.tick(401);
    expect(crashed.answer('ended', 402)).to.deep.equal(['b']);
    expect(crashed.restart(900)).to.deep.equal([]);
    const old = new DetectorHarness();
    old.breakAttempt('a', 0, 100);
    old.answer('answered', 130);
    expect(old.restart(5101)).to.deep.equal([]);
    const left = new DetectorHarness();
    left.breakAttempt('a', 0, 100);
    left.answer('answered', 130);
    left.detector.onBackendLeft(BACKEND.incarnation);
    expect(left.detector.onBackendRestarted(SUCCESSOR, 900)).to.deep.equal([]);
  });

  it('has crashed again if nobody listens any more once its new record arrives', () => {
    for (const [startedAt, answeringSince] of [
      [150, 160],
      [300, undefined],
    ] as const) {
      const harness = new DetectorHarness();
      harness.breakAttempt('a', 0, 100);
      expect(harness.answer('ended', 200)).to.deep.equal(['a']);
      expect(harness.breakAttempt('b', startedAt, 350, answeringSince)).to.deep.equal([]);
      expect(harness.breakAttempt('refused', 120, 130)).to.deep.equal([]);
      expect(harness.restart(500)).to.deep.equal([]);
      expect(harness.checks.at(-1)?.backend).to.deep.equal(SUCCESSOR);
      const crashes = harness.detector.receiveCheck(SUCCESSOR, 'ended', 510);
      expect(crashes.map(({ key, incarnation }) => `${key} ${incarnation}`)).to.deep.equal(['b b1@2']);
    }
  });

  it('keeps a bounded number of attempts that wait for its record', () => {
    const harness = new DetectorHarness();
    for (let i = 0; i < 1000; i += 1) {
      harness.breakAttempt(`a${i}`, 0, 100);
      harness.answer('answered', 100);
    }
    expect(harness.restart(200)).to.have.length(256);
  });
});

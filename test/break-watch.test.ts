/** What shows that a back end ended under a run, and what does not. */
import { expect } from 'chai';
import { CrashDetector, type BackendCheck, type CheckBackend } from '../src/quarantine/break-watch.js';

const BACKEND = { id: 'b1', incarnation: 'b1', address: '10.0.0.1:80' };

/** A watch whose checks are answered by hand. */
class Watch {
  readonly checks: CheckBackend[] = [];
  hasOlderRun = false;
  readonly watch = new CrashDetector(
    () => this.hasOlderRun,
    (check) => this.checks.push(check),
  );

  breakOff(key: string, startedAt: number, at: number): string[] {
    return this.watch.addBrokenAttempt(BACKEND, { key, startedAt, at }).map((end) => end.key);
  }

  answer(check: BackendCheck, now: number): string[] {
    return this.watch.receiveCheck(BACKEND, check, now).map((end) => end.key);
  }
}

describe('runs that break off', () => {
  it('at a back end that refuses connections have ended it, those told later too', () => {
    const site = new Watch();
    expect(site.breakOff('a', 0, 100)).to.deep.equal([]);
    site.breakOff('b', 50, 101);
    expect(site.checks).to.have.length(1);
    expect(site.answer('ended', 103)).to.deep.equal(['a', 'b']);
    expect(site.breakOff('c', 60, 104)).to.deep.equal(['c']);
  });

  it('and began after another had, were sent to one that may have been gone', () => {
    const site = new Watch();
    site.breakOff('a', 0, 100);
    site.breakOff('late', 101, 102);
    expect(site.answer('ended', 103)).to.deep.equal(['a']);
    expect(site.breakOff('later', 110, 111)).to.deep.equal([]);
  });

  it('at a back end that listens have not ended it; one after that is judged anew', () => {
    const site = new Watch();
    site.breakOff('a', 0, 100);
    expect(site.answer('answered', 130)).to.deep.equal([]);
    site.breakOff('b', 110, 150);
    expect(site.checks, 'not at once').to.have.length(1);
    site.watch.tick(340);
    expect(site.checks).to.have.length(2);
    expect(site.answer('ended', 342), 'it outlived the first').to.deep.equal(['b']);
  });

  it('have not ended one that refuses connections and serves older runs on', () => {
    const site = new Watch();
    site.hasOlderRun = true;
    site.breakOff('a', 0, 100);
    expect(site.answer('ended', 102)).to.deep.equal([]);
    site.watch.tick(210);
    expect(site.answer('ended', 212)).to.deep.equal([]);
    site.hasOlderRun = false;
    site.watch.tick(320);
    expect(site.answer('ended', 322)).to.deep.equal(['a']);
  });

  it('have ended one behind which three connections in a row come to nothing', () => {
    const site = new Watch();
    site.breakOff('a', 0, 100);
    expect(site.answer('unclear', 102)).to.deep.equal([]);
    site.watch.tick(210);
    expect(site.answer('unclear', 212)).to.deep.equal([]);
    site.watch.tick(320);
    expect(site.answer('unclear', 322)).to.deep.equal(['a']);
  });

  it('have ended one whose record goes within 5 s, and nothing is remembered after that', () => {
    const site = new Watch();
    site.breakOff('a', 0, 100);
    site.answer('unclear', 130);
    expect(site.watch.onBackendGone('b1').map(({ key }) => key)).to.deep.equal(['a']);
    const other = new Watch();
    other.breakOff('a', 0, 100);
    other.answer('unclear', 130);
    other.watch.tick(5200);
    expect(other.watch.onBackendGone('b1')).to.deep.equal([]);
  });
});

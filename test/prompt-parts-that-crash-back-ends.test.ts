/**
 * Parts of prompts that crash back ends, counted at the back ends.
 *
 * Guards against a part that crashes each engine that begins to answer a request with it, in requests of which no two
 * are alike: each one was a new suspect, so engines crashed one after the other, and sound requests of the same caller
 * were refused instead.
 */
import { expect } from 'chai';
import type { FleetNode } from '../simulation/forwarding-fleet.js';
import { CONTACT_MS, CrashSite, TRAFFIC_START_MS, type SentRequest } from './crash-site.js';

const SEEDS = [1, 2, 3];
const TRAFFIC_MS = 30_000;
const CALLER = '10.8.0.1';
const FIRST = 'first';
const OTHER = 'other first part';
const BAD = 'bad';
const WORSE = 'worse';
/** Rates of the caller's requests and of the other callers'. Per second. */
const BAD_PER_SECOND = 7;
const SOUND_PER_SECOND = 13;
const OTHER_FIRST_PER_SECOND = 7;
const OTHERS_PER_SECOND = 40;
/** Parts that sound and bad requests share besides the first one. */
const MIDDLE_PARTS = 12;
const ALLOWED_LATE_ARRIVALS = 3;
/** The users judge the share of sound requests from this number on. */
const FEWEST_SOUND = 20;
/** The users' bound on the share of sound requests that begin, relative to quiet times. */
const LEAST_SOUND_SHARE = 0.5;

interface Traffic {
  readonly badPerSecond?: number;
  readonly soundPerSecond?: number;
  /** Draws the parts of a bad request without its own; the default has the bad one in the middle. */
  readonly makeBad?: (site: CrashSite, middle: string) => readonly string[];
  readonly callers?: readonly string[];
  /** How often callers send each bad request. */
  readonly badRepeats?: number;
  readonly onStep?: (at: number) => void;
}

/** Runs the traffic of one caller's bad and sound requests beside that of others. */
function runParts(site: CrashSite, traffic: Traffic = {}): void {
  const {
    badPerSecond = BAD_PER_SECOND,
    soundPerSecond = SOUND_PER_SECOND,
    badRepeats = 1,
    onStep,
  } = traffic;
  const { makeBad = (_site, middle) => [FIRST, BAD, middle], callers = [CALLER] } = traffic;
  let sent = 0;
  const send = (parts: readonly string[]): void => {
    sent += 1;
    const caller = callers[site.random.below(callers.length)];
    site.send(`content ${sent}`, caller, undefined, [...parts, `own ${sent}`]);
  };
  let badSent = 0;
  let repeated: { content: string; caller: string; parts: readonly string[] } | undefined;
  const sendBad = (parts: readonly string[]): void => {
    badSent += 1;
    if (!repeated || (badSent - 1) % badRepeats === 0) {
      const caller = callers[site.random.below(callers.length)];
      repeated = { content: `bad content ${badSent}`, caller, parts: [...parts, `bad own ${badSent}`] };
    }
    site.send(repeated.content, repeated.caller, undefined, repeated.parts);
  };
  const makeDrawn = (
    perSecond: number,
    startMs: number,
    makeParts: (middle: string) => readonly string[],
    sendParts = send,
  ) => {
    let nextAt = TRAFFIC_START_MS + startMs;
    return (at: number): void => {
      if (at < nextAt) return;
      nextAt = at + (1000 / perSecond) * (0.5 + site.random.next());
      sendParts(makeParts(`middle ${site.random.below(MIDDLE_PARTS)}`));
    };
  };
  const flows = [
    makeDrawn(soundPerSecond, 0, (middle) => [FIRST, middle]),
    makeDrawn(OTHER_FIRST_PER_SECOND, 0, (middle) => [OTHER, middle]),
    ...(badPerSecond > 0 ? [makeDrawn(badPerSecond, 1000, (middle) => makeBad(site, middle), sendBad)] : []),
  ];
  site.runTraffic(TRAFFIC_MS, OTHERS_PER_SECOND, (at) => {
    onStep?.(at);
    for (const flow of flows) flow(at);
  });
}

function createSite(seed: number, parts: readonly string[] = [BAD], daemons = 7): CrashSite {
  const site = new CrashSite(seed, { daemons, stages: true });
  for (const part of parts) site.crashingParts.add(part);
  return site;
}

function isSound(site: CrashSite, { parts }: SentRequest): boolean {
  return !parts.some((part) => site.crashingParts.has(part));
}

/** When sound requests have to be served again: twice the contact time after the fifth crash, or the last one. */
function getServedSince(site: CrashSite, parts: readonly string[]): number {
  const fifths = parts.map((part) => site.getCrashTimes(part).slice(0, 5).at(-1) ?? TRAFFIC_START_MS);
  return Math.max(...fifths) + 2 * CONTACT_MS;
}

function checkParts(site: CrashSite, what: string, parts: readonly string[] = [BAD]): void {
  const since = getServedSince(site, parts);
  const ofCaller = (first: string) => (request: SentRequest) =>
    request.parts[0] === first && isSound(site, request);
  for (const part of parts) {
    expect(site.getCrashTimes(part).length, `${what}: crashes under ${part}`).to.be.at.least(3);
    expect(site.countLateArrivals(part), `${what}: late arrivals of ${part}`).to.be.at.most(
      ALLOWED_LATE_ARRIVALS,
    );
  }
  const isJudged = (first: string): boolean => {
    const sent = [...site.requests.values()].filter(ofCaller(first));
    return sent.filter(({ at }) => at >= since).length >= FEWEST_SOUND;
  };
  for (const first of [FIRST, OTHER])
    if (isJudged(first))
      expect(site.getStartedShare(since, ofCaller(first)), `${what}: sound with ${first}`).to.be.at.least(
        LEAST_SOUND_SHARE,
      );
}

describe('a part of prompts that crashes back ends', () => {
  it('reaches back ends in at most three more requests once it has crashed five, and sound requests are served', () => {
    for (const seed of SEEDS)
      for (const daemons of [1, 7]) {
        const site = createSite(seed, [BAD], daemons);
        runParts(site);
        checkParts(site, `seed ${seed}, ${daemons} daemons`);
      }
  });

  it('is found where it stands first', () => {
    for (const seed of SEEDS) {
      const site = createSite(seed);
      runParts(site, { makeBad: (_site, middle) => [BAD, middle] });
      checkParts(site, `seed ${seed}`);
    }
  });

  it('is found where it stands before a part of the same session', () => {
    for (const seed of SEEDS) {
      const site = createSite(seed);
      runParts(site, { makeBad: ({ random }) => [FIRST, BAD, `session ${random.below(3)}`] });
      checkParts(site, `seed ${seed}`);
    }
  });

  it('is found in requests of several callers', () => {
    for (const seed of SEEDS) {
      const site = createSite(seed);
      runParts(site, { callers: [CALLER, '10.8.0.2', '10.8.0.3', '10.8.0.4'] });
      checkParts(site, `seed ${seed}`);
    }
  });

  it('is found beside another one', () => {
    for (const seed of SEEDS) {
      const site = createSite(seed, [BAD, WORSE]);
      runParts(site, {
        makeBad: ({ random }, middle) => [FIRST, random.next() < 0.5 ? BAD : WORSE, middle],
      });
      checkParts(site, `seed ${seed}`, [BAD, WORSE]);
    }
  });

  it('is found in requests that their callers repeat', () => {
    for (const seed of SEEDS)
      for (const badRepeats of [2, 4, 8]) {
        const site = createSite(seed);
        runParts(site, { badRepeats });
        checkParts(site, `seed ${seed}, ${badRepeats} times`);
      }
  });

  it('is found where engines complete answers on it before they crash', () => {
    for (const seed of SEEDS) {
      const site = new CrashSite(seed, { stages: true, answersBeforeCrash: true, executionMs: 400 });
      site.crashingParts.add(BAD);
      runParts(site);
      checkParts(site, `seed ${seed}`);
    }
  });

  it('is found where they do so while they mostly have no other request', () => {
    for (const seed of SEEDS) {
      const site = new CrashSite(seed, { stages: true, answersBeforeCrash: true });
      site.crashingParts.add(BAD);
      runParts(site);
      checkParts(site, `seed ${seed}`);
    }
  });

  it('is found where it was answered until it began to crash back ends', () => {
    for (const seed of SEEDS) {
      const site = new CrashSite(seed, { stages: true, backends: 40 });
      const onStep = (at: number): void => {
        if (at >= TRAFFIC_START_MS + 5000) site.crashingParts.add(BAD);
      };
      runParts(site, { onStep });
      checkParts(site, `seed ${seed}`);
    }
  });

  it('is found where requests are few', () => {
    for (const seed of SEEDS) {
      const site = createSite(seed);
      runParts(site, { badPerSecond: 0.5 });
      expect(site.countLateArrivals(BAD), `seed ${seed}`).to.be.at.most(ALLOWED_LATE_ARRIVALS);
      checkParts(site, `seed ${seed}`);
    }
  });

  it('is found where no other request has the other parts for a while', () => {
    for (const seed of SEEDS) {
      const site = createSite(seed);
      runParts(site, { makeBad: () => [FIRST, BAD, 'middle of all bad ones'], soundPerSecond: 0.5 });
      checkParts(site, `seed ${seed}`);
    }
  });

  it('is found while daemons are killed one by one or all at once', () => {
    for (const seed of SEEDS) {
      const site = createSite(seed);
      let nextKillAt = TRAFFIC_START_MS + 1500;
      let turn = 0;
      const onStep = (at: number): void => {
        if (at < nextKillAt) return;
        nextKillAt = at + 1200;
        site.kill(site.fleet.nodes[turn++ % 7], 400);
      };
      runParts(site, { onStep });
      checkParts(site, `seed ${seed}, one by one`);

      const restarted = createSite(seed);
      let done = false;
      runParts(restarted, {
        onStep: (at) => {
          if (done || at < TRAFFIC_START_MS + 6000) return;
          done = true;
          for (const node of restarted.fleet.nodes) restarted.kill(node, 500);
        },
      });
      checkParts(restarted, `seed ${seed}, all at once`);
    }
  });

  it('is found where all daemons are restarted in turn between the requests', () => {
    for (const seed of SEEDS) {
      const site = new CrashSite(seed, { daemons: 5, stages: true, attempts: 1 });
      site.crashingParts.add(BAD);
      for (let round = 0; round < 12; round += 1) {
        site.send(`content ${round}`, CALLER, undefined, [FIRST, BAD, `own ${round}`]);
        for (const node of site.fleet.nodes) {
          site.runTraffic(700, OTHERS_PER_SECOND);
          site.kill(node, 400);
        }
        site.runTraffic(4500, OTHERS_PER_SECOND);
      }
      expect(site.getCrashTimes(BAD).length, `seed ${seed}`).to.be.within(3, 5);
      expect(site.countLateArrivals(BAD), `seed ${seed}`).to.be.at.most(ALLOWED_LATE_ARRIVALS);
    }
  });

  it('is found while the store is silent', () => {
    for (const seed of SEEDS) {
      const site = createSite(seed);
      for (const node of site.fleet.nodes) node.access = 'silent';
      runParts(site);
      checkParts(site, `seed ${seed}`);
    }
  });

  it('is found beside a daemon of an older build, which goes on sending it', () => {
    for (const seed of SEEDS) {
      const site = createSite(seed);
      site.olderNodes.add(site.fleet.nodes[0]);
      runParts(site);
      expect(site.getCrashTimes(BAD).length, `seed ${seed}`).to.be.greaterThan(8);
      expect(site.countLateArrivals(BAD), `seed ${seed}`).to.be.at.most(ALLOWED_LATE_ARRIVALS);
      const since = getServedSince(site, [BAD]);
      const share = site.getStartedShare(
        since,
        (request) => isSound(site, request) && request.parts[0] === FIRST,
      );
      expect(share, `seed ${seed}`).to.be.at.least(LEAST_SOUND_SHARE);
    }
  });

  it('is found by daemons that do not reach their peers but the store', () => {
    for (const seed of SEEDS) {
      const site = createSite(seed);
      const isFar = (node: FleetNode): boolean => site.fleet.nodes.indexOf(node) >= 5;
      site.fleet.isLinked = (from, to) => from === to || (!isFar(from) && !isFar(to));
      runParts(site);
      checkParts(site, `seed ${seed}`);
    }
  });
});

describe('a sound part that is held beside one that crashes back ends', () => {
  it('is released after a time in which no engine could be reached to try it', () => {
    for (const seed of SEEDS) {
      const site = createSite(seed);
      const parts = [FIRST, 'of all bad ones'];
      const outage = { from: TRAFFIC_START_MS + 4000, until: TRAFFIC_START_MS + 20_000 };
      let nextAt = outage.from;
      runParts(site, {
        makeBad: () => [...parts, BAD],
        onStep: (at) => {
          if (at < nextAt) return;
          nextAt = at + 500;
          if (at < outage.until) site.crashBackends(6);
          site.send(`sound ${at}`, CALLER, undefined, [...parts, `own ${at}`]);
        },
      });
      const share = site.getStartedShare(outage.until + 2 * CONTACT_MS, ({ content }) =>
        content.startsWith('sound'),
      );
      expect(share, `seed ${seed}`).to.be.at.least(LEAST_SOUND_SHARE);
    }
  });
});

describe('popular sound parts of prompts', () => {
  it('stay served while back ends crash on their own, one after another and many at once', () => {
    for (const seed of SEEDS) {
      const site = createSite(seed, []);
      let nextCrashAt = TRAFFIC_START_MS + 1000;
      runParts(site, {
        badPerSecond: 0,
        onStep: (at) => {
          if (at < nextCrashAt) return;
          nextCrashAt = at + 1500;
          site.crashBackends(1 + site.random.below(4));
        },
      });
      const getShare = (first: string): number =>
        site.getStartedShare(TRAFFIC_START_MS + 1000, ({ parts }) => parts[0] === first);
      const others = site.getStartedShare(TRAFFIC_START_MS + 1000, ({ content }) =>
        content.startsWith('other'),
      );
      expect(site.crashes.length).to.be.greaterThan(15);
      expect(getShare(FIRST), `seed ${seed}`).to.be.at.least(others - 0.05);
      expect(getShare(OTHER), `seed ${seed}`).to.be.at.least(others - 0.05);
    }
  });

  it('stay served when all engines that generate crash at once', () => {
    for (const seed of SEEDS) {
      const site = createSite(seed, []);
      let done = false;
      runParts(site, {
        badPerSecond: 0,
        onStep: (at) => {
          if (done || at < TRAFFIC_START_MS + 3000) return;
          done = true;
          site.crashBackends(6);
        },
      });
      const share = site.getStartedShare(TRAFFIC_START_MS + 8000, ({ parts }) => parts[0] === FIRST);
      expect(share, `seed ${seed}`).to.be.at.least(0.95);
    }
  });
});

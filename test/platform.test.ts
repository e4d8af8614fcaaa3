/** Tests of platform/: invalid input gives a typed error that names the field, and no other folder uses its names. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import fc from 'fast-check';
import { readConfiguration, readServer } from '../platform/records.js';
import { checkPlatformSettings, createProcessSettings } from '../platform/settings.js';
import { StoreClient } from '../platform/store-client.js';
import { TableClient } from '../platform/table-client.js';
import { PulleyledgeError, SettingsError, ValidationError } from '../src/errors/index.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const SEED = 20261202;

/**
 * Time for a read of about 4 ms, a routing decision made just before it, and the latency to the back end.
 * Milliseconds.
 */
const SECOND_READ_MS = 100;
const SETTINGS = `
node = "n1"
zone = "z"
ip = "10.1.0.35"
port_range = [7660, 7675]
region = "r"
heartbeat_ms = 1200
unknown = 1
seeds = ["10.1.0.35:8146"]
[listen]
front = "10.1.0.35:8144"
ready = "10.1.0.35:8140"
control = "10.1.0.35:8146"
[bounds]
contact_ms = 3000
config_ms = 2000
grace_s = 8
lease_ms = 3000
retry_budget_ratio = 0.2
budget_slack = 54
budget_window_s = 10
[platform]
addr = "10.200.1.7:8142"
`;

const ROUTE = {
  name: 'r',
  host: 'h.example',
  path_prefix: '/p/',
  route_kind: 'streaming',
  timeout_ms: 3000,
  target_latency_ms: 300,
  service: 's',
  resumable: true,
};

function encodeConfiguration(route: object): string {
  return JSON.stringify({ version: 7, routes: [route], services: [{ name: 's' }] });
}

function listFiles(folder: string): string[] {
  return readdirSync(join(ROOT, folder), { withFileTypes: true }).flatMap((entry) =>
    entry.isDirectory() ? listFiles(join(folder, entry.name)) : [join(folder, entry.name)],
  );
}

describe('platform settings', () => {
  it('known fields are read and unknown ones are ignored', () => {
    expect(checkPlatformSettings(SETTINGS).listen.front).to.equal('10.1.0.35:8144');
  });

  it('the region of each zone is read; without the table there is one region', () => {
    const zones = `${SETTINGS}\n[zones]\nz = "r"\ny = "q"`;
    expect(createProcessSettings(checkPlatformSettings(zones)).daemon.regionByZone).to.deep.equal({
      z: 'r',
      y: 'q',
    });
    expect(createProcessSettings(checkPlatformSettings(SETTINGS)).daemon.regionByZone).to.deep.equal({});
  });

  it('each duty is enabled where the platform requests it', () => {
    const duties = (names: string, bounds = ''): [boolean, boolean] | undefined => {
      const text = SETTINGS.replace('lease_ms = 3000', `lease_ms = 3000\n${bounds}`);
      const cloud = `${text}\n[cloud]\naddr = "10.200.0.1:80"\nduties = ${names}`;
      const found = createProcessSettings(checkPlatformSettings(cloud)).daemon.duties;
      return found && [found.reportsUsage, found.ordersServers];
    };
    const windows = 'window_s = 5\nusage_late_s = 10';
    expect(createProcessSettings(checkPlatformSettings(SETTINGS)).daemon.duties).to.equal(undefined);
    expect(duties('[]', windows)).to.equal(undefined);
    expect(duties('["metering"]')).to.equal(undefined);
    expect(duties('["metering"]', windows)).to.deep.equal([true, false]);
    expect(duties('["autoscale"]')).to.deep.equal([false, true]);
    expect(duties('["metering", "autoscale"]', windows)).to.deep.equal([true, true]);
  });

  it('the standby delay, a lost read, a back-off and a second read fit into the bound', () => {
    for (const boundMs of [2000, 3000, 4000, 6000]) {
      const text = SETTINGS.replace(/config_ms = \d+/, `config_ms = ${boundMs}`);
      const { replica } = createProcessSettings(checkPlatformSettings(text)).daemon;
      const longestBackOffMs = replica.backoffMs * 1.5;
      const secondReadAt = replica.maximumStandbyDelayMs + replica.firstAnswerTimeoutMs + longestBackOffMs;
      expect(secondReadAt).to.be.at.most(boundMs - SECOND_READ_MS);
      expect(replica.firstAnswerTimeoutMs).to.be.within(100, replica.answerTimeoutMs);
    }
    const short = SETTINGS.replace(/config_ms = \d+/, 'config_ms = 100');
    expect(createProcessSettings(checkPlatformSettings(short)).daemon.replica.firstAnswerTimeoutMs).to.equal(
      100,
    );
  });

  it('errors name a missing or invalid field', () => {
    const wrong: [string, string, RegExp][] = [
      ['front = "10.1.0.35:8144"', '', /listen\.front/],
      ['grace_s = 8', 'grace_s = "8"', /bounds\.grace_s/],
      ['addr = "10.200.1.7:8142"', 'addr = "store"', /platform\.addr/],
      ['node = "n1"', 'node = ', /\(file\)/],
    ];
    for (const [from, to, name] of wrong) {
      expect(() => checkPlatformSettings(SETTINGS.replace(from, to))).to.throw(SettingsError, name);
    }
  });
});

describe('records of the store', () => {
  it('a configuration is parsed into routes', () => {
    const { version, routes } = readConfiguration(encodeConfiguration(ROUTE));
    expect(version).to.equal(7);
    expect(routes[0]).to.include({ kind: 'stream', resumable: true, targetLatencyMs: 300 });
    expect(routes[0].targets).to.deep.equal([{ service: 's', weight: 1 }]);
  });

  it('errors name an invalid field', () => {
    const wrong = encodeConfiguration({ ...ROUTE, timeout_ms: 'soon' });
    expect(() => readConfiguration(wrong)).to.throw(ValidationError, /routes\.0\.timeout_ms/);
    expect(() => readServer('i', '{"service":"s","addr":"a","zone":"z","slots":0,"state":"ready"}')).to.throw(
      ValidationError,
      /slots/,
    );
  });

  it('any text gives a record or a typed error', () => {
    const text = fc.oneof(fc.string(), fc.json());
    fc.assert(
      fc.property(text, (value) => {
        for (const read of [() => readConfiguration(value), () => readServer('i', value)]) {
          try {
            read();
          } catch (error) {
            expect(error).to.be.instanceOf(PulleyledgeError);
          }
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});

describe('the store over HTTP', () => {
  let server: Server;
  let address: string;
  let answer: (url: string, body: string) => { status: number; body?: unknown } | 'drop';

  beforeEach(async () => {
    server = createServer((request, response) => {
      let body = '';
      request.on('data', (chunk) => (body += String(chunk)));
      request.on('end', () => {
        const result = answer(request.url ?? '', body);
        if (result === 'drop') request.socket.destroy();
        else response.writeHead(result.status).end(JSON.stringify(result.body ?? {}));
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  it('an invalid record is reported and skipped, and the others are used', async () => {
    const invalidKeys: string[] = [];
    const store = new StoreClient(address, (key) => invalidKeys.push(key));
    const good = { service: 's', addr: '10.0.0.1:80', zone: 'z', slots: 4, state: 'ready' };
    const encode = (value: unknown): string => Buffer.from(JSON.stringify(value)).toString('base64');
    const rows = [
      { key: 'a', ver: 3, value: encode(good) },
      { key: 'b', ver: 4, value: encode({ slots: 'many' }) },
      { key: 'c', ver: 5, gone: true },
    ];
    answer = () => ({ status: 200, body: { rows, ver: 9 } });
    const result = await store.read({
      collection: 'backends',
      after: undefined,
      waitMs: 0,
      answerTimeoutMs: 800,
    });
    expect(invalidKeys).to.deep.equal(['b']);
    expect(result).to.include({ kind: 'snapshot', revision: 9 });
    if (result.kind === 'snapshot')
      expect(result.records.map((record) => record.value?.constructor === Object)).to.deep.equal([
        true,
        false,
      ]);
  });

  it('entries that are not valid servers are reported and skipped, and the others are used', async () => {
    const invalidKeys: string[] = [];
    const store = new StoreClient(address, (key) => invalidKeys.push(key));
    const good = {
      service: 's',
      addr: '10.0.0.1:80',
      zone: 'z',
      slots: 4,
      state: 'ready',
      born: 1_800_000_000_000,
    };
    const encode = (value: unknown): string => Buffer.from(JSON.stringify(value)).toString('base64');
    const invalid: Record<string, unknown> = {
      noState: { ...good, state: undefined },
      otherState: { ...good, state: 'warming' },
      otherType: { ...good, slots: '4' },
      noAddress: { ...good, addr: 'host:80' },
      otherAddress: { ...good, addr: '10.0.0.999:80' },
      noPort: { ...good, addr: '10.0.0.1:99999' },
      half: { ...good, born: 1.5 },
      long: { ...good, service: 's'.repeat(600) },
      list: [good],
      none: null,
    };
    const rows = [
      { key: 'good', ver: 3, value: encode(good) },
      ...Object.entries(invalid).map(([key, value], i) => ({ key, ver: 4 + i, value: encode(value) })),
      { key: 'bytes', ver: 20, value: Buffer.from([0xff, 0xfe, 0x00, 0x80]).toString('base64') },
      { key: 'noText', ver: 21, value: 7 },
      { ver: 22 },
      'no row',
      { key: 'goodToo', ver: 23, value: encode(good) },
    ];
    answer = () => ({ status: 200, body: { rows, ver: 30 } });
    for (const after of [undefined, 2]) {
      const result = await store.read({ collection: 'backends', after, waitMs: 0, answerTimeoutMs: 800 });
      expect(result.kind).to.equal(after === undefined ? 'snapshot' : 'changes');
      if (result.kind !== 'snapshot' && result.kind !== 'changes') return;
      const named = result.records.flatMap((record) =>
        record.collection === 'backends' && record.value ? [[record.id, record.value.bornMs]] : [],
      );
      expect(named).to.deep.equal([
        ['good', good.born],
        ['goodToo', good.born],
      ]);
    }
    expect(new Set(invalidKeys)).to.deep.equal(
      new Set([...Object.keys(invalid), 'bytes', 'noText', '(row)']),
    );
  });

  it('rejections, discarded histories and missing answers are distinguished', async () => {
    const store = new StoreClient(address, () => undefined);
    const read = { collection: 'configuration' as const, after: 5, waitMs: 10, answerTimeoutMs: 800 };
    answer = () => ({ status: 429 });
    expect(await store.read(read)).to.deep.equal({ kind: 'rejected', status: 429 });
    answer = () => ({ status: 410 });
    expect(await store.read(read)).to.deep.equal({ kind: 'historyGone' });
    answer = () => ({ status: 200, body: { rows: 'none' } });
    expect((await store.read(read)).kind).to.equal('noAnswer');
    answer = () => 'drop';
    expect((await store.read(read)).kind).to.equal('noAnswer');
  });

  it('an invalid stored row is reported and counts as empty', async () => {
    const invalidKeys: string[] = [];
    const table = new TableClient(address, (key, error) => invalidKeys.push(`${key} ${error.code}`));
    const value = Buffer.from('{"writeId":').toString('base64');
    answer = () => ({ status: 200, body: { rows: [{ key: 'k', ver: 3, value }], ver: 9 } });
    const result = await table.perform({ kind: 'read', table: 'leases', key: 'k' });
    const row = { table: 'leases', key: 'k', revision: 3, value: null };
    expect(result).to.deep.equal({ kind: 'row', row });
    expect(invalidKeys).to.deep.equal(['k invalid-input']);
  });

  it('a row whose key has spaces is found, although the store reads + as a plus sign', async () => {
    const value = Buffer.from(JSON.stringify({ writeId: 'w', value: 'held' })).toString('base64');
    const key = 'duties of the fleet';
    answer = (url) => {
      const from = new URL(url.replaceAll('+', '%2B'), 'http://store').searchParams.get('from');
      return { status: 200, body: { rows: from === key ? [{ key, ver: 3, value }] : [], ver: 9 } };
    };
    const result = await new TableClient(address).perform({ kind: 'read', table: 'leases', key });
    expect(result).to.deep.equal({
      kind: 'row',
      row: { table: 'leases', key, revision: 3, value: 'held' },
    });
  });

  it('a commit whose answer was lost counts as committed when its write is in the row', async () => {
    const table = new TableClient(address);
    const commit = {
      kind: 'commit' as const,
      writeId: 'w1',
      writes: [{ table: 'leases' as const, key: 'k', expectedRevision: 0, value: { epoch: 1 } }],
    };
    let stored = '';
    answer = (_url, body) => {
      stored = (JSON.parse(body) as { put: { value: string }[] }).put[0].value;
      return 'drop';
    };
    expect((await table.perform(commit)).kind).to.equal('noAnswer');
    answer = () => ({ status: 412, body: { rows: [{ key: 'k', ver: 8, value: stored }] } });
    expect(await table.perform(commit)).to.deep.equal({ kind: 'committed', revision: 8 });
    const other = await table.perform({ ...commit, writeId: 'w2' });
    expect(other.kind).to.equal('conflict');
    answer = () => ({ status: 503 });
    expect((await table.perform(commit)).kind).to.equal('rateLimited');
  });
});

describe('layout', () => {
  it("the platform's names occur in its folder only", () => {
    const names =
      /X-Attempt-Id|X-Expect-Instance|X-Kv-Source|X-Prefix-Hash|X-Not-Executed|X-Token-Usage|rows-(tx|get|feed)|PULLEYLEDGE_NODE_FILE/i;
    const found = listFiles('src').filter((file) => names.test(readFileSync(join(ROOT, file), 'utf8')));
    expect(found).to.deep.equal([]);
  });

  it('the folder is smaller than a fifth of the source', () => {
    const lines = (folder: string): number =>
      listFiles(folder).reduce(
        (sum, file) => sum + readFileSync(join(ROOT, file), 'utf8').split('\n').length,
        0,
      );
    expect(lines('platform')).to.be.lessThan(lines('src') / 5);
  });
});

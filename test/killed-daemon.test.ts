/** What callers have received of answers with neither a length nor chunks when their daemon's process is killed. */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { Agent, get, type IncomingMessage } from 'node:http';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { ScriptedBackend } from '../lab/scripted-backend.js';
import { delay } from '../src/shared/delay.js';

const CHILD_MODULE = fileURLToPath(new URL('daemon-child.js', import.meta.url));
const HEAD = 'HTTP/1.1 200 OK\r\nX-Server-Signature: s1\r\nContent-Type: text/event-stream\r\n\r\n';
const EVENTS = [1, 2, 3].map((id) => `id: ${id}\ndata: event ${id}\n\n`);
/** More than the kernel buffers for a connection. Bytes. */
const LARGE_BODY = Buffer.alloc(16 * 1024 * 1024, 'x');

interface Received {
  readonly body: string;
  /** Whether the answer ended as a complete one does, by its framing. */
  readonly complete: boolean;
}

describe('answers without a length, when their daemon is killed', () => {
  const agent = new Agent();
  let backend: ScriptedBackend;
  let child: ChildProcess;
  let callers: string;

  beforeEach(async () => {
    backend = new ScriptedBackend(() => undefined);
    child = fork(CHILD_MODULE, [await backend.listen()]);
    [[callers]] = (await once(child, 'message')) as [[string]];
  });

  afterEach(() => {
    child.kill('SIGKILL');
    backend.close();
    agent.destroy();
  });

  async function call(path: string): Promise<IncomingMessage> {
    const headers = { Host: 'site.example', 'X-Attempt-Id': 'id1' };
    const [response] = (await once(get(`http://${callers}${path}`, { agent, headers }), 'response')) as [
      IncomingMessage,
    ];
    return response;
  }

  async function receive(response: IncomingMessage): Promise<Received> {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk)).on('error', () => undefined);
    await new Promise((resolve) => response.on('close', resolve));
    return { body: Buffer.concat(chunks).toString('latin1'), complete: response.complete };
  }

  it('a stream of which some events are missing does not look complete', async () => {
    backend.script = (_request, socket) => socket.write(HEAD + EVENTS[0]);
    const response = await call('/stream/x');
    const received = receive(response);
    await once(response, 'data');
    child.kill('SIGKILL');
    expect(await received).to.deep.equal({ body: EVENTS[0], complete: false });
  });

  it('a stream that has ended before is complete', async () => {
    backend.script = (_request, socket) => socket.end(HEAD + EVENTS.join(''));
    expect(await receive(await call('/stream/x'))).to.deep.equal({ body: EVENTS.join(''), complete: true });
  });

  it('a body of which some bytes are missing does not look complete', async () => {
    backend.script = (_request, socket) => {
      socket.write(HEAD);
      socket.end(LARGE_BODY);
    };
    const response = await call('/whole/x');
    await delay(500);
    child.kill('SIGKILL');
    const { body, complete } = await receive(response);
    expect({ complete, isWhole: body.length === LARGE_BODY.length }).to.deep.equal({
      complete: false,
      isWhole: false,
    });
  });
});

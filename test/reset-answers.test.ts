/** Guards callers of the completions program against an answer cut by a reset that is passed on as a whole one. */
import { expect } from 'chai';
import { ScriptedBackend, type BackendScript } from '../lab/scripted-backend.js';
import { HttpApplicationClient } from '../src/adapters/application-client.js';
import type { ApplicationEvent } from '../src/routing/application-messages.js';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n';

describe('an answer of an application server', () => {
  let backend: ScriptedBackend;
  const client = new HttpApplicationClient();

  after(() => client.close());
  afterEach(() => backend.close());

  async function call(script: BackendScript): Promise<ApplicationEvent> {
    backend = new ScriptedBackend(script);
    const address = await backend.listen();
    const payload = { method: 'GET', path: '/x', headers: {}, body: new Uint8Array() };
    return new Promise((resolve) => client.start({ address, payload, remainingMs: 5000 }, resolve));
  }

  for (const [name, framing] of Object.entries({
    'without a length': '',
    'with a length': 'Content-Length: 20\r\n',
    'in chunks': 'Transfer-Encoding: chunked\r\n',
  }))
    for (const part of ['', '4\r\nhalf\r\n'])
      it(`${name} that is reset ${part === '' ? 'after its head' : 'within its body'} is broken`, async () => {
        const event = await call((_request, socket) => {
          socket.write(`${HEAD}${framing}\r\n${part}`);
          setTimeout(() => socket.resetAndDestroy(), 50);
        });
        expect(event.kind).to.equal('broken');
      });

  for (const framing of ['Content-Length: 20\r\n', 'Transfer-Encoding: chunked\r\n'])
    it(`with ${framing.trim()} that is closed within its body is broken`, async () => {
      const event = await call((_request, socket) => void socket.end(`${HEAD}${framing}\r\n4\r\nhalf\r\n`));
      expect(event.kind).to.equal('broken');
    });

  it('after an informational one is whole', async () => {
    const hints = 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n';
    const event = await call(
      (_request, socket) => void socket.write(`${hints}${HEAD}Content-Length: 2\r\n\r\nok`),
    );
    expect(event.kind === 'response' && Buffer.from(event.body).toString()).to.equal('ok');
  });

  it('without a length that ends by a regular close is whole', async () => {
    const event = await call((_request, socket) => void socket.end(`${HEAD}\r\nall of it`));
    expect(event.kind === 'response' && Buffer.from(event.body).toString()).to.equal('all of it');
  });
});

/**
 * Guards against timeouts of the configuration beyond what a timer holds: the runtime wrote a warning for each answer,
 * and told callers an idle timeout that is no number of theirs.
 */
import { once } from 'node:events';
import { connect } from 'node:net';
import { expect } from 'chai';
import { findFreeAddresses } from '../lab/free-ports.js';
import { ForwardServer } from '../src/gateway/forward-server.js';
import { delay } from '../src/shared/delay.js';

const SETTLE_MS = 50;
const ANSWERS = 3;

describe('a timeout for callers beyond what a timer holds', () => {
  for (const timeoutMs of [2 ** 31, 2 ** 32, 2 ** 32 + 1, 1e300, Number.MAX_VALUE])
    it(`costs no warning, and is told to callers as a number of seconds: ${timeoutMs}`, async () => {
      const warnings: string[] = [];
      const onWarning = (warning: Error): unknown => warnings.push(warning.name);
      process.on('warning', onWarning);
      const server = new ForwardServer(
        {
          onRequest: (_, reply) =>
            reply.sendFailure({ status: 200, failure: 'none', retryAfterMs: undefined }),
        },
        () => performance.now(),
      );
      const [address] = await findFreeAddresses(1);
      await server.listen(address);
      const limits = { maximumHeaderBytes: 16_384, maximumBodyBytes: 1000 };
      server.setLimits({ ...limits, headerTimeoutMs: timeoutMs, idleTimeoutMs: 5000 });
      const caller = connect(Number(address.split(':')[1]), '127.0.0.1');
      let received = '';
      caller.on('data', (bytes) => (received += bytes.toString('latin1')));
      await once(caller, 'connect');
      for (let answer = 0; answer < ANSWERS; answer += 1) {
        caller.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
        await delay(SETTLE_MS);
        server.setLimits({ ...limits, headerTimeoutMs: timeoutMs, idleTimeoutMs: timeoutMs });
      }
      caller.destroy();
      server.close();
      process.off('warning', onWarning);
      expect(received.match(/HTTP\/1\.1 200/g)).to.have.length(ANSWERS);
      expect(received)
        .to.match(/keep-alive: timeout=\d+\r\n/i)
        .and.not.match(/timeout=\S*e/);
      expect(warnings).to.deep.equal([]);
    });
});

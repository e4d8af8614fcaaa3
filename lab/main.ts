#!/usr/bin/env node
/** The command line of the stand-ins and the demo. */
import meow from 'meow';
import { splitAddress } from '../src/shared/address.js';
import { PulleyledgeError } from '../src/errors/index.js';
import { ApplicationServer } from './application-server.js';
import { runDemo } from './demo.js';
import { DEFAULT_ENGINE_MODEL_SETTINGS } from './engine-model-settings.js';
import { EngineServer } from './engine-server.js';
import { PlatformServer } from './platform-server.js';

const cli = meow(
  `
  Usage
    $ pulleyledge-lab demo
    $ pulleyledge-lab platform --address IP:PORT
    $ pulleyledge-lab engine --address IP:PORT --model NAME [--adapters A,B]
    $ pulleyledge-lab application --address IP:PORT
`,
  {
    importMeta: import.meta,
    flags: {
      address: { type: 'string', default: '127.0.0.1:9000' },
      model: { type: 'string', default: 'model' },
      adapters: { type: 'string', default: '' },
    },
  },
);

async function run(): Promise<void> {
  const { host, port } = splitAddress(cli.flags.address);
  switch (cli.input[0]) {
    case 'demo':
      process.exitCode = await runDemo();
      break;
    case 'platform':
      await new PlatformServer(host, port).listen();
      break;
    case 'application':
      await new ApplicationServer(host, port).listen();
      break;
    case 'engine':
      await startEngine(host, port);
      break;
    default:
      cli.showHelp(1);
  }
}

function startEngine(host: string, port: number): Promise<void> {
  const adapters = cli.flags.adapters.split(',').filter((adapter) => adapter !== '');
  const assignment = { role: 'mixed', model: cli.flags.model, version: 1, adapters } as const;
  return new EngineServer(host, port, assignment, DEFAULT_ENGINE_MODEL_SETTINGS).listen();
}

run().catch((error: unknown) => {
  if (!(error instanceof PulleyledgeError)) throw error;
  process.stderr.write(`${error.code}: ${error.message}\n`);
  process.exit(1);
});

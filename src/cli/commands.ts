/** The commands of pulleyledge. */
import { readFileSync } from 'node:fs';
import meow from 'meow';
import { PulleyledgeError, RevisionConflictError, ValidationError } from '../errors/index.js';
import { CompletionProcess } from '../process/completion-process.js';
import { checkReload } from '../settings/reload.js';
import { loadSettings, type Settings } from '../settings/settings.js';
import { explainRequest } from './explain-command.js';
import { OperatorClient, RemoteProblemError } from './operator-client.js';
import { runServicesCommand } from './services-command.js';
import { runStatusCommand } from './status-command.js';
import { EXIT_CONFLICT, EXIT_FAILURE, EXIT_OK } from '../shared/exit-codes.js';

const cli = meow(
  `
  Usage
    $ pulleyledge serve --settings FILE [--set key=value ...]
    $ pulleyledge settings check --settings FILE [--set key=value ...]
    $ pulleyledge status --operator ADDRESS[,ADDRESS ...] [--json]
    $ pulleyledge explain REQUEST-ID --logs FILE [--logs FILE ...]
    $ pulleyledge services list|get NAME|columns --operator ADDRESS [--json]
    $ pulleyledge services set NAME column=value ... --operator ADDRESS [--revision N] [--edit-id ID]
    $ pulleyledge services delete NAME --operator ADDRESS [--revision N]
    $ pulleyledge services import FILE.csv | export [FILE.csv] --operator ADDRESS

  Options
    --settings   the daemon's settings file (YAML)
    --set        overrides one key of the file, such as --set zone=bosa; may be repeated
    --operator   operator address (ip:port) of one or more daemons
    --revision   the row's revision that you last saw; an edit of a newer row then fails (exit code 3)
    --edit-id    repeat a command with the id of an edit whose outcome was unknown
    --logs       a file with the lines that daemons logged; may be repeated
    --json       machine-readable output
`,
  {
    importMeta: import.meta,
    flags: {
      settings: { type: 'string' },
      set: { type: 'string', isMultiple: true },
      logs: { type: 'string', isMultiple: true },
      operator: { type: 'string' },
      revision: { type: 'number' },
      editId: { type: 'string' },
      json: { type: 'boolean', default: false },
    },
  },
);

async function run(): Promise<void> {
  const [command, ...args] = cli.input;
  switch (command) {
    case 'serve':
      await serve();
      break;
    case 'settings':
      checkCommand(args);
      break;
    case 'status':
      print(await runStatusCommand(operators(), cli.flags.json));
      break;
    case 'explain':
      print(explainRequest(requestIdOf(args), readLogs()));
      break;
    case 'services':
      print(await runServicesCommand(new OperatorClient(operators()[0]), args, cli.flags));
      break;
    default:
      cli.showHelp(command === undefined ? EXIT_OK : EXIT_FAILURE);
  }
}

async function serve(): Promise<void> {
  const daemon = new CompletionProcess(readSettings());
  const stop = (): void => void daemon.stop().then(() => process.exit(EXIT_OK));
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('SIGHUP', () => daemon.onReload(checkReload(readSettings)));
  await daemon.start();
}

function checkCommand(args: readonly string[]): void {
  if (args[0] !== 'check') throw new ValidationError('settings', 'must be: check');
  readSettings();
  print('settings are valid');
}

function readSettings(): Settings {
  return loadSettings(settingsPath(), cli.flags.set ?? []);
}

function requestIdOf(args: readonly string[]): string {
  if (args.length !== 1) throw new ValidationError('REQUEST-ID', 'must be given, once');
  return args[0];
}

function readLogs(): string[] {
  const files = cli.flags.logs ?? [];
  if (files.length === 0) throw new ValidationError('--logs', 'is missing');
  return files.map((file) => {
    try {
      return readFileSync(file, 'utf8');
    } catch (error) {
      throw new ValidationError('--logs', (error as Error).message);
    }
  });
}

function settingsPath(): string {
  if (cli.flags.settings === undefined) throw new ValidationError('--settings', 'is missing');
  return cli.flags.settings;
}

function operators(): string[] {
  const addresses = (cli.flags.operator ?? '').split(',').filter((address) => address !== '');
  if (addresses.length === 0) throw new ValidationError('--operator', 'is missing');
  return addresses;
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function fail(error: unknown): never {
  if (!(error instanceof PulleyledgeError)) throw error;
  process.stderr.write(`${error.code}: ${error.message}\n`);
  if (Object.keys(error.context).length > 0)
    process.stderr.write(`${JSON.stringify(error.context, null, 2)}\n`);
  const conflict =
    error instanceof RevisionConflictError ||
    (error instanceof RemoteProblemError && error.code === 'revision-conflict');
  process.exit(conflict ? EXIT_CONFLICT : EXIT_FAILURE);
}

run().catch(fail);

/** The settings file of a daemon: YAML, checked, every key with its default and unit. */
import { readFileSync } from 'node:fs';
import { parse as parseYaml } from 'yaml';
import * as z from 'zod';
import { SettingsError } from '../errors/index.js';
import {
  DEFAULT_COMPLETION_DAEMON_SETTINGS,
  type CompletionDaemonSettings,
} from '../daemon/completion-daemon-settings.js';

const ADDRESS_PATTERN = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
const address = z.string().regex(ADDRESS_PATTERN, 'must be an IP number and port, such as 127.0.0.1:7000');
const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits and hyphens');

/** Every tunable of a part becomes an optional key of the same name with the part's default. */
function tunables<Part extends object>(defaults: Part): z.ZodType<Part> {
  const shape: Record<string, z.ZodType> = {};
  for (const [key, value] of Object.entries(defaults)) {
    if (typeof value === 'number') shape[key] = z.number().min(0).default(value);
    else if (key === 'policy') shape[key] = z.enum(['adaptive', 'threshold', 'fixed']).default(value);
    else shape[key] = z.unknown().default(value);
  }
  const empty = {} as never;
  return z.object(shape).strict().prefault(empty) as unknown as z.ZodType<Part>;
}

const settingsSchema = z
  .object({
    /** Name of the daemon; its restarts share it. */
    name,
    /** Zone that the daemon runs in. */
    zone: name,
    /** Region that the zone lies in. Default: main. */
    region: name.default('main'),
    /** Where callers connect. */
    callerAddress: address,
    /** Where other daemons connect. */
    peerAddress: address,
    /** Where operators and monitoring connect. */
    operatorAddress: address,
    /** Peer addresses of some other daemons, to join by. Default: none. */
    seeds: z.array(address).default([]),
    /** Addresses of the platform's services, tried in turn. */
    platform: z.array(address).min(1),
    /** Lowest level logged: trace, debug, info, warn or error. Default: info. */
    logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
    /** Body of a caller's request at most. Bytes. Default: 4194304. */
    maximumBodyBytes: z
      .number()
      .int()
      .min(1)
      .default(4 * 1024 * 1024),
    /**
     * On SIGTERM new requests are still taken for this long, so that callers notice. Milliseconds. Default:
     * 2000.
     */
    drainNoticeMs: z.number().min(0).default(2000),
    /** A stopping daemon waits this long for its requests at most. Milliseconds. Default: 600000. */
    drainTimeoutMs: z.number().min(0).default(600_000),
    /** Interval of the state machine's timers. Milliseconds. Default: 50. */
    tickIntervalMs: z.number().min(1).default(50),
    membership: tunables(DEFAULT_COMPLETION_DAEMON_SETTINGS.membership),
    configuration: tunables(DEFAULT_COMPLETION_DAEMON_SETTINGS.configuration),
    lease: tunables(DEFAULT_COMPLETION_DAEMON_SETTINGS.lease),
    coordinator: tunables(DEFAULT_COMPLETION_DAEMON_SETTINGS.coordinator),
    allocation: tunables(DEFAULT_COMPLETION_DAEMON_SETTINGS.allocation),
    limits: tunables(DEFAULT_COMPLETION_DAEMON_SETTINGS.limits),
    ledger: tunables(DEFAULT_COMPLETION_DAEMON_SETTINGS.ledger),
    completion: tunables(DEFAULT_COMPLETION_DAEMON_SETTINGS.completion),
    directory: tunables(DEFAULT_COMPLETION_DAEMON_SETTINGS.directory),
    picker: tunables(DEFAULT_COMPLETION_DAEMON_SETTINGS.picker),
    cells: tunables(DEFAULT_COMPLETION_DAEMON_SETTINGS.cells),
  })
  .strict();

/** Settings of one daemon process. */
export type Settings = z.infer<typeof settingsSchema>;

/** The settings of the state machine, out of the file's. */
export function getDaemonSettings(settings: Settings): CompletionDaemonSettings {
  return settings;
}

/**
 * Checks settings.
 * @throws SettingsError naming the first wrong key.
 */
export function checkSettings(value: unknown): Settings {
  const result = settingsSchema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  if (issue.code === 'unrecognized_keys') {
    throw new SettingsError([...issue.path, issue.keys[0]].join('.'), 'is not a known key');
  }
  throw new SettingsError(issue.path.join('.') || '(file)', issue.message);
}

/**
 * Reads a settings file and applies `key=value` overrides; values are YAML.
 * @throws SettingsError when the file cannot be read or a key is wrong.
 */
export function loadSettings(path: string, overrides: readonly string[]): Settings {
  let value: unknown;
  try {
    value = parseYaml(readFileSync(path, 'utf8'));
  } catch (error) {
    throw new SettingsError(path, (error as Error).message);
  }
  if (typeof value !== 'object' || value === null)
    throw new SettingsError('(file)', 'must hold keys and values');
  for (const override of overrides) applyOverride(value as Record<string, unknown>, override);
  return checkSettings(value);
}

function applyOverride(target: Record<string, unknown>, override: string): void {
  const equals = override.indexOf('=');
  if (equals <= 0) throw new SettingsError(override, 'an override has the form key=value');
  const path = override.slice(0, equals).split('.');
  const last = path.pop() as string;
  let place = target;
  for (const key of path) {
    const next = (place[key] ??= {});
    if (typeof next !== 'object' || next === null)
      throw new SettingsError(override, `"${key}" holds no keys`);
    place = next as Record<string, unknown>;
  }
  place[last] = parseYaml(override.slice(equals + 1)) as unknown;
}

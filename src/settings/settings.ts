/**
 * The settings file of a daemon in YAML. Owns its schema, in which every optional key has a default and every
 * quantity a unit; relies on the defaults of the state machine's modules.
 */
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

/** Makes each setting of a part an optional key of the same name with the part's default. */
function createTunablesSchema<Part extends object>(defaults: Part): z.ZodType<Part> {
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
    /** Name of the daemon, the same after a restart. */
    name,
    /** Zone that the daemon runs in. */
    zone: name,
    /** Region of the zone. Default: main. */
    region: name.default('main'),
    /** Listening address for callers. */
    callerAddress: address,
    /** Listening address for other daemons. */
    peerAddress: address,
    /** Listening address for operators and monitoring. */
    operatorAddress: address,
    /** Peer addresses of other daemons through which this one joins the membership. Default: none. */
    seeds: z.array(address).default([]),
    /** Addresses of the platform's services; after a failure the next one is used. */
    platform: z.array(address).min(1),
    /** Lowest log level written: trace, debug, info, warn or error; silent for none. Default: info. */
    logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
    /** Maximum size of the body of a caller's request. Bytes. Default: 4194304. */
    maximumBodyBytes: z
      .number()
      .int()
      .min(1)
      .default(4 * 1024 * 1024),
    /**
     * After SIGTERM new requests are still accepted for this duration, so that callers can notice the drain.
     * Milliseconds. Default: 2000.
     */
    drainNoticeMs: z.number().min(0).default(2000),
    /** Maximum time that a stopping daemon waits for its open requests. Milliseconds. Default: 600000. */
    drainTimeoutMs: z.number().min(0).default(600_000),
    /** Interval of the state machine's timers. Milliseconds. Default: 50. */
    tickIntervalMs: z.number().min(1).default(50),
    membership: createTunablesSchema(DEFAULT_COMPLETION_DAEMON_SETTINGS.membership),
    configuration: createTunablesSchema(DEFAULT_COMPLETION_DAEMON_SETTINGS.configuration),
    lease: createTunablesSchema(DEFAULT_COMPLETION_DAEMON_SETTINGS.lease),
    coordinator: createTunablesSchema(DEFAULT_COMPLETION_DAEMON_SETTINGS.coordinator),
    allocation: createTunablesSchema(DEFAULT_COMPLETION_DAEMON_SETTINGS.allocation),
    limits: createTunablesSchema(DEFAULT_COMPLETION_DAEMON_SETTINGS.limits),
    ledger: createTunablesSchema(DEFAULT_COMPLETION_DAEMON_SETTINGS.ledger),
    completion: createTunablesSchema(DEFAULT_COMPLETION_DAEMON_SETTINGS.completion),
    directory: createTunablesSchema(DEFAULT_COMPLETION_DAEMON_SETTINGS.directory),
    picker: createTunablesSchema(DEFAULT_COMPLETION_DAEMON_SETTINGS.picker),
    cells: createTunablesSchema(DEFAULT_COMPLETION_DAEMON_SETTINGS.cells),
  })
  .strict();

/** Settings of one daemon process. */
export type Settings = z.infer<typeof settingsSchema>;

/** The settings of the daemon's state machine. */
export function getDaemonSettings(settings: Settings): CompletionDaemonSettings {
  return settings;
}

/**
 * Checks settings and fills in defaults.
 * @throws SettingsError naming the first invalid key.
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
 * @throws SettingsError when the file cannot be read or a key is invalid.
 */
export function loadSettings(path: string, overrides: readonly string[]): Settings {
  let value: unknown;
  try {
    value = parseYaml(readFileSync(path, 'utf8'));
  } catch (error) {
    throw new SettingsError(path, (error as Error).message);
  }
  if (typeof value !== 'object' || value === null)
    throw new SettingsError('(file)', 'must be a mapping of keys to values');
  for (const override of overrides) applyOverride(value as Record<string, unknown>, override);
  return checkSettings(value);
}

function applyOverride(target: Record<string, unknown>, override: string): void {
  const equals = override.indexOf('=');
  if (equals <= 0) throw new SettingsError(override, 'an override must have the form key=value');
  const path = override.slice(0, equals).split('.');
  const last = path.pop() as string;
  let parent = target;
  for (const key of path) {
    const next = (parent[key] ??= {});
    if (typeof next !== 'object' || next === null)
      throw new SettingsError(override, `"${key}" is not a mapping`);
    parent = next as Record<string, unknown>;
  }
  parent[last] = parseYaml(override.slice(equals + 1)) as unknown;
}

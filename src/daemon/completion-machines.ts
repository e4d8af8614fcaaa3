/**
 * The state machines that a daemon which serves completions is made of, and how they are wired: who reads
 * whose state, and where the effects of each go. Owns no state. The daemon routes events to the machines that
 * are made here.
 *
 * What a machine asks of another one during a transition of that other one runs after it (`defer`).
 */
import { ConfigurationReplica, type Freshness } from '../configuration/configuration-replica.js';
import { AtMostOnceLedger } from '../ledger/once-ledger.js';
import { initialMember } from '../membership/member-rules.js';
import { Membership } from '../membership/membership.js';
import type { DaemonIdentity } from '../membership/membership-messages.js';
import { ApplicationManager } from '../routing/application-manager.js';
import { CompletionManager } from '../routing/completion-manager.js';
import { EngineDirectory } from '../routing/engine-directory.js';
import { EnginePicker } from '../routing/engine-picker.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { RandomSource } from '../shared/random.js';
import { Admission } from './admission.js';
import { CellManager } from './cell-manager.js';
import type { CompletionDaemonSettings } from './completion-daemon-settings.js';
import type { CompletionDaemonEffect } from './completion-messages.js';
import { DemandTracker } from './demand-tracker.js';
import {
  createApplicationSink,
  createCompletionSink,
  createConfigurationSink,
  createEditorSink,
  createLedgerSink,
  createMembershipSink,
} from './effect-sinks.js';
import { LimitManager } from './limit-manager.js';
import { getPeerContact } from './peer-contact.js';
import { CompletionQuarantine } from './run-quarantine.js';
import { ServiceEditor } from './service-editor.js';

/** What the machines are made from. */
interface CompletionContext {
  readonly identity: DaemonIdentity;
  /** Addresses of daemons that are asked first for the others. */
  readonly seeds: readonly string[];
  readonly settings: CompletionDaemonSettings;
  readonly random: RandomSource;
  readonly emit: EffectSink<CompletionDaemonEffect>;
  /** Runs a step after the transition that made it. */
  readonly defer: (step: (now: number) => void) => void;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/** The machines of one daemon. */
export interface CompletionMachines {
  /** Which daemons there are. */
  readonly membership: Membership;
  /** The service table as last read. */
  readonly configuration: ConfigurationReplica;
  /** The engines and what is known of their load. */
  readonly directory: EngineDirectory;
  /** Whether a request is let in. */
  readonly admission: Admission;
  /** Slots of services with a limit. */
  readonly limits: LimitManager;
  readonly completions: CompletionManager;
  readonly applications: ApplicationManager;
  /** Requests that end back ends. */
  readonly quarantine: CompletionQuarantine;
  /** Claims of calls that may run once at most. */
  readonly ledger: AtMostOnceLedger;
  /** Tokens asked of each model. */
  readonly demand: DemandTracker;
  /** Leases, coordination and digests of the cells that this daemon routes to. */
  readonly cells: CellManager;
  /** Operators' edits of the service table. */
  readonly editor: ServiceEditor;
}

/** Makes the machines. Those that need each other reach one another by functions that are called later. */
export function createCompletionMachines(context: CompletionContext): CompletionMachines {
  const { identity, settings, random, emit, defer, now } = context;
  const directory = new EngineDirectory(settings.directory);
  const membership = createMembership(context, () => limits);
  const configuration = createConfiguration(context);
  const limitContext = { membership, configuration, admission: () => admission, emit, defer };
  const limits: LimitManager = new LimitManager(identity, settings.limits, limitContext, now);
  const onLedger = createLedgerSink({ emit, defer, applications: () => applications });
  const ledger = new AtMostOnceLedger(identity.id, settings.ledger, onLedger);
  const runs: CompletionQuarantine = createQuarantine(context, membership, () => [completions, applications]);
  const completions: CompletionManager = new CompletionManager({
    settings: settings.completion,
    directorySettings: settings.directory,
    directory,
    picker: new EnginePicker(settings.picker, identity.zone, random),
    emit: createCompletionSink(emit, () => ({ demand, admission })),
    attemptListener: runs,
  });
  const onCall = createApplicationSink(emit, () => admission);
  const applications: ApplicationManager = new ApplicationManager(ledger, random, onCall, runs);
  const demand = new DemandTracker(settings.cells.demandTimeConstantMs);
  const cellParts = { directory, membership, configuration, applications, demand };
  const cells = new CellManager(identity, settings, cellParts, emit);
  const editor = new ServiceEditor(createEditorSink(emit));
  const freshness = (at: number): Freshness => configuration.getFreshness(at, getPeerContact(membership, at));
  const slots = limits.holder;
  const admissionParts = { configuration, slots, completions, applications, demand, freshness };
  const admission: Admission = new Admission(admissionParts, emit);
  const requests = { admission, limits, completions, applications, quarantine: runs, ledger };
  return { membership, configuration, directory, demand, ...requests, cells, editor };
}

function createConfiguration({ identity, settings, emit, now }: CompletionContext): ConfigurationReplica {
  const onEffect = createConfigurationSink(emit);
  return new ConfigurationReplica(identity.id, settings.configuration, onEffect, now);
}

function createMembership(context: CompletionContext, limits: () => LimitManager): Membership {
  const { identity, seeds, settings, random, emit, defer, now } = context;
  const applyChange = (deadId: string | undefined): void =>
    defer((at) => limits().applyMembership(deadId, Math.max(at, now)));
  return new Membership(
    initialMember(identity),
    seeds,
    settings.membership,
    random,
    createMembershipSink(emit, applyChange),
    now,
  );
}

function createQuarantine(
  { identity, random, emit, now }: CompletionContext,
  membership: Membership,
  managers: () => readonly (CompletionManager | ApplicationManager)[],
): CompletionQuarantine {
  return new CompletionQuarantine({
    selfId: identity.id,
    members: () => membership.active(),
    hasOlderAttempt: (id, before) => managers().some((manager) => manager.hasOlderAttempt(id, before)),
    random,
    emit,
    now,
  });
}

/**
 * Creates and wires the state machines of a daemon that serves completions: which machine reads the state of
 * which other, and where the effects of each go. Owns no state. The daemon dispatches events to the machines
 * created here.
 *
 * A call from one machine to another that is in the middle of a transition runs after that transition
 * (`defer`).
 */
import { ConfigurationReplica, type Freshness } from '../configuration/configuration-replica.js';
import { AtMostOnceLedger } from '../ledger/at-most-once-ledger.js';
import { createInitialMember } from '../membership/member-rules.js';
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
import { CompletionQuarantine } from './completion-quarantine.js';
import { ServiceEditor } from './service-editor.js';

/** What the machines are created from. */
interface CompletionContext {
  readonly identity: DaemonIdentity;
  /** Addresses of the daemons that are contacted first to find the others. */
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
  /** The daemons of the fleet. */
  readonly membership: Membership;
  /** The service table as last read. */
  readonly configuration: ConfigurationReplica;
  /** The engines and their known load. */
  readonly directory: EngineDirectory;
  /** Decides whether a request is admitted. */
  readonly admission: Admission;
  /** Slots of services with a limit. */
  readonly limits: LimitManager;
  readonly completions: CompletionManager;
  readonly applications: ApplicationManager;
  /** Requests that crash back ends. */
  readonly quarantine: CompletionQuarantine;
  /** Claims of calls that may be executed at most once. */
  readonly ledger: AtMostOnceLedger;
  /** The demand for each model version. */
  readonly demand: DemandTracker;
  /** Leases, coordination and digests of the cells that this daemon routes to. */
  readonly cells: CellManager;
  /** Operators' edits of the service table. */
  readonly editor: ServiceEditor;
}

/** Creates the machines. Machines that depend on each other are wired by functions that are called later. */
export function createCompletionMachines(context: CompletionContext): CompletionMachines {
  const { identity, settings, random, emit, defer, now } = context;
  const directory = new EngineDirectory(settings.directory);
  const membership = createMembership(context, () => limits);
  const configuration = createConfiguration(context);
  const limitContext = { membership, configuration, admission: () => admission, emit, defer };
  const limits: LimitManager = new LimitManager(identity, settings.limits, limitContext, now);
  const onLedger = createLedgerSink({ emit, defer, applications: () => applications });
  const ledger = new AtMostOnceLedger(identity.id, settings.ledger, onLedger);
  const quarantine: CompletionQuarantine = createQuarantine(context, membership, () => [
    completions,
    applications,
  ]);
  const completions: CompletionManager = new CompletionManager({
    settings: settings.completion,
    directorySettings: settings.directory,
    directory,
    picker: new EnginePicker(settings.picker, identity.zone, random),
    emit: createCompletionSink(emit, () => ({ demand, admission })),
    attemptListener: quarantine,
  });
  const onCall = createApplicationSink(emit, () => admission);
  const applications: ApplicationManager = new ApplicationManager(ledger, random, onCall, quarantine);
  const demand = new DemandTracker(settings.cells.demandTimeConstantMs);
  const cellParts = { directory, membership, configuration, applications, demand };
  const cells = new CellManager(identity, settings, cellParts, emit);
  const editor = new ServiceEditor(createEditorSink(emit));
  const freshness = (at: number): Freshness => configuration.getFreshness(at, getPeerContact(membership, at));
  const slots = limits.holder;
  const admissionParts = { configuration, slots, completions, applications, demand, freshness };
  const admission: Admission = new Admission(admissionParts, emit);
  const requests = { admission, limits, completions, applications, quarantine, ledger };
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
    createInitialMember(identity),
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
    getMembers: () => membership.getActive(),
    hasOlderAttempt: (id, before) => managers().some((manager) => manager.hasOlderAttempt(id, before)),
    random,
    emit,
    now,
  });
}

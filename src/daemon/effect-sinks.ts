/**
 * Dispatches the effects of each machine of a daemon that serves completions: out of the daemon, to its log,
 * or to another of its machines. Owns no state.
 */
import type { ConfigurationReplica } from '../configuration/configuration-replica.js';
import type { MembershipEffect } from '../membership/membership.js';
import type { LedgerEffect } from '../ledger/at-most-once-ledger.js';
import type { ApplicationManager } from '../routing/application-manager.js';
import type { ApplicationEffect } from '../routing/application-messages.js';
import type { CompletionEffect } from '../routing/completion-effects.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { Admission } from './admission.js';
import type { CompletionDaemonEffect } from './completion-messages.js';
import type { DemandTracker } from './demand-tracker.js';
import type { EditorEffect } from './service-editor.js';

/**
 * Handles effects of the membership. `onChange` is called when a daemon has joined or left; `deadId` is its
 * ID if it is believed dead.
 */
export function createMembershipSink(
  emit: EffectSink<CompletionDaemonEffect>,
  onChange: (deadId: string | undefined) => void,
): EffectSink<MembershipEffect> {
  return (effect) => {
    if (effect.kind === 'sendMembership') {
      emit({ kind: 'sendPeer', address: effect.address, message: effect.message });
      return;
    }
    const { member, previous } = effect;
    const { id, state } = member;
    emit({ kind: 'log', event: 'member.changed', fields: { member: id, state, previous } });
    const joinedOrLeft =
      state === 'dead' || state === 'leaving' || previous === undefined || previous === 'dead';
    if (joinedOrLeft) onChange(state === 'dead' ? id : undefined);
  };
}

/** Handles effects of the configuration replica. */
export function createConfigurationSink(
  emit: EffectSink<CompletionDaemonEffect>,
): ConstructorParameters<typeof ConfigurationReplica>[2] {
  return (effect) => {
    switch (effect.kind) {
      case 'sendConfiguration':
        emit({ kind: 'sendPeer', address: effect.address, message: effect.message });
        break;
      case 'readTable':
        emit({ kind: 'tableRequest', tag: { kind: 'configuration' }, request: effect.request });
        break;
      default:
        emit({ kind: 'log', event: 'configuration.changed', fields: { revision: effect.revision } });
    }
  };
}

/** The parts of the daemon that the ledger's effects use. */
interface LedgerSinkParts {
  readonly emit: EffectSink<CompletionDaemonEffect>;
  /** Runs a step after the transition that created it. */
  readonly defer: (step: (now: number) => void) => void;
  readonly applications: () => ApplicationManager;
}

/**
 * Handles effects of the ledger: sends commits to the table, and the outcomes of claims to the application
 * calls.
 */
export function createLedgerSink({ emit, defer, applications }: LedgerSinkParts): EffectSink<LedgerEffect> {
  return (effect) => {
    switch (effect.kind) {
      case 'ledgerTable':
        emit({ kind: 'tableRequest', tag: { kind: 'ledger' }, request: effect.request });
        break;
      case 'claimGranted':
        defer((now) => applications().onClaimGranted(effect.requestId, now));
        break;
      case 'claimTaken':
        defer(() => applications().onClaimTaken(effect.requestId, effect.outcome));
        break;
      case 'claimUnavailable':
        defer(() => applications().onClaimUnavailable(effect.requestId, effect.retryAfterMs));
        break;
    }
  };
}

/**
 * Handles effects of completions: a finished request releases its slot and adds its output length to the
 * demand.
 */
export function createCompletionSink(
  emit: EffectSink<CompletionDaemonEffect>,
  parts: () => { readonly demand: DemandTracker; readonly admission: Admission },
): EffectSink<CompletionEffect> {
  return (effect) => {
    if (effect.kind !== 'completionOver') {
      emit(effect);
      return;
    }
    const { demand, admission } = parts();
    demand.addOutput(effect.service, effect.outputTokens);
    admission.onRequestOver(effect.requestId);
  };
}

/** Handles effects of application calls: a finished call releases its slot. */
export function createApplicationSink(
  emit: EffectSink<CompletionDaemonEffect>,
  admission: () => Admission,
): EffectSink<ApplicationEffect> {
  return (effect) => {
    if (effect.kind === 'applicationOver') admission().onRequestOver(effect.requestId);
    else emit(effect);
  };
}

/** Handles effects of operators' edits. */
export function createEditorSink(emit: EffectSink<CompletionDaemonEffect>): EffectSink<EditorEffect> {
  return (effect) => {
    if (effect.kind !== 'editTable') {
      emit(effect);
      return;
    }
    const { editId, request } = effect;
    emit({ kind: 'tableRequest', tag: { kind: 'edit', editId }, request });
  };
}

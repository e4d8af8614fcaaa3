/**
 * Performs the effects of a forwarding daemon's state machine. Owns no state; an effect of one request that fails by
 * an exception ends that request only.
 */
import type { BackendClient } from '../adapters/backend-client.js';
import type { PeerTransport } from '../adapters/peer-transport.js';
import type { ForwardingEffect } from '../daemon/forwarding-messages.js';
import type { ForwardServer } from '../gateway/forward-server.js';
import type { DecisionLog } from './decision-log.js';
import type { ExternalCalls } from './external-calls.js';
import type { ForwardingMetrics } from './forwarding-metrics.js';
import type { OpenRequests } from './open-requests.js';
import type { RequestFaults } from './request-faults.js';

/** What the effects are performed with. */
interface EffectPerformerParts {
  readonly requests: OpenRequests;
  readonly backends: BackendClient;
  readonly peers: PeerTransport;
  readonly server: ForwardServer;
  readonly externalCalls: ExternalCalls;
  readonly log: DecisionLog;
  readonly metrics: ForwardingMetrics;
  readonly faults: RequestFaults;
}

/** Performer of one process. */
export class EffectPerformer {
  constructor(private readonly parts: EffectPerformerParts) {}

  /** Performs an effect. Throws only if the effect belongs to no request. */
  perform(effect: ForwardingEffect): void {
    this.parts.faults.run(findRequestId(effect), () => this.performNow(effect));
  }

  private performNow(effect: ForwardingEffect): void {
    switch (effect.kind) {
      case 'startAttempt':
        this.parts.requests.startAttempt(effect.start);
        break;
      case 'abortAttempt':
        this.parts.backends.abort(effect.attemptId);
        break;
      case 'abandonAttempt':
        this.parts.backends.abandon(effect.attemptId);
        break;
      case 'replyWhole':
      case 'replyFailure':
      case 'replyBroken':
        this.parts.requests.sendReply(effect);
        break;
      case 'freeKv':
        this.parts.backends.freeKv(effect.source);
        break;
      case 'decision':
        this.logDecision(effect);
        break;
      case 'change':
        this.logChange(effect);
        break;
      case 'sendPeer':
        this.parts.peers.send(effect.address, effect.message);
        break;
      case 'configurationInForce':
        this.parts.server.setLimits(effect.configuration.limits);
        break;
      case 'backendGone':
        this.parts.backends.removeBackend(effect.backendId);
        break;
      case 'closeTunnels':
        this.parts.backends.closeTunnels(effect.via);
        break;
      default:
        this.parts.externalCalls.perform(effect);
    }
  }

  private logChange(effect: Extract<ForwardingEffect, { kind: 'change' }>): void {
    this.parts.metrics.addChange(effect);
    this.parts.log.writeImportantEvent(effect.event, effect.fields);
  }

  private logDecision(effect: Extract<ForwardingEffect, { kind: 'decision' }>): void {
    this.parts.metrics.addDecision(effect);
    const failed = effect.event === 'request.refused' || effect.event === 'request.failed';
    if (failed)
      this.parts.log.writeImportantEvent(effect.event, { requestId: effect.callerId, ...effect.fields });
    else this.parts.log.writeRequestEvent(effect.event, effect.callerId, effect.fields);
  }
}

function findRequestId(effect: ForwardingEffect): string | undefined {
  switch (effect.kind) {
    case 'startAttempt':
      return effect.start.requestId;
    case 'replyWhole':
    case 'replyFailure':
    case 'replyBroken':
      return effect.requestId;
    default:
      return undefined;
  }
}

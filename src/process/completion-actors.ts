/**
 * The actors of a completion daemon's process. One owns the state machine; the others perform its effects
 * against one outside system each and send it what came of them. Owns: how to cancel each attempt that is
 * under way. Relies on adapters that never reject.
 */
import nact, { type Ref } from 'nact';
import type { ApplicationClient, ApplicationPayload } from '../adapters/application-client.js';
import { checkListener } from '../adapters/listener-check.js';
import type { EngineClient } from '../adapters/engine-client.js';
import type { PeerTransport } from '../adapters/peer-transport.js';
import type { PlatformClient } from '../adapters/platform-client.js';
import type { CompletionDaemon } from '../daemon/completion-daemon.js';
import type { CompletionDaemonEffect, CompletionDaemonEvent } from '../daemon/completion-messages.js';
import { SuspensionDetector } from '../shared/suspension-watch.js';
import { spawnActor } from './spawn-actor.js';

type EffectOf<Kind extends CompletionDaemonEffect['kind']> = Extract<CompletionDaemonEffect, { kind: Kind }>;

/** Effects that concern callers and operators; the process answers them. */
export type ReplyEffect = EffectOf<
  'replyTokens' | 'replyEnd' | 'replyFailed' | 'replyApplication' | 'editAccepted' | 'editFailed' | 'log'
>;

/** What the actors work with. */
interface CompletionActorParts {
  readonly daemon: CompletionDaemon;
  readonly peers: PeerTransport;
  readonly platform: PlatformClient;
  readonly engines: EngineClient;
  readonly applications: ApplicationClient;
  /** The payload of an application call, kept by the gateway until the call is over. */
  readonly getPayload: (requestId: string) => ApplicationPayload | undefined;
  readonly onReply: (effect: ReplyEffect) => void;
  /** Called after each event with its kind and the milliseconds that the state machine took. */
  readonly onTransition: (event: string, milliseconds: number) => void;
}

type PeerEffect = EffectOf<'sendPeer'>;
type PlatformEffect = EffectOf<'tableRequest' | 'listMachines'>;
type EngineEffect = EffectOf<'engineControl' | 'startAttempt' | 'cancelAttempt'>;
type ApplicationEffect = EffectOf<'startApplicationCall' | 'cancelApplicationCall'>;

/** The running actors. */
export class CompletionActors {
  private readonly system = nact.start();
  private readonly machine: Ref<CompletionDaemonEvent>;
  private readonly peerActor: Ref<PeerEffect>;
  private readonly platformActor: Ref<PlatformEffect>;
  private readonly engineActor: Ref<EngineEffect>;
  private readonly applicationActor: Ref<ApplicationEffect>;
  private readonly suspension = new SuspensionDetector();
  /** How to cancel attempts and application calls, by attempt id. */
  private readonly cancels = new Map<string, () => void>();

  /** Starts the actors. */
  constructor(private readonly parts: CompletionActorParts) {
    this.peerActor = spawnActor(this.system, 'peers', ({ address, message }) =>
      parts.peers.send(address, message),
    );
    this.platformActor = spawnActor(this.system, 'platform', (effect) => this.performPlatform(effect));
    this.engineActor = spawnActor(this.system, 'engines', (effect) => this.performEngine(effect));
    this.applicationActor = spawnActor(this.system, 'applications', (effect) =>
      this.performApplication(effect),
    );
    this.machine = spawnActor(this.system, 'daemon', (event) => this.step(event));
  }

  /** Sends an event to the state machine. */
  dispatch(event: CompletionDaemonEvent): void {
    nact.dispatch(this.machine, event);
  }

  /** Stops all actors; effects that were not performed are dropped. */
  stop(): void {
    nact.stop(this.system);
  }

  /**
   * Before anything is decided the clocks are compared: the first event after a suspension may lead to an
   * order.
   */
  private step(event: CompletionDaemonEvent): void {
    const { daemon, onTransition } = this.parts;
    const now = performance.now();
    const forMs = this.suspension.observe(now, Date.now());
    if (forMs > 0) this.performAll(daemon.handle({ kind: 'clockStoodStill', forMs }, now));
    const effects = daemon.handle(event, now);
    onTransition(event.kind, performance.now() - now);
    this.performAll(effects);
  }

  private performAll(effects: readonly CompletionDaemonEffect[]): void {
    for (const effect of effects) this.perform(effect);
  }

  private perform(effect: CompletionDaemonEffect): void {
    switch (effect.kind) {
      case 'sendPeer':
        nact.dispatch(this.peerActor, effect);
        break;
      case 'tableRequest':
      case 'listMachines':
        nact.dispatch(this.platformActor, effect);
        break;
      case 'engineControl':
      case 'startAttempt':
      case 'cancelAttempt':
        nact.dispatch(this.engineActor, effect);
        break;
      case 'checkBackend':
        this.checkBackend(effect);
        break;
      case 'startApplicationCall':
      case 'cancelApplicationCall':
        nact.dispatch(this.applicationActor, effect);
        break;
      default:
        this.parts.onReply(effect);
    }
  }

  private checkBackend({ backend }: EffectOf<'checkBackend'>): void {
    void checkListener(backend.address).then((check) =>
      this.dispatch({ kind: 'backendChecked', backend, check }),
    );
  }

  private performPlatform(effect: PlatformEffect): void {
    const { platform } = this.parts;
    if (effect.kind === 'tableRequest') {
      const { tag, request } = effect;
      void platform
        .sendTableRequest(request)
        .then((result) => this.dispatch({ kind: 'tableResult', tag, result }));
    } else {
      void platform
        .listMachines(effect.cells)
        .then((listing) => this.dispatch({ kind: 'machineListing', listing }));
    }
  }

  private performEngine(effect: EngineEffect): void {
    switch (effect.kind) {
      case 'engineControl':
        this.controlEngine(effect);
        break;
      case 'startAttempt':
        this.startAttempt(effect);
        break;
      case 'cancelAttempt':
        this.cancel(effect.attemptId);
        break;
    }
  }

  private controlEngine({ purpose, cell, engineId, address, request }: EffectOf<'engineControl'>): void {
    void this.parts.engines
      .control(address, request)
      .then((result) => this.dispatch({ kind: 'engineControlResult', purpose, cell, engineId, result }));
  }

  private startAttempt({ start }: EffectOf<'startAttempt'>): void {
    const { attemptId, requestId } = start;
    const cancel = this.parts.engines.start(start, (event) => {
      if (event.kind !== 'tokens') this.cancels.delete(attemptId);
      this.dispatch({ kind: 'attemptEvent', requestId, attemptId, event });
    });
    this.cancels.set(attemptId, cancel);
  }

  private performApplication(effect: ApplicationEffect): void {
    if (effect.kind === 'startApplicationCall') this.startApplicationCall(effect);
    else this.cancel(effect.attemptId);
  }

  private startApplicationCall(effect: EffectOf<'startApplicationCall'>): void {
    const { attemptId, requestId, address, remainingMs } = effect;
    const payload = this.parts.getPayload(requestId);
    // The caller has left: its cancellation is before this in the queue, and nobody waits for the call.
    if (!payload) return;
    const cancel = this.parts.applications.start({ address, payload, remainingMs }, (event) => {
      this.cancels.delete(attemptId);
      this.dispatch({ kind: 'applicationEvent', requestId, attemptId, event });
    });
    this.cancels.set(attemptId, cancel);
  }

  private cancel(attemptId: string): void {
    this.cancels.get(attemptId)?.();
    this.cancels.delete(attemptId);
  }
}

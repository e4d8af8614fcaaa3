/**
 * The actors of a completion daemon's process. One runs the state machine; each of the others performs the
 * machine's effects on one external system and sends the results back as events. Owns the functions that
 * cancel the attempts in progress. Relies on adapters whose promises never reject.
 */
import nact from 'nact';
import type { ApplicationClient, ApplicationPayload } from '../adapters/application-client.js';
import { checkListener } from '../adapters/listener-check.js';
import type { EngineClient } from '../adapters/engine-client.js';
import type { PeerTransport } from '../adapters/peer-transport.js';
import type { PlatformClient } from '../adapters/platform-client.js';
import type { CompletionDaemon } from '../daemon/completion-daemon.js';
import type { CompletionDaemonEffect, CompletionDaemonEvent } from '../daemon/completion-messages.js';
import { SuspensionDetector } from '../shared/suspension-detector.js';
import { spawnActor, type Actor } from './spawn-actor.js';

type EffectOf<Kind extends CompletionDaemonEffect['kind']> = Extract<CompletionDaemonEffect, { kind: Kind }>;

/** Effects that answer callers and operators; the process performs them. */
export type ReplyEffect = EffectOf<
  'replyTokens' | 'replyEnd' | 'replyFailed' | 'replyApplication' | 'editAccepted' | 'editFailed' | 'log'
>;

/** The state machine, the adapters and the callbacks that the actors use. */
interface CompletionActorDependencies {
  readonly daemon: CompletionDaemon;
  readonly peers: PeerTransport;
  readonly platform: PlatformClient;
  readonly engines: EngineClient;
  readonly applications: ApplicationClient;
  /** The payload of an application call, kept by the process until the call is finished. */
  readonly getPayload: (requestId: string) => ApplicationPayload | undefined;
  readonly onReply: (effect: ReplyEffect) => void;
  /** Called after each event with its kind and the milliseconds that the state machine took to handle it. */
  readonly onTransition: (event: string, milliseconds: number) => void;
}

type PeerEffect = EffectOf<'sendPeer'>;
type PlatformEffect = EffectOf<'tableRequest' | 'listMachines'>;
type EngineEffect = EffectOf<'engineControl' | 'startAttempt' | 'cancelAttempt'>;
type ApplicationEffect = EffectOf<'startApplicationCall' | 'cancelApplicationCall'>;

/** Runs the actors of one process. */
export class CompletionActors {
  private readonly system = nact.start();
  private readonly daemonActor: Actor<CompletionDaemonEvent>;
  private readonly peerActor: Actor<PeerEffect>;
  private readonly platformActor: Actor<PlatformEffect>;
  private readonly engineActor: Actor<EngineEffect>;
  private readonly applicationActor: Actor<ApplicationEffect>;
  private readonly suspension = new SuspensionDetector();
  /** Functions that cancel attempts and application calls, by attempt id. */
  private readonly cancelFunctions = new Map<string, () => void>();

  /** Starts the actors. */
  constructor(private readonly dependencies: CompletionActorDependencies) {
    this.peerActor = spawnActor(this.system, 'peers', ({ address, message }) =>
      dependencies.peers.send(address, message),
    );
    this.platformActor = spawnActor(this.system, 'platform', (effect) => this.performPlatform(effect));
    this.engineActor = spawnActor(this.system, 'engines', (effect) => this.performEngine(effect));
    this.applicationActor = spawnActor(this.system, 'applications', (effect) =>
      this.performApplication(effect),
    );
    this.daemonActor = spawnActor(this.system, 'daemon', (event) => this.onEvent(event));
  }

  /** Sends an event to the state machine. */
  dispatch(event: CompletionDaemonEvent): void {
    this.daemonActor.dispatch(event);
  }

  /** Stops all actors; effects not yet performed are dropped. */
  stop(): void {
    nact.stop(this.system);
  }

  /**
   * Compares the clocks before the event is handled: the first event after a suspension of the machine may
   * otherwise lead to an order under a lease that has expired meanwhile.
   */
  private onEvent(event: CompletionDaemonEvent): void {
    const { daemon, onTransition } = this.dependencies;
    const now = performance.now();
    const forMs = this.suspension.observe(now, Date.now());
    if (forMs > 0) this.performEffects(daemon.handle({ kind: 'clockStoodStill', forMs }, now));
    const effects = daemon.handle(event, now);
    onTransition(event.kind, performance.now() - now);
    this.performEffects(effects);
  }

  private performEffects(effects: readonly CompletionDaemonEffect[]): void {
    for (const effect of effects) this.perform(effect);
  }

  private perform(effect: CompletionDaemonEffect): void {
    switch (effect.kind) {
      case 'sendPeer':
        this.peerActor.dispatch(effect);
        break;
      case 'tableRequest':
      case 'listMachines':
        this.platformActor.dispatch(effect);
        break;
      case 'engineControl':
      case 'startAttempt':
      case 'cancelAttempt':
        this.engineActor.dispatch(effect);
        break;
      case 'checkBackend':
        this.checkBackend(effect);
        break;
      case 'startApplicationCall':
      case 'cancelApplicationCall':
        this.applicationActor.dispatch(effect);
        break;
      default:
        this.dependencies.onReply(effect);
    }
  }

  private checkBackend({ backend }: EffectOf<'checkBackend'>): void {
    void checkListener(backend.address).then((check) =>
      this.dispatch({ kind: 'backendChecked', backend, check }),
    );
  }

  private performPlatform(effect: PlatformEffect): void {
    const { platform } = this.dependencies;
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
        this.sendEngineControl(effect);
        break;
      case 'startAttempt':
        this.startAttempt(effect);
        break;
      case 'cancelAttempt':
        this.cancel(effect.attemptId);
        break;
    }
  }

  private sendEngineControl({ purpose, cell, engineId, address, request }: EffectOf<'engineControl'>): void {
    void this.dependencies.engines
      .control(address, request)
      .then((result) => this.dispatch({ kind: 'engineControlResult', purpose, cell, engineId, result }));
  }

  private startAttempt({ start }: EffectOf<'startAttempt'>): void {
    const { attemptId, requestId } = start;
    const cancel = this.dependencies.engines.start(start, (event) => {
      if (event.kind !== 'tokens') this.cancelFunctions.delete(attemptId);
      this.dispatch({ kind: 'attemptEvent', requestId, attemptId, event });
    });
    this.cancelFunctions.set(attemptId, cancel);
  }

  private performApplication(effect: ApplicationEffect): void {
    if (effect.kind === 'startApplicationCall') this.startApplicationCall(effect);
    else this.cancel(effect.attemptId);
  }

  private startApplicationCall(effect: EffectOf<'startApplicationCall'>): void {
    const { attemptId, requestId, address, remainingMs } = effect;
    const payload = this.dependencies.getPayload(requestId);
    // The caller has disconnected: its cancellation is ahead in the queue, and no caller waits for the answer.
    if (!payload) return;
    const cancel = this.dependencies.applications.start({ address, payload, remainingMs }, (event) => {
      this.cancelFunctions.delete(attemptId);
      this.dispatch({ kind: 'applicationEvent', requestId, attemptId, event });
    });
    this.cancelFunctions.set(attemptId, cancel);
  }

  private cancel(attemptId: string): void {
    this.cancelFunctions.get(attemptId)?.();
    this.cancelFunctions.delete(attemptId);
  }
}

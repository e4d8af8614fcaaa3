/**
 * The quarantine of a daemon that serves completions and application calls: requests whose attempts crashed
 * several back ends are no longer sent. Receives the outcomes of attempts from the two managers and
 * passes them to the quarantine machine in `src/quarantine`, which owns the state and the rules.
 */
import type { Member } from '../membership/membership-messages.js';
import type { BackendCheck, BackendIncarnation } from '../quarantine/crash-detector.js';
import { QuarantineManager, type QuarantineEffect } from '../quarantine/quarantine-manager.js';
import type { QuarantineMessage } from '../quarantine/quarantine-messages.js';
import { DEFAULT_QUARANTINE_SETTINGS } from '../quarantine/quarantine-settings.js';
import type { TableResult } from '../contracts/table-service.js';
import { AttemptListener, type AttemptBackend } from '../routing/attempt-listener.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { RandomSource } from '../shared/random.js';
import { getRendezvousRank } from '../shared/rendezvous-hash.js';
import { makeQuarantineChange } from './change-log.js';
import type { CompletionDaemonEffect } from './completion-messages.js';

/** What the quarantine reads, and where its effects go. */
interface CompletionQuarantineOptions {
  readonly selfId: string;
  /** Active members, including this daemon. */
  getMembers(): readonly Member[];
  /** Whether an attempt that was sent before the time `before` is still in flight at a back end. */
  hasOlderAttempt(backendId: string, before: number): boolean;
  readonly random: RandomSource;
  readonly emit: EffectSink<CompletionDaemonEffect>;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/** Rendezvous key; the daemon ranked first by it removes old rows from the store. */
const CLEANER_KEY = 'quarantine-cleaner';

/** The quarantine of one daemon. Times are monotonic milliseconds. */
export class CompletionQuarantine extends AttemptListener {
  private readonly manager: QuarantineManager;

  private readonly emit: EffectSink<CompletionDaemonEffect>;

  constructor(options: CompletionQuarantineOptions) {
    super();
    const { selfId, random, now } = options;
    this.emit = options.emit;
    const getMemberIds = (): string[] => options.getMembers().map(({ id }) => id);
    const context = {
      selfId,
      hasParts: false,
      getMembers: () => options.getMembers(),
      isCleaner: () => getRendezvousRank(CLEANER_KEY, getMemberIds(), selfId) === 0,
      hasOlderAttempt: ({ id }: BackendIncarnation, before: number) => options.hasOlderAttempt(id, before),
      isCutOff: () => false,
    };
    const onEffect = (effect: QuarantineEffect): void => this.onQuarantineEffect(effect);
    this.manager = new QuarantineManager(DEFAULT_QUARANTINE_SETTINGS, context, random, onEffect, now);
  }

  override getQuarantineMs(key: string | undefined, now: number): number | undefined {
    return key === undefined ? undefined : this.manager.getQuarantineMs(key, now);
  }

  override addBrokenAttempt(
    key: string | undefined,
    { id, address }: AttemptBackend,
    startedAt: number,
    now: number,
  ): void {
    if (key !== undefined)
      this.manager.addBrokenAttempt(
        { key, parts: [], backend: { id, address, incarnation: id }, startedAt, answeringSince: undefined },
        now,
      );
  }

  override addAnswer(key: string | undefined, now: number): void {
    if (key !== undefined) this.manager.addAnswer(key, now);
  }

  /** Receives the result of a check on a back end. */
  receiveCheck(backend: BackendIncarnation, check: BackendCheck, now: number): void {
    this.manager.receiveCheck(backend, check, now);
  }

  /** Receives a peer's message. */
  receive(fromAddress: string, message: QuarantineMessage, now: number): void {
    this.manager.receive(fromAddress, message, now);
  }

  /** Receives the store's answer to a table request. */
  receiveTable(result: TableResult, now: number): void {
    this.manager.receiveTable(result, now);
  }

  /** Advances timers; `wallMs` is the wall-clock time in milliseconds, if it is known. */
  tick(wallMs: number | undefined, now: number): void {
    if (wallMs !== undefined) this.manager.setClock(wallMs);
    this.manager.tick(now);
  }

  private onQuarantineEffect(effect: QuarantineEffect): void {
    switch (effect.kind) {
      case 'quarantineTable':
        this.emit({ kind: 'tableRequest', tag: { kind: 'quarantine' }, request: effect.request });
        break;
      case 'checkBackend':
      case 'sendPeer':
        this.emit(effect);
        break;
      case 'requestQuarantined':
      case 'requestReleased':
      case 'backendEnded': {
        const { event, fields } = makeQuarantineChange(effect);
        this.emit({ kind: 'log', event, fields });
        break;
      }
      case 'partHeld':
      case 'partReleased':
      case 'partTried':
        // Completions do not name the parts of their prompts.
        break;
      case 'peerFoundEnd':
        // Not needed here: the machine list and the reports show which engines and servers are gone.
        break;
    }
  }
}

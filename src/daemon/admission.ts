/**
 * Admission control: decides on arrival whether a request is admitted, and acquires a slot of its service
 * before the request starts. A refusal is sent as soon as it is decided and states correctly whether the
 * request was executed. The checks, in order: the daemon is stopping; it has no configuration, or a stale
 * one; the service is unknown, or of the other kind; a completion would wait too long
 * (src/routing/completion-rules.ts); the queue for slots is full, or the owner of the limits does not answer.
 * The Retry-After values are in src/routing/retry-after.ts.
 *
 * Owns the requests that wait for a slot and the record of which requests hold one; relies on the slot holder
 * (src/limits/slot-holder.ts).
 */
import type { ConfigurationReplica, Freshness } from '../configuration/configuration-replica.js';
import type { ServiceRow } from '../configuration/service-row.js';
import {
  CallerCancelledError,
  DeadlineExceededError,
  NotReadyError,
  SlotUnavailableError,
  StaleConfigurationError,
  UnknownServiceError,
  ValidationError,
  WaitingLimitError,
  type PulleyledgeError,
} from '../errors/index.js';
import type { SlotHolder } from '../limits/slot-holder.js';
import type { ApplicationManager } from '../routing/application-manager.js';
import type { ApplicationCall } from '../routing/application-messages.js';
import type { CompletionManager } from '../routing/completion-manager.js';
import type { CompletionRequest } from '../routing/completion-request.js';
import { NOT_READY_RETRY_AFTER_MS, SLOT_RETRY_AFTER_MS } from '../routing/retry-after.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { DemandTracker } from './demand-tracker.js';

type Work =
  | { readonly kind: 'completion'; readonly request: CompletionRequest }
  | { readonly kind: 'application'; readonly request: ApplicationCall };

interface WaitingForSlot {
  readonly work: Work;
  readonly row: ServiceRow;
  readonly waitingSince: number;
}

/** The failure of a request that was never started. */
interface AdmissionEffect {
  readonly kind: 'replyFailed';
  readonly requestId: string;
  readonly error: PulleyledgeError;
  readonly tokensSent: number;
}

/** The state machines of the daemon that admission uses. */
interface AdmissionParts {
  readonly configuration: ConfigurationReplica;
  readonly slots: SlotHolder;
  readonly completions: CompletionManager;
  readonly applications: ApplicationManager;
  readonly demand: DemandTracker;
  readonly freshness: (now: number) => Freshness;
}

/** The admission machine of one daemon. Times are monotonic milliseconds. */
export class Admission {
  private readonly waiting = new Map<string, WaitingForSlot>();
  /** The service whose slot a request holds, by request ID; only services with a limit. */
  private readonly slotServiceByRequest = new Map<string, string>();
  private draining = false;

  constructor(
    private readonly parts: AdmissionParts,
    private readonly emit: EffectSink<AdmissionEffect>,
  ) {}

  /** Number of requests that wait for a slot. */
  countWaitingForSlots(): number {
    return this.waiting.size;
  }

  /** Refuses all new requests from now on. */
  closeForNew(): void {
    this.draining = true;
  }

  /** Admits or refuses a caller's completion request. */
  submitCompletion(request: CompletionRequest, now: number): void {
    this.submit({ kind: 'completion', request }, now);
  }

  /** Admits or refuses a caller's application call. */
  submitApplication(request: ApplicationCall, now: number): void {
    this.submit({ kind: 'application', request }, now);
  }

  /** Starts a request to which the owner of the service's limits granted a slot. */
  onSlotGranted(requestId: string, now: number): void {
    const waiting = this.waiting.get(requestId);
    if (!waiting) return;
    this.waiting.delete(requestId);
    this.slotServiceByRequest.set(requestId, waiting.row.name);
    this.begin(waiting.work, waiting.row, now);
  }

  /** Refuses a request because the service's limit of waiting requests is reached. */
  onSlotRefused(requestId: string, retryAfterMs: number): void {
    const waiting = this.waiting.get(requestId);
    if (!waiting) return;
    const { row } = waiting;
    this.refuse(requestId, new WaitingLimitError(row.name, row.maximumWaiting, retryAfterMs));
  }

  /** Refuses a request because the owner of the limits did not answer. */
  onSlotTimedOut(requestId: string): void {
    const waiting = this.waiting.get(requestId);
    if (waiting) this.refuse(requestId, new SlotUnavailableError(waiting.row.name, SLOT_RETRY_AFTER_MS));
  }

  /** Releases the slot of a finished request, if it holds one. */
  onRequestOver(requestId: string): void {
    const service = this.slotServiceByRequest.get(requestId);
    if (service === undefined) return;
    this.slotServiceByRequest.delete(requestId);
    this.parts.slots.release(service);
  }

  /** Cancels a request whose caller disconnected. Returns whether the request was waiting for a slot. */
  cancel(requestId: string): boolean {
    if (!this.waiting.has(requestId)) return false;
    this.parts.slots.cancel(requestId);
    this.refuse(requestId, new CallerCancelledError(requestId, 'true'));
    return true;
  }

  /** Refuses requests that have passed their deadline or the service's longest wait for a slot. */
  tick(now: number): void {
    for (const [requestId, { work, row, waitingSince }] of [...this.waiting]) {
      const deadlineAt = work.request.receivedAt + (work.request.timeoutMs ?? row.deadlineMs);
      if (now >= deadlineAt) this.cancelAndRefuse(requestId, new DeadlineExceededError(requestId, 'true'));
      else if (now - waitingSince > row.maximumWaitMs) {
        this.cancelAndRefuse(
          requestId,
          new WaitingLimitError(row.name, row.maximumWaiting, SLOT_RETRY_AFTER_MS),
        );
      }
    }
  }

  private submit(work: Work, now: number): void {
    const { requestId, service } = work.request;
    const row = this.parts.configuration.getService(service);
    if (work.kind === 'completion' && row?.kind === 'completion') {
      this.parts.demand.addArrival(row, work.request.prompt.tokens, work.request.maximumTokens, now);
    }
    const error = this.findRefusal(work, row, now);
    if (error || !row) {
      this.refuse(requestId, error ?? new UnknownServiceError(service));
      return;
    }
    if (row.maximumConcurrency === 0) {
      this.begin(work, row, now);
      return;
    }
    this.waiting.set(requestId, { work, row, waitingSince: now });
    this.parts.slots.acquire(requestId, service, now);
  }

  private findRefusal(work: Work, row: ServiceRow | undefined, now: number): PulleyledgeError | undefined {
    const freshness = this.parts.freshness(now);
    if (this.draining) return new NotReadyError('it is stopping', NOT_READY_RETRY_AFTER_MS);
    if (freshness.kind === 'never')
      return new NotReadyError('no configuration is known yet', NOT_READY_RETRY_AFTER_MS);
    if (freshness.kind === 'stale')
      return new StaleConfigurationError(freshness.ageMs, NOT_READY_RETRY_AFTER_MS);
    if (!row) return new UnknownServiceError(work.request.service);
    if (row.kind !== work.kind)
      return new ValidationError('model', `service "${row.name}" is of kind ${row.kind}`);
    return work.kind === 'completion'
      ? this.parts.completions.findRefusal(work.request, row, now)
      : undefined;
  }

  private begin(work: Work, row: ServiceRow, now: number): void {
    if (work.kind === 'completion') this.parts.completions.begin(work.request, row, now);
    else this.parts.applications.begin(work.request, row, now);
  }

  private cancelAndRefuse(requestId: string, error: PulleyledgeError): void {
    this.parts.slots.cancel(requestId);
    this.refuse(requestId, error);
  }

  private refuse(requestId: string, error: PulleyledgeError): void {
    this.waiting.delete(requestId);
    this.emit({ kind: 'replyFailed', requestId, error, tokensSent: 0 });
  }
}

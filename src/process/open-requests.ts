/**
 * The callers' requests that this process has accepted and not yet answered. Owns the content and the reply
 * of each of them, on behalf of the state machine, which identifies a request by its id only. A caller that
 * disconnects is reported as a cancellation.
 */
import type { BackendClient, CallerRequest } from '../adapters/backend-client.js';
import type { BackendDialect } from '../adapters/backend-dialect.js';
import type { ForwardingEffect, ForwardingEvent } from '../daemon/forwarding-messages.js';
import type { AttemptStart } from '../forwarding/forward-messages.js';
import type { CallerReply } from '../gateway/caller-reply.js';
import type { ReceivedRequest } from '../gateway/forward-server.js';
import { digestContent } from '../quarantine/request-key.js';

/** Radix of the numbers that identify requests. */
const ID_RADIX = 36;

interface OpenRequest {
  readonly reply: CallerReply;
  readonly request: CallerRequest;
}

type ReplyEffect = Extract<ForwardingEffect, { kind: 'replyWhole' | 'replyFailure' | 'replyBroken' }>;

/** Tracks the open requests of one process. */
export class OpenRequests {
  private readonly open = new Map<string, OpenRequest>();
  private lastNumber = 0;

  constructor(
    private readonly dialect: BackendDialect,
    private readonly backends: BackendClient,
    private readonly send: (event: ForwardingEvent) => void,
  ) {}

  /** Number of requests whose callers wait for a complete answer. */
  getCount(): number {
    return this.open.size;
  }

  /** Adds a request and submits its description, without the body, to the state machine. */
  add(received: ReceivedRequest, reply: CallerReply): void {
    this.lastNumber += 1;
    const id = this.lastNumber.toString(ID_RADIX);
    const head = this.dialect.parseCallerHead(received.headers);
    const { method, path, host, headers, body, callerAddress } = received;
    this.open.set(id, { reply, request: { method, path, headers, head, body } });
    reply.onCallerGone = () => {
      if (this.open.delete(id)) this.send({ kind: 'cancel', requestId: id });
    };
    this.send({
      kind: 'submit',
      request: {
        id,
        callerId: head.callerId,
        host,
        path,
        arrivedAt: received.arrivedAt,
        callerDeadlineMs: head.deadlineMs,
        prompt: head.prompt,
        bodyBytes: body.length,
        usageTokens: head.usageTokens,
        keyDigest: head.keyDigest,
        contentDigest: digestContent({ method, host, path, body }),
        callerAddress,
        resumption: head.resumption,
      },
    });
  }

  /** Sends an attempt to its back end, unless the caller has disconnected. */
  startAttempt(start: AttemptStart): void {
    const { requestId, attemptId } = start;
    const open = this.open.get(requestId);
    if (!open) {
      // The caller has just disconnected: its cancellation is ahead of this event in the queue.
      const event = { kind: 'unreachable', reason: 'abandoned' } as const;
      this.send({ kind: 'attempt', requestId, attemptId, event });
      return;
    }
    this.backends.start(start, open.request, open.reply, (event) => {
      const callerLeft = !this.open.has(requestId);
      // The state machine has forgotten the attempt or is about to, and nothing else would free the KV cache.
      if (callerLeft && event.kind === 'prefilled')
        this.backends.freeKv({ address: start.backend.address, handle: event.handle }, start.via);
      else this.send({ kind: 'attempt', requestId, attemptId, event });
    });
  }

  /** Ends a request without an answer: its caller's connection is closed. */
  drop(requestId: string): void {
    this.removeRequest(requestId)?.destroy();
  }

  /** Answers a request, which is then no longer open. One that cannot be answered is dropped. */
  sendReply(effect: ReplyEffect): void {
    const reply = this.open.get(effect.requestId)?.reply;
    try {
      this.writeReply(effect);
    } catch (error) {
      reply?.destroy();
      throw error;
    }
  }

  private writeReply(effect: ReplyEffect): void {
    switch (effect.kind) {
      case 'replyWhole': {
        const answer = this.backends.takeAnswer(effect.attemptId);
        if (answer) this.removeRequest(effect.requestId)?.sendAnswer(answer);
        break;
      }
      case 'replyFailure':
        this.removeRequest(effect.requestId)?.sendFailure(effect);
        break;
      case 'replyBroken':
        this.removeRequest(effect.requestId)?.abort();
        break;
    }
  }

  private removeRequest(requestId: string): CallerReply | undefined {
    const open = this.open.get(requestId);
    this.open.delete(requestId);
    return open?.reply;
  }
}

/**
 * Callers' requests that this process has taken and not answered. Owns each one's content and reply between
 * the caller's connection and the state machine, which knows a request by its id alone. A caller that leaves
 * is reported as a cancellation.
 */
import type { BackendClient, CallerRequest } from '../adapters/backend-client.js';
import type { BackendDialect } from '../adapters/backend-dialect.js';
import type { ForwardingEffect, ForwardingEvent } from '../daemon/forwarding-messages.js';
import type { AttemptStart } from '../forwarding/forward-messages.js';
import type { CallerReply, ReceivedRequest } from '../gateway/forward-server.js';
import { digestContent } from '../quarantine/request-key.js';

/** Digits in which requests are numbered. */
const ID_RADIX = 36;

interface OpenRequest {
  readonly reply: CallerReply;
  readonly request: CallerRequest;
}

type ReplyEffect = Extract<ForwardingEffect, { kind: 'replyWhole' | 'replyFailure' | 'replyBroken' }>;

/** The open requests of one process. */
export class OpenRequests {
  private readonly open = new Map<string, OpenRequest>();
  private numbered = 0;

  constructor(
    private readonly dialect: BackendDialect,
    private readonly backends: BackendClient,
    private readonly send: (event: ForwardingEvent) => void,
  ) {}

  /** Requests without a whole answer whose callers wait. */
  getCount(): number {
    return this.open.size;
  }

  /** Takes a request and hands its outline to the state machine. */
  add(received: ReceivedRequest, reply: CallerReply): void {
    this.numbered += 1;
    const id = this.numbered.toString(ID_RADIX);
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
      },
    });
  }

  /** Sends an attempt to its back end, unless the caller has left. */
  startAttempt(start: AttemptStart): void {
    const { requestId, attemptId } = start;
    const open = this.open.get(requestId);
    if (!open) {
      // The caller has just left: its cancellation is before this in the queue.
      const event = { kind: 'unreachable', reason: 'abandoned' } as const;
      this.send({ kind: 'attempt', requestId, attemptId, event });
      return;
    }
    this.backends.start(start, open.request, open.reply, (event) => {
      const callerLeft = !this.open.has(requestId);
      // The machine knows the attempt no more, or will soon not: nobody else would free the KV cache.
      if (callerLeft && event.kind === 'prefilled')
        this.backends.freeKv({ address: start.backend.address, handle: event.handle });
      else this.send({ kind: 'attempt', requestId, attemptId, event });
    });
  }

  /** Answers a request, which is open no more. */
  sendReply(effect: ReplyEffect): void {
    switch (effect.kind) {
      case 'replyWhole': {
        const answer = this.backends.takeAnswer(effect.attemptId);
        if (answer) this.take(effect.requestId)?.sendAnswer(answer);
        break;
      }
      case 'replyFailure':
        this.take(effect.requestId)?.sendFailure(effect);
        break;
      case 'replyBroken':
        this.take(effect.requestId)?.abort();
        break;
    }
  }

  private take(requestId: string): CallerReply | undefined {
    const open = this.open.get(requestId);
    this.open.delete(requestId);
    return open?.reply;
  }
}

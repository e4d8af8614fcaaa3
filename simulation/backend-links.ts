/**
 * Connections from simulated daemons to engines, application servers and the platform, with their failures: refused
 * connections, broken connections and calls that time out. Relies on the simulated network for delays and partitions.
 */
import type { CompletionDaemonEffect, CompletionDaemonEvent } from '../src/daemon/completion-messages.js';
import { hashText } from '../src/shared/rendezvous-hash.js';
import type { AttemptStart } from '../src/routing/completion-effects.js';
import type { LeaseValue } from '../src/lease/cell-lease.js';
import type { PlatformModel } from '../lab/platform-model.js';
import type { RandomSource } from '../src/shared/random.js';
import type { DaemonNode } from './daemon-node.js';
import type { SimulatedApplication } from './simulated-application.js';
import type { AttemptSink, SimulatedEngine } from './simulated-engine.js';
import type { Endpoint, SimulatedNetwork } from './simulated-network.js';
import type { VirtualTime } from './virtual-time.js';

type AttemptEvent = Extract<CompletionDaemonEvent, { kind: 'attemptEvent' }>['event'];
type EngineWork = Parameters<SimulatedEngine['start']>[0];

/** Time-out of calls to the platform and of control requests to engines. Milliseconds. */
const CALL_TIMEOUT_MS = 1500;
/** Time after which a daemon notices that a connection cannot be opened or is lost. Milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;
const PLATFORM: Endpoint = { name: 'platform', zone: 'platform', region: 'main' };

/** The parts of a simulated site that the links use. */
export interface LinkedSite {
  readonly time: VirtualTime;
  readonly random: RandomSource;
  readonly network: SimulatedNetwork;
  readonly platform: PlatformModel;
  readonly engines: ReadonlyMap<string, SimulatedEngine>;
  readonly applications: ReadonlyMap<string, SimulatedApplication>;
  /** Upper bound of the random extra delay of a daemon's orders to engines. Milliseconds. */
  readonly controlDelayMs: ReadonlyMap<DaemonNode, number>;
  /** Delivers an event to a daemon. */
  deliver(node: DaemonNode, event: CompletionDaemonEvent): void;
}

/** Sends daemons' requests to back ends and the platform, and delivers the answers. */
export class BackendLinks {
  constructor(private readonly site: LinkedSite) {}

  /** Sends a request to the table service. */
  sendTableRequest(
    node: DaemonNode,
    effect: Extract<CompletionDaemonEffect, { kind: 'tableRequest' }>,
  ): void {
    const { tag, request } = effect;
    this.callPlatform(
      node,
      () => this.site.platform.applyTableRequest(request, this.site.time.now()),
      (result) =>
        this.site.deliver(node, {
          kind: 'tableResult',
          tag,
          result: result ?? { kind: 'noAnswer', reason: 'no answer' },
        }),
    );
  }

  /** Reads the machine list. */
  readMachines(node: DaemonNode, cells: readonly string[]): void {
    this.callPlatform(
      node,
      () => this.site.platform.listMachines(cells, this.site.time.now()),
      (listing) => this.site.deliver(node, { kind: 'machineListing', listing }),
    );
  }

  /**
   * Calls the platform. The answer may be lost after the call has taken effect; `done` then gets undefined after
   * the time-out.
   */
  private callPlatform<Answer>(
    node: DaemonNode,
    call: () => Answer | undefined,
    done: (answer: Answer | undefined) => void,
  ): void {
    const { starts } = node;
    let answered = false;
    const finish = (answer: Answer | undefined): void => {
      if (answered || node.starts !== starts) return;
      answered = true;
      done(answer);
    };
    this.site.time.after(CALL_TIMEOUT_MS, () => finish(undefined));
    this.site.network.send(node, PLATFORM, () => {
      const answer = call();
      const { faults } = this.site.platform;
      if (answer === undefined || this.site.random.next() < faults.loseAnswers) return;
      this.site.time.after(faults.slowMs, () => this.site.network.send(PLATFORM, node, () => finish(answer)));
    });
  }

  /** Sends a control request to an engine. */
  sendEngineControl(
    node: DaemonNode,
    effect: Extract<CompletionDaemonEffect, { kind: 'engineControl' }>,
  ): void {
    const { purpose, cell, engineId, request } = effect;
    const engine = this.site.engines.get(engineId);
    const { starts } = node;
    let answered = false;
    const finish = (event: CompletionDaemonEvent): void => {
      if (answered || node.starts !== starts) return;
      answered = true;
      this.site.deliver(node, event);
    };
    const noAnswer = { kind: 'noAnswer', reason: 'no answer' } as const;
    this.site.time.after(CALL_TIMEOUT_MS, () =>
      finish({ kind: 'engineControlResult', purpose, cell, engineId, result: noAnswer }),
    );
    if (!engine) return;
    const { id } = node;
    const arrive = (): void => {
      if (!engine.alive) return;
      const result = engine.control(request, id, this.getTableEpoch(cell));
      this.site.network.send(engine, node, () =>
        finish({ kind: 'engineControlResult', purpose, cell, engineId, result }),
      );
    };
    const controlDelayMs =
      request.kind === 'order' ? (this.site.controlDelayMs.get(node) ?? 0) * this.site.random.next() : 0;
    this.site.time.after(controlDelayMs, () => this.site.network.send(node, engine, arrive));
  }

  private getTableEpoch(cell: string): number {
    return (this.site.platform.getRow('leases', cell)?.value as LeaseValue | undefined)?.epoch ?? 0;
  }

  /** Starts an attempt at an engine. */
  startAttempt(node: DaemonNode, effect: Extract<CompletionDaemonEffect, { kind: 'startAttempt' }>): void {
    const { start } = effect;
    const { network, time } = this.site;
    const engine = this.site.engines.get(start.engineId);
    if (!engine || !engine.alive || !network.isConnected(node, engine)) {
      const delay = engine && !engine.alive ? network.getDelay(node, engine) : CONNECT_TIMEOUT_MS;
      this.deliverLater(node, start, { kind: 'unreachable', reason: 'refused' }, delay);
      return;
    }
    const sink = this.createAttemptSink(node, engine, start);
    time.after(network.getDelay(node, engine), () => {
      if (engine.alive && network.isConnected(node, engine)) {
        const { requestId, request } = start;
        engine.start(createEngineWork(start), requestId, hashText(request.prompt.text), sink);
      } else this.deliverBreakLater(node, start);
    });
  }

  /** Delivers an engine's events, in order, to the daemon process that started the attempt, but to no later one. */
  private createAttemptSink(node: DaemonNode, engine: SimulatedEngine, start: AttemptStart): AttemptSink {
    const { requestId, attemptId } = start;
    const { starts } = node;
    let channel: ReturnType<SimulatedNetwork['createChannel']> | undefined;
    return (event) => {
      if (node.starts !== starts || !node.alive) return false;
      channel ??= this.site.network.createChannel(engine, node);
      const sent = channel(() => {
        if (node.starts === starts)
          this.site.deliver(node, { kind: 'attemptEvent', requestId, attemptId, event });
      });
      // When the engine cannot reach the daemon, the daemon sees the stream break after the connection's time-out.
      if (!sent) this.deliverBreakLater(node, start);
      return sent;
    };
  }

  private deliverBreakLater(node: DaemonNode, start: AttemptStart): void {
    this.deliverLater(node, start, { kind: 'broken', reason: 'connection lost' }, CONNECT_TIMEOUT_MS);
  }

  /** Delivers an event that the daemon's own side detects, unless the daemon has restarted by then. */
  private deliverLater(
    node: DaemonNode,
    { requestId, attemptId }: AttemptStart,
    event: AttemptEvent,
    delayMs: number,
  ): void {
    const { starts } = node;
    this.site.time.after(delayMs, () => {
      if (node.starts === starts)
        this.site.deliver(node, { kind: 'attemptEvent', requestId, attemptId, event });
    });
  }

  /** Starts a call at an application server. */
  startCall(
    node: DaemonNode,
    effect: Extract<CompletionDaemonEffect, { kind: 'startApplicationCall' }>,
  ): void {
    const { requestId, attemptId, address } = effect;
    const server = this.site.applications.get(address);
    const { starts } = node;
    const deliver = (event: Extract<CompletionDaemonEvent, { kind: 'applicationEvent' }>['event']): void => {
      if (node.starts === starts)
        this.site.deliver(node, { kind: 'applicationEvent', requestId, attemptId, event });
    };
    const deliverBreak = (): void =>
      this.site.time.after(CONNECT_TIMEOUT_MS, () => deliver({ kind: 'broken', reason: 'connection lost' }));
    if (!server || !server.alive || !this.site.network.isConnected(node, server)) {
      this.site.time.after(CONNECT_TIMEOUT_MS, () => deliver({ kind: 'unreachable', reason: 'refused' }));
      return;
    }
    this.site.time.after(this.site.network.getDelay(node, server), () => {
      if (!server.alive || !this.site.network.isConnected(node, server)) {
        deliverBreak();
        return;
      }
      server.call(requestId, (event) => {
        const sent = this.site.network.send(server, node, () => deliver(event));
        if (!sent) deliverBreak();
      });
    });
  }
}

/** Converts the start of an attempt to the form that engines accept. */
function createEngineWork({ attemptId, stage, row, request, offset, kv }: AttemptStart): EngineWork {
  return {
    attemptId,
    stage,
    model: row.model,
    version: row.version,
    adapter: row.adapter,
    promptTokens: request.prompt.tokens,
    prefixKey: request.prompt.prefixKey,
    maximumTokens: request.maximumTokens,
    priority: row.priority,
    offset,
    imported: stage === 'generate' && kv !== undefined,
  };
}

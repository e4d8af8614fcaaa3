/** The ways from simulated daemons to engines, application servers and the platform, with their failures. */
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

const NO_ANSWER_MS = 1500;
const CONNECT_TIMEOUT_MS = 1000;
const PLATFORM: Endpoint = { name: 'platform', zone: 'platform', region: 'main' };

/** What of a site the links lead through and to. */
export interface LinkedSite {
  readonly time: VirtualTime;
  readonly random: RandomSource;
  readonly network: SimulatedNetwork;
  readonly platform: PlatformModel;
  readonly engines: ReadonlyMap<string, SimulatedEngine>;
  readonly applications: ReadonlyMap<string, SimulatedApplication>;
  /** Control requests of a daemon reach engines this much later. Milliseconds. */
  readonly controlDelayMs: ReadonlyMap<DaemonNode, number>;
  /** Hands an event to a daemon. */
  deliver(node: DaemonNode, event: CompletionDaemonEvent): void;
}

/** Carries daemons' requests to back ends and their answers back. */
export class BackendLinks {
  constructor(private readonly site: LinkedSite) {}

  /** Asks the table service. */
  askTable(node: DaemonNode, effect: Extract<CompletionDaemonEffect, { kind: 'tableRequest' }>): void {
    const { tag, request } = effect;
    this.askPlatform(
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
  askMachines(node: DaemonNode, cells: readonly string[]): void {
    this.askPlatform(
      node,
      () => this.site.platform.listMachines(cells, this.site.time.now()),
      (listing) => this.site.deliver(node, { kind: 'machineListing', listing }),
    );
  }

  /** A call to the platform: the answer may be lost after the effect, and a lost one shows as a time-out. */
  private askPlatform<Answer>(
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
    this.site.time.after(NO_ANSWER_MS, () => finish(undefined));
    this.site.network.send(node, PLATFORM, () => {
      const answer = call();
      const { faults } = this.site.platform;
      if (answer === undefined || this.site.random.next() < faults.loseAnswers) return;
      this.site.time.after(faults.slowMs, () => this.site.network.send(PLATFORM, node, () => finish(answer)));
    });
  }

  /** Sends a control request to an engine. */
  controlEngine(node: DaemonNode, effect: Extract<CompletionDaemonEffect, { kind: 'engineControl' }>): void {
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
    this.site.time.after(NO_ANSWER_MS, () =>
      finish({ kind: 'engineControlResult', purpose, cell, engineId, result: noAnswer }),
    );
    if (!engine) return;
    const { id } = node;
    const arrive = (): void => {
      if (!engine.alive) return;
      const result = engine.control(request, id, this.tableEpoch(cell));
      this.site.network.send(engine, node, () =>
        finish({ kind: 'engineControlResult', purpose, cell, engineId, result }),
      );
    };
    const slept =
      request.kind === 'order' ? (this.site.controlDelayMs.get(node) ?? 0) * this.site.random.next() : 0;
    this.site.time.after(slept, () => this.site.network.send(node, engine, arrive));
  }

  private tableEpoch(cell: string): number {
    return (this.site.platform.getRow('leases', cell)?.value as LeaseValue | undefined)?.epoch ?? 0;
  }

  /** Starts an attempt at an engine. */
  startAttempt(node: DaemonNode, effect: Extract<CompletionDaemonEffect, { kind: 'startAttempt' }>): void {
    const { start } = effect;
    const { network, time } = this.site;
    const engine = this.site.engines.get(start.engineId);
    if (!engine || !engine.alive || !network.isConnected(node, engine)) {
      const delay = engine && !engine.alive ? network.getDelay(node, engine) : CONNECT_TIMEOUT_MS;
      this.tellLater(node, start, { kind: 'unreachable', reason: 'refused' }, delay);
      return;
    }
    const back = this.createWayBack(node, engine, start);
    time.after(network.getDelay(node, engine), () => {
      if (engine.alive && network.isConnected(node, engine)) {
        const { requestId, request } = start;
        engine.start(describeWork(start), requestId, hashText(request.prompt.text), back);
      } else this.breakLater(node, start);
    });
  }

  /** Carries an engine's events to the life of the daemon that started the attempt, in order. */
  private createWayBack(node: DaemonNode, engine: SimulatedEngine, start: AttemptStart): AttemptSink {
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
      // A stream that cannot reach its daemon breaks there when the connection times out.
      if (!sent) this.breakLater(node, start);
      return sent;
    };
  }

  private breakLater(node: DaemonNode, start: AttemptStart): void {
    this.tellLater(node, start, { kind: 'broken', reason: 'connection lost' }, CONNECT_TIMEOUT_MS);
  }

  /** Tells the daemon what its own side finds out about an attempt, unless it has ended by then. */
  private tellLater(
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
    const broken = (): void =>
      this.site.time.after(CONNECT_TIMEOUT_MS, () => deliver({ kind: 'broken', reason: 'connection lost' }));
    if (!server || !server.alive || !this.site.network.isConnected(node, server)) {
      this.site.time.after(CONNECT_TIMEOUT_MS, () => deliver({ kind: 'unreachable', reason: 'refused' }));
      return;
    }
    this.site.time.after(this.site.network.getDelay(node, server), () => {
      if (!server.alive || !this.site.network.isConnected(node, server)) {
        broken();
        return;
      }
      server.call(requestId, (event) => {
        const sent = this.site.network.send(server, node, () => deliver(event));
        if (!sent) broken();
      });
    });
  }
}

/** The work of an attempt as an engine takes it. */
function describeWork({ attemptId, stage, row, request, offset, kv }: AttemptStart): EngineWork {
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

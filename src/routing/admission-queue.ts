/**
 * The queue of requests that wait for an engine: strict priority between classes, weighted fair queueing
 * between the services of a class (start-time fair queueing, Goyal, Vin and Cheng, 1997), and first in, first
 * out within a service. Each service of a class is one flow. Owns the queued items; relies on nothing.
 */

/** A queued item. */
export interface QueueItem {
  readonly id: string;
  readonly service: string;
  readonly priority: number;
  readonly weight: number;
  /** Work that the item needs, in any unit that is the same for all items. */
  readonly cost: number;
}

interface TaggedItem {
  readonly item: QueueItem;
  readonly startTag: number;
}

interface PriorityClass {
  virtualTime: number;
  readonly finishTags: Map<string, number>;
  readonly flows: Map<string, TaggedItem[]>;
}

/** A weighted-fair queue with priority classes. */
export class AdmissionQueue {
  private readonly classes = new Map<number, PriorityClass>();
  private readonly flowOf = new Map<string, { priority: number; service: string }>();
  private totalCost = 0;

  /** Number of queued items. */
  get length(): number {
    return this.flowOf.size;
  }

  /**
   * Cost of the items that are served before a new item: everything in higher classes, and in its own class
   * at most what its flow's weighted share lets other flows send first.
   */
  costAhead(item: { priority: number; service: string; weight: number }): number {
    let ahead = 0;
    for (const [level, queue] of this.classes) {
      if (level < item.priority) ahead += classCost(queue);
      else if (level === item.priority) ahead += this.costAheadInClass(queue, item);
    }
    return ahead;
  }

  private costAheadInClass(queue: PriorityClass, item: { service: string; weight: number }): number {
    let flowCost = 0;
    let otherWeight = 0;
    for (const [service, flow] of queue.flows) {
      if (service === item.service) flowCost = flow.reduce((sum, tagged) => sum + tagged.item.cost, 0);
      else otherWeight += flow[0].item.weight;
    }
    const fairWait = flowCost * (1 + otherWeight / item.weight);
    return Math.min(classCost(queue), fairWait);
  }

  /** Sum of the costs of all queued items. */
  cost(): number {
    return this.totalCost;
  }

  /** Adds an item at the end of its service's flow. */
  push(item: QueueItem): void {
    const queue = this.getClass(item.priority);
    const startTag = Math.max(queue.virtualTime, queue.finishTags.get(item.service) ?? 0);
    queue.finishTags.set(item.service, startTag + item.cost / item.weight);
    this.getFlow(queue, item.service).push({ item, startTag });
    this.onAdded(item);
  }

  /** Puts an item back at the head of its flow, after an engine rejected it. */
  pushFront(item: QueueItem): void {
    const queue = this.getClass(item.priority);
    const flow = this.getFlow(queue, item.service);
    const startTag = Math.min(queue.virtualTime, flow[0]?.startTag ?? queue.virtualTime);
    flow.unshift({ item, startTag });
    this.onAdded(item);
  }

  /** The first item of each flow, in the order in which they should be sent. */
  heads(): QueueItem[] {
    const heads: QueueItem[] = [];
    const levels = [...this.classes.keys()].sort((left, right) => left - right);
    for (const level of levels) {
      const flows = [...(this.classes.get(level) as PriorityClass).flows.values()];
      const tagged = flows.map((flow) => flow[0]).sort((left, right) => left.startTag - right.startTag);
      heads.push(...tagged.map((entry) => entry.item));
    }
    return heads;
  }

  /** Removes an item from any position. Returns whether it was queued. */
  remove(id: string): boolean {
    const location = this.flowOf.get(id);
    if (!location) return false;
    const queue = this.getClass(location.priority);
    const flow = this.getFlow(queue, location.service);
    const index = flow.findIndex((tagged) => tagged.item.id === id);
    const [tagged] = flow.splice(index, 1);
    queue.virtualTime = Math.max(queue.virtualTime, tagged.startTag);
    this.flowOf.delete(id);
    this.totalCost -= tagged.item.cost;
    if (flow.length === 0) queue.flows.delete(location.service);
    if (queue.flows.size === 0) queue.finishTags.clear();
    return true;
  }

  private onAdded(item: QueueItem): void {
    this.flowOf.set(item.id, { priority: item.priority, service: item.service });
    this.totalCost += item.cost;
  }

  private getClass(priority: number): PriorityClass {
    let queue = this.classes.get(priority);
    if (!queue) {
      queue = { virtualTime: 0, finishTags: new Map(), flows: new Map() };
      this.classes.set(priority, queue);
    }
    return queue;
  }

  private getFlow(queue: PriorityClass, service: string): TaggedItem[] {
    let flow = queue.flows.get(service);
    if (!flow) {
      flow = [];
      queue.flows.set(service, flow);
    }
    return flow;
  }
}

function classCost(queue: PriorityClass): number {
  let cost = 0;
  for (const flow of queue.flows.values()) for (const tagged of flow) cost += tagged.item.cost;
  return cost;
}

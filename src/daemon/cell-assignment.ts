/**
 * Which daemon routes to which cells, and which one coordinates a cell: two rules that every daemon computes
 * alike from the members and the cells, without asking anybody. Owns what it computed last. Who may give
 * orders is decided by the cell's lease alone; the coordinator chosen here is only the one that asks for it.
 */
import { rankByRendezvous } from '../shared/rendezvous-hash.js';
import type { Member } from '../membership/membership-messages.js';
import type { Cell } from '../contracts/machine-list.js';
import type { CellSettings } from './completion-daemon-settings.js';

/**
 * The cells that a daemon routes to: some of its own zone, and some of others for when that one is saturated
 * or down.
 */
function cellsOfDaemon(
  daemon: { id: string; zone: string },
  cells: readonly Cell[],
  settings: CellSettings,
): string[] {
  const own = cells.filter((cell) => cell.zone === daemon.zone).map((cell) => cell.name);
  const other = cells.filter((cell) => cell.zone !== daemon.zone).map((cell) => cell.name);
  return [
    ...rankByRendezvous(daemon.id, own, settings.ownZoneCells),
    ...rankByRendezvous(daemon.id, other, settings.otherZoneCells),
  ];
}

/** Computes subscriptions and coordinators, and remembers them until members or cells change. */
export class CellAssignment {
  private readonly subscriptions = new Map<string, string[]>();
  private members: readonly Member[] = [];
  private cells: readonly Cell[] = [];
  private readonly coordinators = new Map<string, string>();
  private byCell = new Map<string, Member[]>();

  constructor(private readonly settings: CellSettings) {}

  /** Takes the present members and cells. */
  update(members: readonly Member[], cells: readonly Cell[]): void {
    if (members === this.members && cells === this.cells) return;
    if (cells !== this.cells) this.subscriptions.clear();
    this.members = members;
    this.cells = cells;
    this.byCell = new Map(cells.map((cell) => [cell.name, []]));
    for (const member of members) {
      for (const cell of this.getCells(member)) this.byCell.get(cell)?.push(member);
    }
    this.chooseCoordinators();
  }

  /** The cells of one daemon. */
  getCells(member: { id: string; zone: string }): string[] {
    let cells = this.subscriptions.get(member.id);
    if (!cells) {
      cells = cellsOfDaemon(member, this.cells, this.settings);
      this.subscriptions.set(member.id, cells);
    }
    return cells;
  }

  /** The daemons that route to a cell. */
  getSubscribers(cell: string): readonly Member[] {
    return this.byCell.get(cell) ?? [];
  }

  /** The daemon that should coordinate a cell: one in its zone if there is one, with few other cells. */
  getCoordinator(cell: string): string | undefined {
    return this.coordinators.get(cell);
  }

  /** Goes through the cells in one order, so that every daemon with the same members chooses the same. */
  private chooseCoordinators(): void {
    this.coordinators.clear();
    const cellsHeld = new Map<string, number>();
    const ordered = [...this.cells].sort((left, right) => (left.name < right.name ? -1 : 1));
    for (const cell of ordered) {
      const ranked = this.rankedCandidates(cell);
      let chosen: string | undefined;
      for (const id of ranked) {
        if (chosen === undefined || (cellsHeld.get(id) ?? 0) < (cellsHeld.get(chosen) ?? 0)) chosen = id;
      }
      if (chosen === undefined) continue;
      this.coordinators.set(cell.name, chosen);
      cellsHeld.set(chosen, (cellsHeld.get(chosen) ?? 0) + 1);
    }
  }

  private rankedCandidates(cell: Cell): string[] {
    const subscribers = this.getSubscribers(cell.name);
    const near = subscribers.filter((member) => member.zone === cell.zone);
    const candidates = (near.length > 0 ? near : subscribers).map((member) => member.id);
    return rankByRendezvous(`coordinator/${cell.name}`, candidates, candidates.length);
  }
}

/**
 * Assigns cells to daemons and a coordinator to each cell. Both are pure functions of the members and the
 * cells, so every daemon computes the same result without communication. Owns the last result. Only the
 * holder of a cell's lease may give orders; the coordinator picked here is the daemon that tries to acquire
 * it.
 */
import { rankByRendezvous } from '../shared/rendezvous-hash.js';
import type { Member } from '../membership/membership-messages.js';
import type { Cell } from '../contracts/machine-list.js';
import type { CellSettings } from './completion-daemon-settings.js';

/**
 * The cells that a daemon routes to: some in its own zone, and some in other zones as a fallback for when its
 * own zone is saturated or down.
 */
function pickCells(
  daemon: { id: string; zone: string },
  cells: readonly Cell[],
  settings: CellSettings,
): string[] {
  const sameZone = cells.filter((cell) => cell.zone === daemon.zone).map((cell) => cell.name);
  const otherZones = cells.filter((cell) => cell.zone !== daemon.zone).map((cell) => cell.name);
  return [
    ...rankByRendezvous(daemon.id, sameZone, settings.ownZoneCells),
    ...rankByRendezvous(daemon.id, otherZones, settings.otherZoneCells),
  ];
}

/** Computes the cells of each daemon and the coordinators, and caches them until members or cells change. */
export class CellAssignment {
  private readonly cellsByMember = new Map<string, string[]>();
  private members: readonly Member[] = [];
  private cells: readonly Cell[] = [];
  private readonly coordinators = new Map<string, string>();
  private subscribersByCell = new Map<string, Member[]>();

  constructor(private readonly settings: CellSettings) {}

  /** Recomputes the assignment if the members or cells have changed. */
  update(members: readonly Member[], cells: readonly Cell[]): void {
    if (members === this.members && cells === this.cells) return;
    if (cells !== this.cells) this.cellsByMember.clear();
    this.members = members;
    this.cells = cells;
    this.subscribersByCell = new Map(cells.map((cell) => [cell.name, []]));
    for (const member of members) {
      for (const cell of this.getCells(member)) this.subscribersByCell.get(cell)?.push(member);
    }
    this.pickCoordinators();
  }

  /** The cells that a daemon routes to. */
  getCells(member: { id: string; zone: string }): string[] {
    let cells = this.cellsByMember.get(member.id);
    if (!cells) {
      cells = pickCells(member, this.cells, this.settings);
      this.cellsByMember.set(member.id, cells);
    }
    return cells;
  }

  /** The daemons that route to a cell. */
  getSubscribers(cell: string): readonly Member[] {
    return this.subscribersByCell.get(cell) ?? [];
  }

  /**
   * The daemon that should coordinate a cell: in the cell's zone if possible, with few other cells to
   * coordinate.
   */
  getCoordinator(cell: string): string | undefined {
    return this.coordinators.get(cell);
  }

  /** Visits the cells in name order, so that all daemons with the same members pick the same coordinators. */
  private pickCoordinators(): void {
    this.coordinators.clear();
    const coordinatedCells = new Map<string, number>();
    const ordered = [...this.cells].sort((left, right) => (left.name < right.name ? -1 : 1));
    for (const cell of ordered) {
      const ranked = this.getRankedCandidates(cell);
      let chosen: string | undefined;
      for (const id of ranked) {
        if (chosen === undefined || (coordinatedCells.get(id) ?? 0) < (coordinatedCells.get(chosen) ?? 0))
          chosen = id;
      }
      if (chosen === undefined) continue;
      this.coordinators.set(cell.name, chosen);
      coordinatedCells.set(chosen, (coordinatedCells.get(chosen) ?? 0) + 1);
    }
  }

  private getRankedCandidates(cell: Cell): string[] {
    const subscribers = this.getSubscribers(cell.name);
    const sameZone = subscribers.filter((member) => member.zone === cell.zone);
    const candidates = (sameZone.length > 0 ? sameZone : subscribers).map((member) => member.id);
    return rankByRendezvous(`coordinator/${cell.name}`, candidates, candidates.length);
  }
}

/// Checks that one holder at a time gives orders to a back end.
import type {Violation} from "./caller-record.js"
import {groupBy} from "./group-by.js"

/// One order that a back end received with a valid fence. Monotonic milliseconds.
export interface OrderRecord {
  readonly backend: string
  readonly holder: string
  readonly fence: number
  readonly at: number
}

/// Finds fences that two holders used, and holders that took turns within the time of a lease, in milliseconds.
export function findOrderViolations(orders: readonly OrderRecord[], leaseMs: number): Violation[] {
  const found: Violation[] = []
  for (const [backend, ofBackend] of groupBy(orders, order => order.backend)) {
    for (const [i, order] of ofBackend.entries()) {
      const other = ofBackend.find(
        earlier => earlier.fence === order.fence && earlier.holder !== order.holder
      )
      if (other) found.push({promise: "one holder a fence", text: `${backend}: fence ${order.fence} by two`})
      const returnsWithinLease = ofBackend
        .slice(i + 1)
        .some(
          (later, j) =>
            later.holder !== order.holder && isWithinLease(order, ofBackend.slice(i + 2 + j), leaseMs)
        )
      if (returnsWithinLease)
        found.push({promise: "holders do not take turns", text: `${backend} at ${Math.round(order.at)}`})
    }
  }
  return found
}

function isWithinLease(order: OrderRecord, later: readonly OrderRecord[], leaseMs: number): boolean {
  return later.some(next => next.holder === order.holder && next.at - order.at < leaseMs)
}

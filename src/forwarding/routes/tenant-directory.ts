/// Whose key a caller shows. One look-up a request, at any number of tenants; a new configuration touches
/// only the tenants that it changes.
import type {Route, Tenant, TenantQuota} from "./route.js"

/// Who a caller acts for.
export interface Caller {
  /// Undefined where callers need no key.
  readonly tenant: Tenant | undefined
}

const ANYBODY: Caller = {tenant: undefined}

/// The tenants of one daemon.
export class TenantDirectory {
  private readonly byName = new Map<string, Tenant>()
  private readonly byKeyDigest = new Map<string, Caller>()
  private needsKeys = false

  /// Takes the tenants of a configuration; null when callers need no keys.
  apply(tenants: readonly Tenant[] | null): void {
    this.needsKeys = tenants !== null
    const next = new Map((tenants ?? []).map(tenant => [tenant.name, tenant]))
    const changed = [...next.values()].filter(tenant => !isSame(this.byName.get(tenant.name), tenant))
    // Removals first: a key may go from one tenant to another.
    for (const known of this.byName.values()) if (!isSame(next.get(known.name), known)) this.remove(known)
    for (const tenant of changed) this.add(tenant)
  }

  /// Who the caller of a request on `route` is; undefined when the route asks for a key and this one is not
  /// valid.
  findCaller(route: Route, keyDigest: string | undefined): Caller | undefined {
    if (!this.needsKeys || route.isPublic) return ANYBODY
    return keyDigest === undefined ? undefined : this.byKeyDigest.get(keyDigest)
  }

  private add(tenant: Tenant): void {
    this.byName.set(tenant.name, tenant)
    const caller = {tenant}
    for (const digest of tenant.keyDigests) this.byKeyDigest.set(digest, caller)
  }

  private remove({name, keyDigests}: Tenant): void {
    this.byName.delete(name)
    for (const digest of keyDigests) this.byKeyDigest.delete(digest)
  }
}

function isSame(left: Tenant | undefined, right: Tenant): boolean {
  if (!left || left.priority !== right.priority || left.keyDigests.length !== right.keyDigests.length)
    return false
  if (!isSameQuota(left.quota, right.quota)) return false
  return left.keyDigests.every((digest, i) => digest === right.keyDigests[i])
}

function isSameQuota(left: TenantQuota | undefined, right: TenantQuota | undefined): boolean {
  return (
    left?.ratePerSecond === right?.ratePerSecond &&
    left?.burst === right?.burst &&
    left?.countsTokens === right?.countsTokens &&
    left?.plainCost === right?.plainCost
  )
}

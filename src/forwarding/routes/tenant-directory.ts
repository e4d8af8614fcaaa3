/// Finds the tenant of a caller by its key. One map look-up per request for any number of tenants; a new
/// configuration updates only the tenants that it changes.
import type {Route, Tenant, TenantQuota} from "./route.js"

/// An authenticated caller.
export interface Caller {
  /// The tenant for whom it acts; undefined where callers need no key.
  readonly tenant: Tenant | undefined
}

const ANONYMOUS_CALLER: Caller = {tenant: undefined}

/// The tenants of one daemon.
export class TenantDirectory {
  private readonly byName = new Map<string, Tenant>()
  private readonly byKeyDigest = new Map<string, Caller>()
  private needsKeys = false

  /// Applies the tenants of a configuration; null if callers need no keys.
  apply(tenants: readonly Tenant[] | null): void {
    this.needsKeys = tenants !== null
    const next = new Map((tenants ?? []).map(tenant => [tenant.name, tenant]))
    const changed = [...next.values()].filter(tenant => !isSame(this.byName.get(tenant.name), tenant))
    // Removals first: a key may move from one tenant to another.
    for (const known of this.byName.values()) if (!isSame(next.get(known.name), known)) this.remove(known)
    for (const tenant of changed) this.add(tenant)
  }

  /// The caller of a request on `route`; undefined if the route requires a key and this one is missing or not
  /// valid.
  findCaller(route: Route, keyDigest: string | undefined): Caller | undefined {
    if (!this.needsKeys || route.isPublic) return ANONYMOUS_CALLER
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

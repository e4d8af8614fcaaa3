/// Enforces tenants' quotas across the whole fleet.
import type {PeerMessage} from "../daemon/peer-messages.js"
import type {RouteConfiguration, Tenant} from "../forwarding/routes/route.js"
import type {QuotaOutcome, QuotaRequest} from "../forwarding/admit/tenant-quota.js"
import {QuotaManager, type QuotaEffect} from "../quotas/quota-manager.js"
import type {QuotaLimit, QuotaSettings} from "../quotas/quota-settings.js"
import {DaemonPart, type PartFigures, type PartContext} from "./daemon-part.js"

/// The part that enforces quotas.
export class QuotaPart extends DaemonPart {
  override readonly name = "quotas"
  private readonly manager: QuotaManager

  constructor(
    private readonly context: PartContext,
    settings: QuotaSettings
  ) {
    super()
    const {identity, random, getFleet: fleet} = context
    this.manager = new QuotaManager(identity.id, settings, fleet, random, effect =>
      this.onQuotaEffect(effect)
    )
  }

  override applyConfiguration({tenants}: RouteConfiguration, now: number): void {
    const limits = new Map<string, QuotaLimit>()
    for (const {name, quota} of tenants ?? []) if (quota) limits.set(name, quota)
    this.manager.setLimits(limits, now)
  }

  override receivePeer(fromId: string, fromAddress: string, message: PeerMessage, now: number): void {
    this.manager.onContact(fromId, now)
    switch (message.kind) {
      case "quotaAsk":
      case "quotaAnswer":
      case "quotaHandover":
        if (message.scope === undefined) this.manager.receive(fromId, fromAddress, message, now)
        break
      default:
        break
    }
  }

  override takeQuota({tenant, requestId, cost, waitMs}: QuotaRequest, now: number): QuotaOutcome {
    return (
      this.manager.take(tenant.name, {requestId, tokens: cost, decideBy: now + waitMs}, now) ?? {
        kind: "waiting"
      }
    )
  }

  override removeQuotaRequest(requestId: string): void {
    this.manager.remove(requestId)
  }

  override chargeQuota({name}: Tenant, cost: number, now: number): void {
    this.manager.charge(name, cost, now)
  }

  override onProcessResumed(now: number): void {
    this.manager.onProcessResumed(now)
  }

  override tick(now: number): void {
    this.manager.tick(now)
  }

  override getFigures(): PartFigures {
    return this.manager.getFigures()
  }

  private onQuotaEffect(effect: QuotaEffect): void {
    if (effect.kind === "sendPeer") this.context.emit(effect)
    else this.context.decideQuota(effect.requestId, effect.decision)
  }
}

/// Changes the stages of engines while this daemon holds the lease of their service.
import type {StageEffect} from "../allocation/stage-coordinator.js"
import {makeStageChange} from "../daemon/change-log.js"
import {StageManager} from "../daemon/stage-manager.js"
import {DUTY_CELL} from "../duties/duty-manager.js"
import type {RouteConfiguration} from "../forwarding/routes/route.js"
import {DaemonPart, type AnswerEvent, type PartContext} from "./daemon-part.js"

/// The part that runs the stage manager.
export class StagePart extends DaemonPart {
  override readonly name = "stages"
  private readonly manager: StageManager

  constructor(private readonly context: PartContext) {
    super()
    const {identity, settings, getMembers, directory, regions} = context
    this.manager = new StageManager(
      identity.id,
      settings.stages,
      {getMembers, directory, regionOf: zone => regions?.places.getRegion(zone) ?? identity.region},
      effect => this.onStageEffect(effect)
    )
  }

  override applyConfiguration(configuration: RouteConfiguration): void {
    this.manager.applyConfiguration(configuration)
  }

  override onMachineSuspended(): void {
    this.manager.onMachineSuspended()
  }

  override receiveAnswer(event: AnswerEvent, now: number): void {
    switch (event.kind) {
      case "leaseTableResult":
        if (event.cell !== DUTY_CELL) this.manager.receiveTableResult(event.cell, event.result, now)
        break
      case "engineStatus":
        this.manager.receiveStatus(event.backend.service, event.backend.id, event.status, now)
        break
      case "orderResult": {
        const {backend} = event.order
        this.context.logChange("order.answered", {backend: backend.id, ...event.result})
        this.manager.receiveOrderResult(backend.service, backend.id, event.result)
        break
      }
      default:
        break
    }
  }

  override scan(draining: boolean, now: number): void {
    // A daemon that reaches no engine can't order one.
    this.manager.tick(now, !draining && !this.context.paths.isCutOff())
  }

  private onStageEffect(effect: StageEffect): void {
    const {emit} = this.context
    if (effect.kind === "leaseTable" || effect.kind === "askEngine") emit(effect)
    else emit(makeStageChange(effect))
    if (effect.kind === "orderEngine") emit(effect)
  }
}

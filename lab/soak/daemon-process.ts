/// One daemon of a soak: the deployed program as a separate process with its settings file. It is controlled,
/// and disturbed, only by signals and by changes of that file.
import {spawn, type ChildProcess} from "node:child_process"
import {closeSync, openSync, readFileSync, renameSync, writeFileSync} from "node:fs"
import {connect} from "node:net"
import {join} from "node:path"
import {setTimeout as wait} from "node:timers/promises"
import type {EarlyReload, StartReason} from "./early-reload.js"
import {formatSettings, type DaemonPorts} from "./settings-file.js"
import type {SoakBounds} from "./soak-record.js"

/// Options that all daemons of a soak have in common.
export interface DaemonSite {
  readonly folder: string
  readonly program: string
  readonly flags: readonly string[]
  readonly bounds: SoakBounds
  readonly seeds: readonly string[]
}

/// What a daemon process reports.
export interface DaemonListener {
  /// The process exited without having been stopped or killed by the soak. `reason` is its exit code or signal, and
  /// whether a reload came before the process could handle it.
  onUnexpectedExit(name: string, reason: string): void
  /// A reload ended the process early, and the daemon serves again or was stopped or killed.
  onEarlyReload(reload: EarlyReload): void
}

const KILL_AFTER_STOP_MS = 9000
/// Exit code of the program for invalid settings, which it only uses while it starts.
const EXIT_INVALID_SETTINGS = 78

/// Number of the signal that asks for a reload, SIGHUP.
const RELOAD_SIGNAL = 1
/// The platform starts a process that has ended by itself again after this time. Milliseconds.
const RESTART_DELAY_MS = 500
/// Time between two attempts to connect to a restarted daemon. Milliseconds.
const CONNECT_INTERVAL_MS = 5

/// Starts, stops, pauses and reloads the process.
export class DaemonProcess {
  private child: ChildProcess | undefined
  private isExitExpected = false
  /// Whether the settings file was made invalid after the process started.
  private hasInvalidSettings = false
  /// The first reload that was requested before the process had a handler for it. The default action ends the
  /// process.
  private earlyReload: EarlyReload | undefined
  /// Early reloads that ended a process, until the daemon serves again.
  private readonly openReloads = new Set<EarlyReload>()
  private startedAt = -Infinity
  /// When the soak last started the process; restarts after an unexpected exit don't count.
  private soakStartedAt = -Infinity
  /// Why the running process was started; after a stop or kill, why the next one will be.
  private startReason: StartReason = "firstStart"
  /// When the soak last stopped or killed the daemon.
  private stoppedAt: number | undefined
  private restartTimer: NodeJS.Timeout | undefined
  startCount = 0
  /// Reload signals that were sent to a process, and those of them before it had a handler.
  reloadCount = 0
  earlyReloadCount = 0

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly ports: DaemonPorts,
    private readonly site: DaemonSite,
    private readonly platform: {readonly store: string; readonly duties: string},
    private readonly listener: DaemonListener
  ) {}

  /// Starts the process.
  start(): void {
    this.clearRestart()
    this.soakStartedAt = performance.now()
    this.spawnProcess()
  }

  private restart(reason: StartReason): void {
    this.restartTimer = undefined
    this.startReason = reason
    this.spawnProcess()
  }

  private spawnProcess(): void {
    this.writeSettings()
    this.isExitExpected = false
    this.hasInvalidSettings = false
    this.earlyReload = undefined
    this.startedAt = performance.now()
    this.startCount += 1
    const log = openSync(join(this.site.folder, `${this.name}.log`), "a")
    const child = spawn(process.execPath, [...this.site.flags, this.site.program], {
      env: {PATH: process.env.PATH, PULLEYLEDGE_NODE_FILE: this.getSettingsPath()},
      stdio: ["ignore", log, log]
    })
    closeSync(log)
    this.child = child
    child.on("exit", (code, signal) => {
      if (this.child === child) this.child = undefined
      if (this.isExitExpected) return
      // The soak itself made the settings invalid during the start. Start again with valid ones, as the platform
      // would.
      if (code === EXIT_INVALID_SETTINGS && this.hasInvalidSettings) return this.restart("invalidSettings")
      const reload = signal === "SIGHUP" ? this.earlyReload : undefined
      this.listener.onUnexpectedExit(this.name, `${code ?? signal}${reload ? " before it was handled" : ""}`)
      if (!reload) return
      this.restartTimer = setTimeout(() => this.restart("earlyReload"), RESTART_DELAY_MS)
      void this.waitForRestart(reload)
    })
  }

  /// Waits until the daemon serves again after an early reload, is stopped or killed, or has ended and is not restarted,
  /// and reports it.
  private async waitForRestart(reload: EarlyReload): Promise<void> {
    const {stoppedAt} = this
    this.openReloads.add(reload)
    while (this.stoppedAt === stoppedAt && (this.isRunning() || this.restartTimer)) {
      if (await canConnect(this.ports.front)) {
        reload.servesAfterMs = performance.now() - reload.at
        break
      }
      await wait(CONNECT_INTERVAL_MS)
    }
    this.openReloads.delete(reload)
    this.listener.onEarlyReload(reload)
  }

  /// Whether the process is running; also true while it is paused.
  isRunning(): boolean {
    return this.child !== undefined
  }

  /// Kills the process with SIGKILL and waits for its exit.
  async kill(): Promise<void> {
    this.startReason = "kill"
    await this.stopWith("SIGKILL")
  }

  /// Sends SIGTERM and waits for the exit, with SIGKILL after the grace period. Returns how it exited if that was
  /// not with code 0. A process that does not listen yet has no requests to finish and may not have installed its
  /// signal handler, so an exit by the SIGTERM itself counts as a success.
  async stop(): Promise<string | undefined> {
    const {child} = this
    if (!child) {
      this.cancelRestart()
      return undefined
    }
    const wasListening = await canConnect(this.ports.ready)
    const ageMs = Math.round(performance.now() - this.startedAt)
    this.startReason = "stop"
    const timer = setTimeout(() => child.kill("SIGKILL"), KILL_AFTER_STOP_MS)
    await this.stopWith("SIGTERM")
    clearTimeout(timer)
    if (child.exitCode === 0 || (!wasListening && child.signalCode === "SIGTERM")) return undefined
    return `${child.exitCode ?? child.signalCode}, asked ${ageMs} ms after its start`
  }

  /// Suspends the process with SIGSTOP.
  pause(): void {
    this.child?.kill("SIGSTOP")
  }

  /// Resumes the process with SIGCONT.
  resume(): void {
    this.child?.kill("SIGCONT")
  }

  /// Rewrites the settings file, with valid settings or not, and sends SIGHUP.
  reload(valid: boolean): void {
    if (valid) this.writeSettings()
    else {
      this.hasInvalidSettings = true
      this.replaceSettings("node = ")
    }
    if (!this.child) return
    this.countReload(!hasHandler(this.child, RELOAD_SIGNAL))
    this.child.kill("SIGHUP")
  }

  private countReload(isEarly: boolean): void {
    this.reloadCount += 1
    for (const reload of this.openReloads) reload.laterSignals += 1
    if (this.earlyReload) this.earlyReload.laterSignals += 1
    if (!isEarly) return
    this.earlyReloadCount += 1
    this.earlyReload ??= this.makeEarlyReload()
  }

  private makeEarlyReload(): EarlyReload {
    const at = performance.now()
    return {
      daemon: this.name,
      at,
      ageMs: at - this.startedAt,
      startReason: this.startReason,
      sinceStopMs: this.stoppedAt === undefined ? undefined : at - this.stoppedAt,
      sinceSoakStartMs: at - this.soakStartedAt,
      laterSignals: 0,
      servesAfterMs: undefined
    }
  }

  /// A daemon that the soak stops or kills while it waits for its restart is started by the soak only.
  private cancelRestart(): void {
    this.clearRestart()
    this.stoppedAt = performance.now()
  }

  private clearRestart(): void {
    clearTimeout(this.restartTimer)
    this.restartTimer = undefined
  }

  private async stopWith(signal: NodeJS.Signals): Promise<void> {
    const {child} = this
    this.cancelRestart()
    if (!child) return
    this.isExitExpected = true
    const ended = new Promise(resolve => child.once("exit", resolve))
    child.kill("SIGCONT")
    child.kill(signal)
    await ended
  }

  /// Replaces the file atomically: a process that is starting reads the old file or the new one, never an empty
  /// one.
  private replaceSettings(text: string): void {
    const path = this.getSettingsPath()
    writeFileSync(`${path}.new`, text)
    renameSync(`${path}.new`, path)
  }

  private getSettingsPath(): string {
    return join(this.site.folder, `${this.name}.toml`)
  }

  private writeSettings(): void {
    const {seeds, bounds} = this.site
    const {store, duties} = this.platform
    const text = formatSettings(this.name, this.zone, this.ports, seeds, bounds, store, duties)
    this.replaceSettings(text)
  }
}

/// Whether a process has installed a handler for a signal.
function hasHandler({pid}: ChildProcess, signal: number): boolean {
  const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))
  return caught !== null && (BigInt(`0x${caught[1]}`) & (1n << BigInt(signal - 1))) !== 0n
}

function canConnect(address: string): Promise<boolean> {
  const [host, port] = address.split(":")
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port)})
    socket.once("connect", () => {
      socket.destroy()
      resolve(true)
    })
    socket.once("error", () => resolve(false))
  })
}

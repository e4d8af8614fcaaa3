/// One daemon of a soak: the deployed program as a separate process with its settings file. It is controlled,
/// and disturbed, only by signals and by changes of that file.
import {spawn, type ChildProcess} from "node:child_process"
import {closeSync, openSync, readFileSync, renameSync, writeFileSync} from "node:fs"
import {connect} from "node:net"
import {join} from "node:path"
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

/// Called when the process exits without having been stopped or killed by the soak. `reason` is its exit code or
/// signal, and whether a reload came before the process could handle it.
type UnexpectedExitListener = (name: string, reason: string) => void

const KILL_AFTER_STOP_MS = 9000
/// Exit code of the program for invalid settings, which it only uses while it starts.
const EXIT_INVALID_SETTINGS = 78

/// Number of the signal that asks for a reload, SIGHUP.
const RELOAD_SIGNAL = 1

/// Starts, stops, pauses and reloads the process.
export class DaemonProcess {
  private child: ChildProcess | undefined
  private isExitExpected = false
  /// Whether the settings file was made invalid after the process started.
  private hasInvalidSettings = false
  /// Whether a reload was requested before the process had a handler for it. The default action ends the process.
  private wasReloadedEarly = false
  private startedAt = -Infinity
  startCount = 0

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly ports: DaemonPorts,
    private readonly site: DaemonSite,
    private readonly platform: {readonly store: string; readonly duties: string},
    private readonly onUnexpectedExit: UnexpectedExitListener
  ) {}

  /// Starts the process.
  start(): void {
    this.writeSettings()
    this.isExitExpected = false
    this.hasInvalidSettings = false
    this.wasReloadedEarly = false
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
      if (code === EXIT_INVALID_SETTINGS && this.hasInvalidSettings) return this.start()
      const isEarlyReload = signal === "SIGHUP" && this.wasReloadedEarly
      this.onUnexpectedExit(this.name, `${code ?? signal}${isEarlyReload ? " before it was handled" : ""}`)
      if (isEarlyReload) this.start()
    })
  }

  /// Whether the process is running; also true while it is paused.
  isRunning(): boolean {
    return this.child !== undefined
  }

  /// Kills the process with SIGKILL and waits for its exit.
  async kill(): Promise<void> {
    await this.stopWith("SIGKILL")
  }

  /// Sends SIGTERM and waits for the exit, with SIGKILL after the grace period. Returns how it exited if that was
  /// not with code 0. A process that does not listen yet has no requests to finish and may not have installed its
  /// signal handler, so an exit by the SIGTERM itself counts as a success.
  async stop(): Promise<string | undefined> {
    const {child} = this
    if (!child) return undefined
    const wasListening = await canConnect(this.ports.ready)
    const ageMs = Math.round(performance.now() - this.startedAt)
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
    this.wasReloadedEarly ||= !hasHandler(this.child, RELOAD_SIGNAL)
    this.child.kill("SIGHUP")
  }

  private async stopWith(signal: NodeJS.Signals): Promise<void> {
    const {child} = this
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

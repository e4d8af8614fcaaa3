/// One daemon of a soak: the deployed program as a process of its own, with its settings file, run and harmed
/// from outside by signals only.
import {spawn, type ChildProcess} from "node:child_process"
import {closeSync, openSync, renameSync, writeFileSync} from "node:fs"
import {connect} from "node:net"
import {join} from "node:path"
import {formatSettings, type DaemonPorts} from "./settings-file.js"
import type {SoakBounds} from "./soak-record.js"

/// What all daemons of a soak share.
export interface DaemonSite {
  readonly folder: string
  readonly program: string
  readonly flags: readonly string[]
  readonly bounds: SoakBounds
  readonly seeds: readonly string[]
}

/// Told when the process ended although nobody ended it.
type OwnEndListener = (name: string, code: number | null, signal: string | null) => void

const EXIT_AFTER_STOP_MS = 9000
/// Exit code of the program when it cannot read its settings, which can only happen while it starts.
const EXIT_WRONG_SETTINGS = 78

/// The daemon.
export class DaemonProcess {
  private child: ChildProcess | undefined
  private expected = false
  /// The settings have been wrong since the process was started.
  private hasInvalidSettings = false
  private startedAt = -Infinity
  starts = 0

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly ports: DaemonPorts,
    private readonly site: DaemonSite,
    private readonly platform: {readonly store: string; readonly duties: string},
    private readonly onOwnEnd: OwnEndListener
  ) {}

  /// Starts the process.
  start(): void {
    this.writeSettings()
    this.expected = false
    this.hasInvalidSettings = false
    this.startedAt = performance.now()
    this.starts += 1
    const log = openSync(join(this.site.folder, `${this.name}.log`), "a")
    const child = spawn(process.execPath, [...this.site.flags, this.site.program], {
      env: {PATH: process.env.PATH, PULLEYLEDGE_NODE_FILE: this.getSettingsPath()},
      stdio: ["ignore", log, log]
    })
    closeSync(log)
    this.child = child
    child.on("exit", (code, signal) => {
      if (this.child === child) this.child = undefined
      if (this.expected) return
      // As the platform does: the next start has the settings of its moment.
      if (code === EXIT_WRONG_SETTINGS && this.hasInvalidSettings) this.start()
      else this.onOwnEnd(this.name, code, signal)
    })
  }

  /// Whether the process runs.
  isRunning(): boolean {
    return this.child !== undefined
  }

  /// Kills it.
  async kill(): Promise<void> {
    await this.end("SIGKILL")
  }

  /// Asks it to stop, waits for its end within the grace, and tells how it ended if that was not by itself
  /// with success. One that does not listen yet has nothing to finish, and may not yet run a line of ours:
  /// the signal itself may end it.
  async stop(): Promise<string | undefined> {
    const {child} = this
    if (!child) return undefined
    const listened = await canConnect(this.ports.ready)
    const ageMs = Math.round(performance.now() - this.startedAt)
    const timer = setTimeout(() => child.kill("SIGKILL"), EXIT_AFTER_STOP_MS)
    await this.end("SIGTERM")
    clearTimeout(timer)
    if (child.exitCode === 0 || (!listened && child.signalCode === "SIGTERM")) return undefined
    return `${child.exitCode ?? child.signalCode}, asked ${ageMs} ms after its start`
  }

  /// Stops it where it stands.
  pause(): void {
    this.child?.kill("SIGSTOP")
  }

  /// Lets it go on.
  resume(): void {
    this.child?.kill("SIGCONT")
  }

  /// Writes the settings anew and says so.
  reload(valid: boolean): void {
    if (valid) this.writeSettings()
    else {
      this.hasInvalidSettings = true
      this.replaceSettings("node = ")
    }
    this.child?.kill("SIGHUP")
  }

  private async end(signal: NodeJS.Signals): Promise<void> {
    const {child} = this
    if (!child) return
    this.expected = true
    const ended = new Promise(resolve => child.once("exit", resolve))
    child.kill("SIGCONT")
    child.kill(signal)
    await ended
  }

  /// In one step: a process that starts meanwhile reads the old file or the new one, never an empty one.
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

/// The two lines that open a tunnel: a connection to a back end through a peer daemon. The schemas are the only
/// definition of these messages; the types are inferred from them.
import * as z from "zod"

const text = z.string().max(512)

/// First line on a connection to a peer, by which it becomes a tunnel. `id` is that of the daemon that asks,
/// `backend` the address `ip:port`.
export const tunnelRequestSchema = z.object({kind: z.literal("tunnel"), id: text, backend: text})

const tunnelRefusalSchema = z.enum(["unknown-backend", "busy", "cut-off", "stopping", "unreachable"])

/// The peer's answer. After `opened` the connection carries bytes between the daemon and the back end.
export const tunnelAnswerSchema = z.discriminatedUnion("kind", [
  z.object({kind: z.literal("opened")}),
  z.object({kind: z.literal("refused"), reason: tunnelRefusalSchema})
])

export type TunnelRequest = z.infer<typeof tunnelRequestSchema>
export type TunnelAnswer = z.infer<typeof tunnelAnswerSchema>

/// Why a peer opens no tunnel. `unreachable`: it does not reach the back end; with every other reason it has not
/// tried.
export type TunnelRefusal = z.infer<typeof tunnelRefusalSchema>

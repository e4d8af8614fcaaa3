/// The lines that open a tunnel, a connection to a back end through a peer daemon, and tell how it ended. The schemas are the only
/// definition of these messages; the types are inferred from them.
import * as z from "zod"

const text = z.string().max(512)

/// First line on a connection to a peer, by which it becomes a tunnel. `id` is that of the daemon that asks,
/// `backend` the address `ip:port`, and `tunnelId` is unique for each tunnel. Daemons of an older version send none.
export const tunnelRequestSchema = z.object({
  kind: z.literal("tunnel"),
  id: text,
  backend: text,
  tunnelId: text.optional()
})

/// First line on a connection to a peer that asks how a tunnel ended. A peer of an older version closes the connection.
export const tunnelEndRequestSchema = z.object({kind: z.literal("tunnelEnd"), tunnelId: text})

const tunnelRefusalSchema = z.enum(["unknown-backend", "busy", "cut-off", "stopping", "unreachable"])

/// The peer's answer to that: whether the back end closed its connection regularly, after all bytes that the tunnel
/// passed on.
export const tunnelEndSchema = z.object({kind: z.literal("ended"), regularly: z.boolean()})

/// The peer's answer. After `opened` the connection carries bytes between the daemon and the back end.
export const tunnelAnswerSchema = z.discriminatedUnion("kind", [
  z.object({kind: z.literal("opened")}),
  z.object({kind: z.literal("refused"), reason: tunnelRefusalSchema})
])

export type TunnelRequest = z.infer<typeof tunnelRequestSchema>
export type TunnelEndRequest = z.infer<typeof tunnelEndRequestSchema>
export type TunnelEnd = z.infer<typeof tunnelEndSchema>
export type TunnelAnswer = z.infer<typeof tunnelAnswerSchema>

/// Why a peer opens no tunnel. `unreachable`: it does not reach the back end; with every other reason it has not
/// tried.
export type TunnelRefusal = z.infer<typeof tunnelRefusalSchema>

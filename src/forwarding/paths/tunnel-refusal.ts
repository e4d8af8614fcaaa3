/// Why a daemon takes no tunnel for a peer. Owns only this type.

/// The daemon doesn't know the back end, has reached its bound of tunnels, doesn't reach the back end itself,
/// or is stopping.
export type TunnelRefusal = "unknown-backend" | "busy" | "cut-off" | "stopping"
